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
	// compressedFlag is set in the type of a frame whose message is compressed.
	compressedFlag Type = 1 << 15
	// minCompressibleBytes is the length below which a message is not compressed; a compressed one has a header of 10 to 13 bytes.
	minCompressibleBytes = 48
	// compressionWindowBytes is the zstd window. It determines the memory of a Compressor, about 1 MiB for each process.
	compressionWindowBytes = 64 << 10
	// maxCompressionRatio limits the memory beyond maxPreallocatedBytes that a short frame can make the receiver allocate. A
	// configuration of many routes compresses to a tenth.
	maxCompressionRatio = 256
)

// CompressorID identifies the dictionary of a Compressor; processes with equal IDs can read each other's compressed messages. Zero
// stands for no compression.
type CompressorID uint64

// Compressor compresses messages with zstd and a dictionary of samples, with which they share most bytes, such as field names.
type Compressor struct {
	id      CompressorID
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// NewCompressor returns a compressor for messages like the samples; it fails on samples that msgpack cannot encode.
func NewCompressor(samples ...any) (*Compressor, error) {
	var dictionary bytes.Buffer
	encoder := msgpack.NewEncoder(&dictionary)
	encoder.SetSortMapKeys(true)
	for _, sample := range samples {
		if err := encoder.Encode(sample); err != nil {
			return nil, errors.Annotatef(err, "encode sample %T", sample)
		}
	}
	id := xxhash.Sum64(dictionary.Bytes()) | 1 // never zero
	dictionaryID := uint32(id)
	writer, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(dictionaryID, dictionary.Bytes()),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(compressionWindowBytes),
		zstd.WithSingleSegment(true), // puts the length of short messages into the header too
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(false),
	)
	if err != nil {
		return nil, errors.Trace(err)
	}
	reader, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(dictionaryID, dictionary.Bytes()),
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(core.MaxFrameBytes),
	)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Compressor{
		id:      CompressorID(id),
		encoder: writer,
		decoder: reader,
	}, nil
}

// ID returns the ID by which two processes agree on a dictionary, zero for a nil compressor.
func (c *Compressor) ID() CompressorID {
	if c == nil {
		return 0
	}
	return c.id
}

// compress returns the frame with its message compressed if that is shorter, and otherwise the frame itself.
func (c *Compressor) compress(framed []byte) []byte {
	message := framed[lengthBytes+typeBytes:]
	if len(message) < minCompressibleBytes {
		return framed
	}
	compressed := c.encoder.EncodeAll(message, make([]byte, lengthBytes+typeBytes, len(framed)))
	if len(compressed) >= len(framed) || uint64(len(message)) > maxDecompressedBytes(len(compressed)-lengthBytes-typeBytes) {
		return framed
	}
	binary.BigEndian.PutUint32(compressed, uint32(len(compressed)-lengthBytes))
	binary.BigEndian.PutUint16(compressed[lengthBytes:], binary.BigEndian.Uint16(framed[lengthBytes:])|uint16(compressedFlag))
	return compressed
}

// maxDecompressedBytes returns the greatest length of a message that a number of compressed bytes may expand to.
func maxDecompressedBytes(compressedBytes int) uint64 {
	return min(core.MaxFrameBytes, max(maxPreallocatedBytes, maxCompressionRatio*uint64(compressedBytes)))
}

// decompress returns the message of a compressed frame. It returns ErrMalformed for damaged data, and for a frame that states no
// length or one over the maximum ratio, and ErrTooLong for one that states more than maxBytes.
func (c *Compressor) decompress(f Frame, maxBytes int) (Frame, error) {
	var header zstd.Header
	if err := header.Decode(f.body); err != nil {
		return Frame{}, errors.Annotatef(ErrMalformed, "compressed message: %v", err)
	}
	if !header.HasFCS || header.FrameContentSize > maxDecompressedBytes(len(f.body)) {
		return Frame{}, errors.Annotatef(ErrMalformed, "compressed message of %d bytes states a length of %d", len(f.body), header.FrameContentSize)
	}
	if header.FrameContentSize > uint64(maxBytes) {
		return Frame{}, errors.Annotatef(ErrTooLong, "%d bytes after decompression", header.FrameContentSize)
	}
	message, err := c.decoder.DecodeAll(f.body, nil)
	if err != nil {
		return Frame{}, errors.Annotatef(ErrMalformed, "compressed message: %v", err)
	}
	return Frame{
		Type: f.Type &^ compressedFlag,
		body: message,
	}, nil
}
