package disk

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrCorrupt means that stored data is damaged in a way that a torn write does not explain.
const ErrCorrupt = errors.ConstError("data folder is corrupt")

// A record consists of magic, payload length, checksum and payload. Each record is synced on its own, so an interrupted
// write leaves at most one torn record, which is the last one.
const (
	recordMagic       = 0x50_50_4c_31
	recordHeaderBytes = 16
)

// checksum also covers the record's segment number and offset, so that a copy of a record at another place is not valid.
func checksum(segment, offset uint64, payload []byte) uint64 {
	var place [16]byte
	binary.BigEndian.PutUint64(place[:], segment)
	binary.BigEndian.PutUint64(place[8:], offset)
	digest := xxhash.New()
	_, _ = digest.Write(place[:])
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

func encodeRecord(segment, offset uint64, content any) ([]byte, error) {
	payload, err := msgpack.Marshal(content)
	if err != nil {
		return nil, errors.Annotate(err, "encode record")
	}
	record := make([]byte, recordHeaderBytes, recordHeaderBytes+len(payload))
	binary.BigEndian.PutUint32(record, recordMagic)
	binary.BigEndian.PutUint32(record[4:], uint32(len(payload)))
	binary.BigEndian.PutUint64(record[8:], checksum(segment, offset, payload))
	return append(record, payload...), nil
}

// recordAt returns the payload of the record at an offset, and false if there is no valid record.
func recordAt(segment uint64, data []byte, offset int) ([]byte, bool) {
	rest := data[offset:]
	if len(rest) < recordHeaderBytes || binary.BigEndian.Uint32(rest) != recordMagic {
		return nil, false
	}
	length := uint64(binary.BigEndian.Uint32(rest[4:]))
	if length > uint64(len(rest)-recordHeaderBytes) {
		return nil, false
	}
	payload := rest[recordHeaderBytes : recordHeaderBytes+length]
	return payload, binary.BigEndian.Uint64(rest[8:]) == checksum(segment, uint64(offset), payload)
}

// findValidAfter looks for a valid record at any later offset, since the length field of a damaged record cannot be trusted.
func findValidAfter(segment uint64, data []byte, offset int) (int, bool) {
	magic := binary.BigEndian.AppendUint32(nil, recordMagic)
	for at := offset + 1; at < len(data); at++ {
		found := bytes.Index(data[at:], magic)
		if found < 0 {
			return 0, false
		}
		at += found
		if _, valid := recordAt(segment, data, at); valid {
			return at, true
		}
	}
	return 0, false
}
