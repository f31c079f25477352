package outside

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a check that misses a violation of one of the guarantees, or reports one in a clean log.
func TestVerifyLogsReportsEachViolation(t *testing.T) {
	c := qt.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	good := callEntry{Key: "k", Method: "POST", Target: "n", At: at, LatencyUS: 10, Status: 200, Outcome: "answered", Revision: 2, Complete: true}
	one := []runEntry{{Key: "k"}}
	c.Assert(verifyLogs([]callEntry{good}, one, true), qt.HasLen, 0)

	c.Assert(verifyLogs([]callEntry{good}, append(one, one...), true), qt.HasLen, 1)
	c.Assert(verifyLogs([]callEntry{good}, nil, true), qt.HasLen, 1)

	refused := callEntry{Key: "k", Method: "POST", Target: "n", At: at, Status: 503, Outcome: "not-run"}
	c.Assert(verifyLogs([]callEntry{refused}, one, false), qt.HasLen, 1)
	c.Assert(verifyLogs([]callEntry{refused}, nil, false), qt.HasLen, 0)
	c.Assert(verifyLogs([]callEntry{refused}, nil, true), qt.HasLen, 1)

	cut := good
	cut.Complete = false
	c.Assert(verifyLogs([]callEntry{cut}, one, false), qt.HasLen, 1)

	older := good
	older.Key, older.Method, older.Revision, older.At = "l", "GET", 1, at.Add(time.Second)
	c.Assert(verifyLogs([]callEntry{good, older}, []runEntry{{Key: "k"}, {Key: "l"}}, true), qt.HasLen, 1)
}
