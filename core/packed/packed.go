package packed

import (
	"encoding/binary"
	"io"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxDepth limits the nesting of arrays and maps: msgpack skips unknown values recursively, and Go ends a process whose stack
// overflows. The project's own messages have less than 10 levels.
const maxDepth = 32

// ErrTooDeep means that arrays and maps are nested more deeply than in any message of the project.
const ErrTooDeep = errors.ConstError("nested too deeply")

// Decode decodes one value into target. It returns io.ErrUnexpectedEOF for a value that states more items or bytes than the data
// has: msgpack v5.4.1 allocates a slice of the stated length at once, which ends the process if there is not enough memory.
func Decode(data []byte, target any) error {
	if err := checkComplete(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, target)
}

// checkComplete returns an error unless the first value is complete. Each item takes at least one byte.
func checkComplete(data []byte) error {
	var remaining [maxDepth]uint64 // items left in each open array or map
	depth := 0
	remaining[0] = 1
	for {
		for remaining[depth] == 0 {
			if depth == 0 {
				return nil
			}
			depth--
		}
		remaining[depth]--
		size, items := readHeader(data)
		if size == 0 || size > uint64(len(data)) || items > uint64(len(data))-size {
			return io.ErrUnexpectedEOF
		}
		data = data[size:]
		if items == 0 {
			continue
		}
		if depth++; depth == maxDepth {
			return ErrTooDeep
		}
		remaining[depth] = items
	}
}

// format describes the encoding after a code from 0xc0 to 0xdf: the size of the length field, the fixed bytes after it, and the
// number of items per unit of length. Without items, the length counts bytes.
type format struct {
	length, fixed, items uint64
}

var formats = [0x20]format{
	0x04: {length: 1}, 0x05: {length: 2}, 0x06: {length: 4}, // bin
	0x07: {length: 1, fixed: 1}, 0x08: {length: 2, fixed: 1}, 0x09: {length: 4, fixed: 1}, // ext
	0x0a: {fixed: 4}, 0x0b: {fixed: 8}, // float
	0x0c: {fixed: 1}, 0x0d: {fixed: 2}, 0x0e: {fixed: 4}, 0x0f: {fixed: 8}, // uint
	0x10: {fixed: 1}, 0x11: {fixed: 2}, 0x12: {fixed: 4}, 0x13: {fixed: 8}, // int
	0x14: {fixed: 2}, 0x15: {fixed: 3}, 0x16: {fixed: 5}, 0x17: {fixed: 9}, 0x18: {fixed: 17}, // fixext
	0x19: {length: 1}, 0x1a: {length: 2}, 0x1b: {length: 4}, // str
	0x1c: {length: 2, items: 1}, 0x1d: {length: 4, items: 1}, // array
	0x1e: {length: 2, items: 2}, 0x1f: {length: 4, items: 2}, // map
}

// readHeader returns the encoded size of a value without its items, zero if its length field is truncated, and the number of items.
func readHeader(data []byte) (size, items uint64) {
	if len(data) == 0 {
		return 0, 0
	}
	code := data[0]
	switch {
	case code < 0x80 || code >= 0xe0: // small integer
		return 1, 0
	case code < 0x90: // small map
		return 1, 2 * uint64(code&0x0f)
	case code < 0xa0: // small array
		return 1, uint64(code & 0x0f)
	case code < 0xc0: // short string
		return 1 + uint64(code&0x1f), 0
	}
	f := formats[code-0xc0]
	if uint64(len(data)) < 1+f.length {
		return 0, 0
	}
	var number [8]byte
	copy(number[8-f.length:], data[1:1+f.length])
	statedLength := binary.BigEndian.Uint64(number[:])
	if f.items > 0 {
		return 1 + f.length, f.items * statedLength
	}
	return 1 + f.length + f.fixed + statedLength, 0
}
