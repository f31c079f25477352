package frame

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// lentBytes is the size of a buffer that a connection borrows while several senders wait for it.
	lentBytes = 64 << 10
	// maxLent bounds the borrowed buffers of the process to 8 MiB. A connection that gets none writes each frame by itself.
	maxLent = 128
)

var (
	lent    atomic.Int32
	writers = sync.Pool{
		New: func() any { return bufio.NewWriterSize(nil, lentBytes) },
	}
)

// borrow returns nil if maxLent buffers are in use.
func borrow(target io.Writer) *bufio.Writer {
	if lent.Add(1) > maxLent {
		lent.Add(-1)
		return nil
	}
	writer := writers.Get().(*bufio.Writer)
	writer.Reset(target)
	return writer
}

func giveBack(writer *bufio.Writer) {
	writer.Reset(nil)
	writers.Put(writer)
	lent.Add(-1)
}
