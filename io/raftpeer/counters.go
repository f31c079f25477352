package raftpeer

import "github.com/VictoriaMetrics/metrics"

// counters holds the metrics of a Replica.
type counters struct {
	proposals *metrics.Counter
	reads     *metrics.Counter
	refused   *metrics.Counter
	sent      *metrics.Counter
	dropped   *metrics.Counter
}

func newCounters(set *metrics.Set, r *Replica) counters {
	if set == nil {
		set = metrics.NewSet()
	}
	set.GetOrCreateGauge("parsleyport_raft_term", func() float64 { return float64(r.Status().Term) })
	set.GetOrCreateGauge("parsleyport_raft_commit_index", func() float64 { return float64(r.Status().Commit) })
	set.GetOrCreateGauge("parsleyport_raft_applied_index", func() float64 { return float64(r.applied.Load()) })
	set.GetOrCreateGauge("parsleyport_raft_leads", func() float64 {
		if status := r.Status(); status.Leader == status.Self {
			return 1
		}
		return 0
	})
	return counters{
		proposals: set.GetOrCreateCounter("parsleyport_raft_proposals_total"),
		reads:     set.GetOrCreateCounter("parsleyport_raft_confirmed_reads_total"),
		refused:   set.GetOrCreateCounter("parsleyport_raft_refused_busy_total"),
		sent:      set.GetOrCreateCounter("parsleyport_raft_messages_sent_total"),
		dropped:   set.GetOrCreateCounter("parsleyport_raft_messages_dropped_total"),
	}
}
