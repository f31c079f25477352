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
	// catchUpAge is how long a report counts; two of three may be lost.
	catchUpAge = 3 * catchUpInterval
	// maxCatchUpLag is how far behind a learner may be when its promotion begins; the rest is waited for. Such a learner gets
	// entries and no snapshot, so its archive of the audit trail gets no new gap.
	maxCatchUpLag = raft.TrailingEntries
)

// catchUpReport is what an instance tells the others of itself.
type catchUpReport struct {
	Identity     raft.Identity `msgpack:"identity"`
	Applied      core.LogIndex `msgpack:"applied"`
	MissingAudit uint64        `msgpack:"missing-audit"`

	KnownRules core.RulesVersion `msgpack:"known-rules"`
	at         time.Time
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
	report.at = now
	c.reports[from] = report
	maps.DeleteFunc(c.reports, func(id core.ControlID, _ catchUpReport) bool { return !c.isMember(id) })
}

// last returns the newest report of an instance unless it is of another data folder.
func (c *catchUp) last(peer raft.Peer) (catchUpReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report, exists := c.reports[peer.ID]
	return report, exists && report.Identity == peer.Identity
}

// of returns the report of an instance unless it is too old or of another data folder.
func (c *catchUp) of(now time.Time, peer raft.Peer) (catchUpReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report, exists := c.reports[peer.ID]
	return report, exists && report.Identity == peer.Identity && now.Sub(report.at) <= catchUpAge
}

// check returns why a learner must not be promoted yet. Else it might count towards the majority while it lacks the log,
// or become the last instance with a vote and lack the older audit entries.
func (c *catchUp) check(now time.Time, peer raft.Peer, commit core.LogIndex) error {
	report, exists := c.of(now, peer)
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
		report, known := m.catchUp.of(time.Now(), member.Peer)
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

// reportTo names the instances that need reports: the leader, which alone changes the membership, if it keeps the voters, and
// else all, since an operator may ask any of them.
func (p *process) reportTo(replica *raftpeer.Replica) []core.ControlID {
	if leader := replica.Status().Leader; p.settings.Voters > 0 && leader != "" {
		return lo.Without([]core.ControlID{leader}, p.settings.ID)
	}
	return p.otherIDs(replica)
}

// startCatchUp starts the duty that tells the others what this instance holds.
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
			p.log.Error().Err(err).Str("event", "report-not-encoded").Msg("other instances are not told what this one holds")
			return
		}
		for _, peer := range p.reportTo(replica) {
			replica.Send(peer, catchUpTopic, payload)
		}
	})
}
