package loglimit_test

import (
	"bytes"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"parsleyport/io/loglimit"
)

// Guards against a log that grows with the load, and against dropped lines that are not counted.
func TestLinesAreBoundedAndCounted(t *testing.T) {
	c := qt.New(t)
	var written bytes.Buffer
	set := metrics.NewSet()
	log := loglimit.New(zerolog.New(&written), set, "failed", 3)
	for range 100 {
		log.Info().Msg("call ended")
	}
	lines := bytes.Count(written.Bytes(), []byte("\n"))
	c.Assert(lines >= 3 && lines <= 6, qt.IsTrue, qt.Commentf("%d lines", lines)) // the second may change within the loop
	leftOut := set.GetOrCreateCounter(`parsleyport_log_lines_left_out_total{kind="failed"}`).Get()
	c.Assert(leftOut, qt.Equals, uint64(100-lines))
}

// Guards against timestamps that do not show the order of lines within a second.
func TestTimestampsHaveMilliseconds(t *testing.T) {
	c := qt.New(t)
	var written bytes.Buffer
	log := loglimit.WithTime(zerolog.New(&written))
	log.Info().Msg("call ended")
	c.Assert(written.String(), qt.Matches, `(?s).*"time":"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z".*`)
}
