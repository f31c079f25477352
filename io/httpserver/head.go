package httpserver

import (
	"github.com/juju/errors"

	"parsleyport/core/memory"
)

// Limits of the head of a request. They suit ports whose clients are the operators' own programs: those send less than a kilobyte and a
// dozen lines.
const (
	maxHeadBytes  = 16 << 10
	maxEmptyLines = 16 // before the request line; some clients send one after a body
	// freeLines is the number of lines of a head for which no memory is reserved, so that ordinary clients need none of the memory
	// that others have used up.
	freeLines = 128
	// lineReservation is the number of further lines for which memory is reserved at once.
	lineReservation = 64
	// headBudgetBytes bounds the memory for the further lines of all heads of one port.
	headBudgetBytes = 4 << 20
)

// Errors of headCounter.
const (
	errHeadTooLong    = errors.ConstError("head of a request is over 16 KiB")
	errHeadsFull      = errors.ConstError("heads of other requests use up the memory for lines")
	errTooManyEmpties = errors.ConstError("over 16 empty lines before a request")
)

// headCounter counts the head of a request while it is read, before it is parsed. Its zero value is at the start of a head.
type headCounter struct {
	bytes, lines, emptyLines int
	lineBytes                int // in the current line, without a carriage return
	ended                    bool
}

// reservation returns the memory for the lines that were counted.
func (h *headCounter) reservation() int64 {
	further := max(0, h.lines-freeLines)
	steps := (further + lineReservation - 1) / lineReservation
	return int64(steps * lineReservation * memory.HeaderLineBytes)
}

// count returns how many of the received bytes belong to the head, or an error if they exceed a limit.
func (h *headCounter) count(data []byte) (int, error) {
	for i, b := range data {
		if h.ended {
			return i, nil
		}
		if h.bytes++; h.bytes > maxHeadBytes {
			return i, errHeadTooLong
		}
		if b == '\r' {
			continue
		}
		if b != '\n' {
			h.lineBytes++
			continue
		}
		if err := h.endLine(); err != nil {
			return i, err
		}
	}
	return len(data), nil
}

func (h *headCounter) endLine() error {
	isEmpty := h.lineBytes == 0
	h.lineBytes = 0
	switch {
	case isEmpty && h.lines > 0:
		h.ended = true
	case isEmpty:
		if h.emptyLines++; h.emptyLines > maxEmptyLines {
			return errTooManyEmpties
		}
	default:
		h.lines++
	}
	return nil
}
