package frame

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// writeBufferBytes is the size of the buffer that a connection borrows while several senders wait for it.
	writeBufferBytes = 64 << 10
	// maxBorrowedWriters limits the borrowed buffers of the process to 8 MiB. A connection that gets none writes each frame
	// separately.
	maxBorrowedWriters = 128
)

var (
	borrowedWriters atomic.Int32
	writerPool      = sync.Pool{
		New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) },
	}
)

// borrowWriter returns nil if maxBorrowedWriters buffers are in use.
func borrowWriter(target io.Writer) *bufio.Writer {
	if borrowedWriters.Add(1) > maxBorrowedWriters {
		borrowedWriters.Add(-1)
		return nil
	}
	writer := writerPool.Get().(*bufio.Writer)
	writer.Reset(target)
	return writer
}

func returnWriter(writer *bufio.Writer) {
	writer.Reset(nil)
	writerPool.Put(writer)
	borrowedWriters.Add(-1)
}
