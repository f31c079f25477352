package loglimit

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// New returns a logger that writes about linesPerSecond lines a second at most. It counts the dropped ones by kind in the metric
// parsleyport_log_lines_left_out_total.
func New(log zerolog.Logger, set *metrics.Set, kind string, linesPerSecond uint32) zerolog.Logger {
	return log.Sample(&sampler{
		burst: zerolog.BurstSampler{
			Burst:  linesPerSecond,
			Period: time.Second,
		},
		dropped: set.GetOrCreateCounter(`parsleyport_log_lines_left_out_total{kind="` + kind + `"}`),
	})
}

type sampler struct {
	burst   zerolog.BurstSampler
	dropped *metrics.Counter
}

// Sample implements zerolog.Sampler.
func (s *sampler) Sample(level zerolog.Level) bool {
	kept := s.burst.Sample(level)
	if !kept {
		s.dropped.Inc()
	}
	return kept
}
