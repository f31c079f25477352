package distribution

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"parsleyport/core"
)

const (
	// nodeReportInterval is how often a node reports itself if nothing has changed. A report has about 125 bytes, so that
	// a relay with 75 nodes in its subtree sends about 310 B/s of the 4 KB/s for control traffic.
	nodeReportInterval = 30 * time.Second
	// minNodesInterval spaces the reports of a link, so that those of one change go up in few frames.
	minNodesInterval = time.Second
	// nodeReportRetention is how long the last report of a node that went away is shown.
	nodeReportRetention = 10 * time.Minute
	// maxNodeReports bounds the reports kept: three times the nodes of the planned size.
	maxNodeReports         = 8192
	maxNodesPerFrame       = 1000
	maxNodeReportNameBytes = 256
)

// NodeReport is what a node says of itself; AgeMS is the time since then, which needs no common clock.
type NodeReport struct {
	Node        core.NodeID        `msgpack:"node"`
	Incarnation core.Incarnation   `msgpack:"incarnation"`
	DataCentre  core.DataCentre    `msgpack:"data-centre"`
	Revision    core.Revision      `msgpack:"revision"`
	Schema      core.SchemaVersion `msgpack:"schema-version"`
	AgeMS       int64              `msgpack:"age-ms"`
}

// nodes carries reports upwards and between control instances.
type nodes struct {
	Reports []NodeReport `msgpack:"reports"`
}

type storedReport struct {
	report NodeReport
	at     time.Time
	remote bool // came from another control instance
	change uint64
}

// nodeStore holds the newest report of each node.
type nodeStore struct {
	items   map[core.NodeID]storedReport
	changes uint64
}

func newNodeStore() *nodeStore {
	return &nodeStore{
		items: make(map[core.NodeID]storedReport),
	}
}

// merge keeps the newer of two reports that came over different paths: a run of a node never goes back to an older revision.
func (s *nodeStore) merge(now time.Time, report NodeReport, remote bool) {
	at := now.Add(-time.Duration(max(report.AgeMS, 0)) * time.Millisecond)
	held, exists := s.items[report.Node]
	isOlder := exists && (report.Incarnation < held.report.Incarnation ||
		report.Incarnation == held.report.Incarnation && (report.Revision < held.report.Revision || report.Revision == held.report.Revision && !at.After(held.at)))
	if isOlder || report.Node == "" || len(report.Node)+len(report.DataCentre) > maxNodeReportNameBytes || (!exists && len(s.items) >= maxNodeReports) {
		return
	}
	s.changes++
	s.items[report.Node] = storedReport{
		report: report,
		at:     at,
		remote: remote,
		change: s.changes,
	}
}

func (s *nodeStore) expire(now time.Time) {
	for id, held := range s.items {
		if now.Sub(held.at) >= nodeReportRetention {
			delete(s.items, id)
		}
	}
}

// since returns the reports after a change, at most a frame full, and the change up to which they reach.
func (s *nodeStore) since(now time.Time, after uint64, localOnly bool) ([]NodeReport, uint64) {
	var newer []storedReport
	for _, held := range s.items {
		if held.change > after && !(localOnly && held.remote) {
			newer = append(newer, held)
		}
	}
	slices.SortFunc(newer, func(a, b storedReport) int { return cmp.Compare(a.change, b.change) })
	reached := s.changes
	if len(newer) > maxNodesPerFrame {
		newer = newer[:maxNodesPerFrame]
		reached = newer[maxNodesPerFrame-1].change
	}
	return reportsWithAge(now, newer), reached
}

func reportsWithAge(now time.Time, held []storedReport) []NodeReport {
	reports := make([]NodeReport, 0, len(held))
	for _, each := range held {
		each.report.AgeMS = now.Sub(each.at).Milliseconds()
		reports = append(reports, each.report)
	}
	return reports
}

// reportSelf keeps the node's own report up to date; mu is held.
func (h *hub) reportSelf(now time.Time) {
	if h.relayID == "" {
		return
	}
	held, exists := h.nodes.items[h.relayID]
	if exists && held.report.Revision == h.current.Revision() && now.Sub(held.at) < nodeReportInterval {
		return
	}
	h.nodes.merge(now, NodeReport{
		Node:        h.relayID,
		Incarnation: h.incarnation,
		DataCentre:  h.dataCentre,
		Revision:    h.current.Revision(),
		Schema:      h.schema,
	}, false)
}

func (h *hub) nodesDue(u *uplink, now time.Time) []outgoing {
	if !u.nodesPacer.ready(now) || u.nodesAt == h.nodes.changes {
		return nil
	}
	reports, reached := h.nodes.since(now, u.nodesAt, u.kind == kindControl)
	u.nodesAt = reached
	if len(reports) == 0 {
		return nil
	}
	u.nodesPacer.sent(now)
	return []outgoing{{
		kind: typeNodes,
		message: nodes{
			Reports: reports,
		},
	}}
}

// Nodes returns the newest report of each node, sorted by name; nodes that went away are in it for a while.
func (s *Source) Nodes() []NodeReport {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	reports := make([]storedReport, 0, len(s.hub.nodes.items))
	for _, held := range s.hub.nodes.items {
		reports = append(reports, held)
	}
	slices.SortFunc(reports, func(a, b storedReport) int { return strings.Compare(string(a.report.Node), string(b.report.Node)) })
	return reportsWithAge(time.Now(), reports)
}
