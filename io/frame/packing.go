package frame

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
)

const (
	// packedType marks the type of a frame whose message is packed.
	packedType Type = 1 << 15
	// minPackedBytes is the length below which a message is sent as it is; a packed one begins with 10 to 13 bytes.
	minPackedBytes = 48
	// packingWindow is how far back a repetition is found, in bytes. It decides the memory of a Packing, about 1 MiB a process.
	packingWindow = 64 << 10
	// maxPackedRatio bounds the memory that a short frame can ask for beyond trustedBytes. A configuration of many routes is packed
	// to a tenth.
	maxPackedRatio = 256
)

// PackingID names a Packing; processes with equal ids read each other's packed messages. Zero names none.
type PackingID uint64

// Packing packs messages that share most of their bytes, such as the names of fields, with some samples.
type Packing struct {
	id      PackingID
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// NewPacking returns a packing for messages like the samples; it fails on samples that msgpack cannot encode.
func NewPacking(samples ...any) (*Packing, error) {
	var dictionary bytes.Buffer
	encoder := msgpack.NewEncoder(&dictionary)
	encoder.SetSortMapKeys(true)
	for _, sample := range samples {
		if err := encoder.Encode(sample); err != nil {
			return nil, errors.Annotatef(err, "encode sample %T", sample)
		}
	}
	id := xxhash.Sum64(dictionary.Bytes()) | 1 // never zero
	number := uint32(id)
	writer, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(number, dictionary.Bytes()),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(packingWindow),
		zstd.WithSingleSegment(true), // states the length of short messages too
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(false),
	)
	if err != nil {
		return nil, errors.Trace(err)
	}
	reader, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(number, dictionary.Bytes()),
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(core.MaxFrameBytes),
	)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Packing{
		id:      PackingID(id),
		encoder: writer,
		decoder: reader,
	}, nil
}

// ID returns the name under which processes agree on the packing, zero for a nil packing.
func (p *Packing) ID() PackingID {
	if p == nil {
		return 0
	}
	return p.id
}

// pack replaces a frame by a packed one if that is shorter.
func (p *Packing) pack(framed []byte) []byte {
	message := framed[lengthBytes+typeBytes:]
	if len(message) < minPackedBytes {
		return framed
	}
	packed := p.encoder.EncodeAll(message, make([]byte, lengthBytes+typeBytes, len(framed)))
	if len(packed) >= len(framed) || uint64(len(message)) > maxUnpacked(len(packed)-lengthBytes-typeBytes) {
		return framed
	}
	binary.BigEndian.PutUint32(packed, uint32(len(packed)-lengthBytes))
	binary.BigEndian.PutUint16(packed[lengthBytes:], binary.BigEndian.Uint16(framed[lengthBytes:])|uint16(packedType))
	return packed
}

// maxUnpacked is the greatest length of a message that a number of packed bytes may stand for.
func maxUnpacked(packed int) uint64 {
	return min(core.MaxFrameBytes, max(trustedBytes, maxPackedRatio*uint64(packed)))
}

// unpack returns the message of a packed frame. A frame that states no length, or one out of proportion, is malformed.
func (p *Packing) unpack(f Frame) (Frame, error) {
	var header zstd.Header
	if err := header.Decode(f.body); err != nil {
		return Frame{}, errors.Annotatef(ErrMalformed, "packed message: %v", err)
	}
	if !header.HasFCS || header.FrameContentSize > maxUnpacked(len(f.body)) {
		return Frame{}, errors.Annotatef(ErrMalformed, "packed message of %d bytes states %d", len(f.body), header.FrameContentSize)
	}
	message, err := p.decoder.DecodeAll(f.body, nil)
	if err != nil {
		return Frame{}, errors.Annotatef(ErrMalformed, "packed message: %v", err)
	}
	return Frame{
		Type: f.Type &^ packedType,
		body: message,
	}, nil
}
