package nodepeer

import (
	"net/http"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// commonHeaders are headers of most calls and answers, as names and values.
var commonHeaders = []any{
	"Accept",
	[]string{"*/*"},
	"Accept-Encoding",
	[]string{"identity"},
	"Connection",
	[]string{"close"},
	"User-Agent",
	[]string{""},
	"Content-Type",
	[]string{"application/json"},
	"Content-Type",
	[]string{"application/octet-stream"},
	"Content-Length",
	[]string{"1000"},
}

// NewCompressor returns the packing of messages between nodes. Names are those of the headers of calls.
func NewCompressor(names core.HeaderNames) (*frame.Compressor, error) {
	// The order of a map's entries differs from one encoding to the next, so that samples hold no map.
	named := lo.Compact([]string{names.Outcome, names.Release, names.CallerService, names.Deadline, names.CallID})
	header := append(lo.Map(named, func(name string, _ int) any { return []any{name, []string{""}} }), commonHeaders...)
	return frame.NewCompressor(
		lo.Ternary(names.IdempotencyKey == "", any(nil), any(keyMessage{})),
		sequenceMessage{}, creditMessage{}, bodyMessage{}, answerEndMessage{},
		refusedMessage{Outcome: core.OutcomeNotRun, Cause: core.CauseQueueFull},
		headMessage{Status: http.StatusOK, Whole: true},
		header,
		openMessage{Method: http.MethodPost},
		openMessage{Method: http.MethodGet, Idempotent: true},
	)
}
