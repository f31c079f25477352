package core

import (
	"io"
	"sync/atomic"
)

// UnknownLength is the length of a body whose end is not known before it arrives.
const UnknownLength = -1

// BodySource is the body of a call that is passed on while it arrives. A call can be attempted again only until the body is taken.
type BodySource struct {
	reader io.Reader
	length int64
	taken  atomic.Bool
	failed atomic.Bool
}

// NewBodySource returns a source with a length in bytes, or UnknownLength.
func NewBodySource(reader io.Reader, length int64) *BodySource {
	return &BodySource{
		reader: reader,
		length: length,
	}
}

// Read implements io.Reader.
func (b *BodySource) Read(target []byte) (int, error) {
	b.taken.Store(true)
	n, err := b.reader.Read(target)
	if err != nil && err != io.EOF {
		b.failed.Store(true)
	}
	return n, err
}

// Length returns the number of bytes, or UnknownLength.
func (b *BodySource) Length() int64 { return b.length }

// Taken reports whether a part of the body may have been read.
func (b *BodySource) Taken() bool { return b != nil && b.taken.Load() }

// Failed reports whether the body has ended with an error. Then an attempt that fails says nothing about its backend server.
func (b *BodySource) Failed() bool { return b != nil && b.failed.Load() }

// BodyBytes returns the length of the call's body, which may be UnknownLength.
func (c *Call) BodyBytes() int64 {
	if c.Source != nil {
		return c.Source.Length()
	}
	return int64(len(c.Body))
}
