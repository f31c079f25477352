package backendhttp

import (
	"bufio"
	"bytes"

	"github.com/juju/errors"

	"parsleyport/core/memory"
)

const (
	// maxHeadBytes bounds the heads of an answer, those of interim answers and of answers to other calls included. A faulty backend
	// server may send bytes without end that are no answer.
	maxHeadBytes = 256 << 10
	// readAheadBytes is what the reader of a connection may hold behind a body.
	readAheadBytes = 4 << 10
	// freeHeadLines is the number of lines of a head for which no memory is reserved, so that ordinary answers need none of the memory
	// that others have used up.
	freeHeadLines = 64
	// lineReservation is the number of further lines for which memory is reserved at once.
	lineReservation = 64
	// headBudgetDivisor is the divisor of the memory limit of the process for the further lines of all heads of answers.
	headBudgetDivisor = 8
	// defaultHeadBudget is the size of the budget if the memory limit is unknown.
	defaultHeadBudget = 16 << 20
)

const (
	errHeadTooLong = errors.ConstError("head of the answer is over 256 KiB")
	errHeadsFull   = errors.ConstError("heads of answers use up the memory for lines")
)

// answerHead limits the heads that are read for one answer. Its memory is held until release is called.
type answerHead struct {
	budget    *memory.Budget
	bytesLeft int
	lines     int
	reserved  int64
}

// count adds bytes of the answer. It returns an error if they exceed a limit.
func (h *answerHead) count(data []byte) error {
	h.bytesLeft -= len(data)
	h.lines += bytes.Count(data, []byte{'\n'})
	for h.lines > freeHeadLines+int(h.reserved)/memory.HeaderLineBytes {
		if !h.budget.Reserve(lineReservation * memory.HeaderLineBytes) {
			return errHeadsFull
		}
		h.reserved += lineReservation * memory.HeaderLineBytes
	}
	return nil
}

func (h *answerHead) release() {
	h.budget.Release(h.reserved)
	h.reserved = 0
}

// headSource reads from the connection to a backend server. While the head of an answer is expected, it returns one line at a time, so
// that its reader never holds more than that head and every line is counted.
type headSource struct {
	buffer *bufio.Reader
	head   *answerHead // nil unless the head of an answer is expected
}

// Read implements io.Reader. It returns errHeadTooLong or errHeadsFull once the head of an answer exceeds a limit.
func (s *headSource) Read(target []byte) (int, error) {
	if s.head == nil {
		return s.buffer.Read(target)
	}
	if s.head.bytesLeft <= 0 {
		return 0, errHeadTooLong
	}
	if _, err := s.buffer.Peek(1); err != nil {
		return 0, err
	}
	line, _ := s.buffer.Peek(s.buffer.Buffered()) // never fails for buffered bytes
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end+1]
	}
	line = line[:min(len(line), len(target), s.head.bytesLeft)]
	if err := s.head.count(line); err != nil {
		return 0, err
	}
	return s.buffer.Read(target[:len(line)])
}
