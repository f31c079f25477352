package httpserver

import "github.com/juju/errors"

// Limits of the head of a request. They suit ports whose clients are the operators' own programs: those send less than a kilobyte and a
// dozen lines. A parsed line takes some 200 bytes in addition to its text, so that lines are limited apart from bytes.
const (
	maxHeadBytes  = 16 << 10
	maxHeadLines  = 128
	maxEmptyLines = 16 // before the request line; some clients send one after a body
)

// Errors of headCounter.
const (
	errHeadTooLong    = errors.ConstError("head of a request is over 16 KiB")
	errTooManyLines   = errors.ConstError("head of a request has over 128 lines")
	errTooManyEmpties = errors.ConstError("over 16 empty lines before a request")
)

// headCounter counts the head of a request while it is read, before it is parsed. Its zero value is at the start of a head.
type headCounter struct {
	bytes, lines, emptyLines int
	lineBytes                int // in the current line, without a carriage return
	ended                    bool
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
		if h.lines++; h.lines > maxHeadLines {
			return errTooManyLines
		}
	}
	return nil
}
