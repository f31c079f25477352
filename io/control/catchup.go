package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/packed"
	"parsleyport/core/raft"
	"parsleyport/io/operatorhttp"
	"parsleyport/io/raftpeer"
)

const (
	catchUpTopic    = "catch-up"
	catchUpInterval = 500 * time.Millisecond
	// maxCatchUpReportAge is how long a report is valid, so that two of three may be lost.
	maxCatchUpReportAge = 3 * catchUpInterval
	// maxCatchUpLag is the number of entries that a learner may lack when its promotion begins; the promotion waits for the rest.
	// Such a learner gets entries and no snapshot, so its archive of the audit trail gets no new gap.
	maxCatchUpLag = raft.TrailingEntries
)

// catchUpReport tells the other instances which log entries, audit entries and rules an instance has.
type catchUpReport struct {
	Identity     raft.Identity `msgpack:"identity"`
	Applied      core.LogIndex `msgpack:"applied"`
	MissingAudit uint64        `msgpack:"missing-audit"`

	KnownRules core.RulesVersion `msgpack:"known-rules"`
	receivedAt time.Time
}

// catchUp holds the newest report of each other instance.
type catchUp struct {
	isMember func(core.ControlID) bool

	mu      sync.Mutex
	reports map[core.ControlID]catchUpReport
}

func newCatchUp(isMember func(core.ControlID) bool) *catchUp {
	return &catchUp{
		isMember: isMember,
		reports:  make(map[core.ControlID]catchUpReport),
	}
}

func (c *catchUp) receive(now time.Time, from core.ControlID, payload []byte) {
	var report catchUpReport
	if err := packed.Decode(payload, &report); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	report.receivedAt = now
	c.reports[from] = report
	maps.DeleteFunc(c.reports, func(id core.ControlID, _ catchUpReport) bool { return !c.isMember(id) })
}

// latest returns the newest report of an instance, and false if there is none or it is about another data folder.
func (c *catchUp) latest(peer raft.Peer) (catchUpReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report, exists := c.reports[peer.ID]
	return report, exists && report.Identity == peer.Identity
}

// fresh returns the newest report of an instance, and false if there is none, it is too old or it is about another data folder.
func (c *catchUp) fresh(now time.Time, peer raft.Peer) (catchUpReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report, exists := c.reports[peer.ID]
	return report, exists && report.Identity == peer.Identity && now.Sub(report.receivedAt) <= maxCatchUpReportAge
}

// checkPromotion returns an error if a learner must not be promoted yet. Otherwise it might count towards the quorum while it lacks
// the log, or become the last voter while it lacks the older audit entries.
func (c *catchUp) checkPromotion(now time.Time, peer raft.Peer, commit core.LogIndex) error {
	report, exists := c.fresh(now, peer)
	switch {
	case !exists:
		return errors.Annotatef(raft.ErrTransient, "promotion of %q: it has not reported what it holds", peer.ID)
	case report.Applied+maxCatchUpLag < commit:
		return errors.Annotatef(raft.ErrTransient, "promotion of %q: it holds entry %d of %d", peer.ID, report.Applied, commit)
	case report.MissingAudit > 0:
		return errors.Annotatef(raft.ErrTransient, "promotion of %q: it lacks %d entries of the audit trail", peer.ID, report.MissingAudit)
	}
	return nil
}

// CatchUp implements operatorhttp.Membership.
func (m operatorMembership) CatchUp() []operatorhttp.CatchUp {
	var list []operatorhttp.CatchUp
	for _, member := range m.Members() {
		if member.Voter {
			continue
		}
		report, known := m.catchUp.fresh(time.Now(), member.Peer)
		list = append(list, operatorhttp.CatchUp{
			ID:           member.Peer.ID,
			Known:        known,
			Applied:      report.Applied,
			Committed:    m.Status().Commit,
			MissingAudit: report.MissingAudit,
		})
	}
	return list
}

// reportRecipients returns the instances that need reports: only the leader if it maintains the voters, because it alone changes the
// membership then, and otherwise all instances, because an operator may ask any of them.
func (p *process) reportRecipients(replica *raftpeer.Replica) []core.ControlID {
	if leader := replica.Status().Leader; p.settings.Voters > 0 && leader != "" {
		return lo.Without([]core.ControlID{leader}, p.settings.ID)
	}
	return p.otherIDs(replica)
}

// startCatchUp starts the background task that reports to the other instances what this one holds.
func (p *process) startCatchUp(injector do.Injector) {
	replica, records := do.MustInvoke[*raftpeer.Replica](injector), do.MustInvoke[*catalog.Catalog](injector)
	p.startPeriodic(catchUpInterval, func(context.Context, time.Time) {
		first, end := records.MissingAudit()
		payload, err := msgpack.Marshal(catchUpReport{
			Identity:     replica.Self().Identity,
			Applied:      replica.Status().Applied,
			MissingAudit: end - first,
			KnownRules:   catalog.KnownRules,
		})
		if err != nil {
			p.log.Error().Err(err).Str("event", "report-not-encoded").Msg("catch-up report cannot be encoded")
			return
		}
		for _, peer := range p.reportRecipients(replica) {
			replica.Send(peer, catchUpTopic, payload)
		}
	})
}
