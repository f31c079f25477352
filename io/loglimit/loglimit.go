package loglimit

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// New returns a logger that writes at most a number of lines in a second; the others are counted by kind in
// parsleyport_log_lines_left_out_total.
func New(log zerolog.Logger, set *metrics.Set, kind string, lines uint32) zerolog.Logger {
	return log.Sample(&sampler{
		burst: zerolog.BurstSampler{
			Burst:  lines,
			Period: time.Second,
		},
		leftOut: set.GetOrCreateCounter(`parsleyport_log_lines_left_out_total{kind="` + kind + `"}`),
	})
}

type sampler struct {
	burst   zerolog.BurstSampler
	leftOut *metrics.Counter
}

// Sample implements zerolog.Sampler.
func (s *sampler) Sample(level zerolog.Level) bool {
	kept := s.burst.Sample(level)
	if !kept {
		s.leftOut.Inc()
	}
	return kept
}
