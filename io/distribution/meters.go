package distribution

import "github.com/VictoriaMetrics/metrics"

// meters holds the counters of a Source or Subscriber.
type meters struct {
	sent, received        *metrics.Counter
	handshakes            *metrics.Counter
	redirects             *metrics.Counter
	retryAfters           *metrics.Counter
	fullsSent, deltasSent *metrics.Counter
	applied               *metrics.Counter
	refused               *metrics.Counter
	deltaMismatches       *metrics.Counter
	contentMismatches     *metrics.Counter
	contentRepairs        *metrics.Counter
	unknownMessages       *metrics.Counter
	lostLinks             *metrics.Counter
	quotaBytes            *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	counter := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter("parsleyport_distribution_" + name + "_total")
	}
	return &meters{
		sent:              counter("sent_bytes"),
		received:          counter("received_bytes"),
		handshakes:        counter("handshakes"),
		redirects:         counter("redirects"),
		retryAfters:       counter("retry_afters"),
		fullsSent:         counter("full_configurations_sent"),
		deltasSent:        counter("deltas_sent"),
		applied:           counter("configurations_applied"),
		refused:           counter("configurations_refused"),
		deltaMismatches:   counter("delta_mismatches"),
		contentMismatches: counter("content_mismatches"),
		contentRepairs:    counter("content_repairs"),
		unknownMessages:   counter("unknown_messages"),
		lostLinks:         counter("links_lost"),
		quotaBytes:        counter("quota_bytes"),
	}
}

func (m *meters) countSent(n uint64)     { m.sent.AddInt64(int64(n)) }
func (m *meters) countReceived(n uint64) { m.received.AddInt64(int64(n)) }

// registerGauges registers gauges for the state of a hub.
func (h *hub) registerGauges(set *metrics.Set) {
	gauge := func(name string, read func() float64) {
		set.GetOrCreateGauge("parsleyport_distribution_"+name, func() float64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return read()
		})
	}
	gauge("revision", func() float64 { return float64(h.current.Revision()) })
	gauge("children", func() float64 { return float64(len(h.children)) })
	gauge("subtree_nodes", func() float64 { return float64(h.ownAcknowledgement().merge(h.subtreeAcknowledgement()).Nodes) })
	gauge("endpoints", func() float64 { return float64(h.table.LiveCount()) })
	gauge("announcements_refused", func() float64 { return float64(h.table.Refused()) })
	gauge("evidence_dropped", func() float64 { return float64(h.evidence.dropped + h.pendingSums.dropped) })
	gauge("evidence_calls_in_doubt", func() float64 { return float64(h.pendingSums.inDoubt) })
	gauge("attached", func() float64 {
		if h.attached {
			return 1
		}
		return 0
	})
}
