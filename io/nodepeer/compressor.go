package nodepeer

import (
	"net/http"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// commonHeaders are names and values of headers that most calls and answers contain.
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

// NewCompressor returns the compressor of messages between nodes, for the given names of the headers of calls. It fails if
// msgpack cannot encode a sample.
func NewCompressor(names core.HeaderNames) (*frame.Compressor, error) {
	// The samples contain no map, since its entries are encoded in random order and every process needs the same dictionary.
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
