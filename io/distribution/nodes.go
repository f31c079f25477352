package distribution

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"parsleyport/core"
)

const (
	// nodeReportInterval is how often a node reports itself if nothing has changed. A report takes about 125 bytes, so that a relay
	// with 75 nodes in its subtree sends about 310 B/s of the 4 KB/s for control traffic.
	nodeReportInterval = 30 * time.Second
	// minNodesInterval spaces the node reports on a link, so that the reports that follow one change are sent in few frames.
	minNodesInterval = time.Second
	// nodeReportRetention is how long the last report of a node that is gone is listed.
	nodeReportRetention = 10 * time.Minute
	// maxNodeReports bounds the stored reports: three times the planned number of nodes.
	maxNodeReports   = 8192
	maxNodesPerFrame = 1000
	// maxNodeReportNameBytes bounds the total length of a report's names.
	maxNodeReportNameBytes = 256
)

// NodeReport is a node's report of its state; AgeMS is the time since the report in milliseconds, since clocks may differ.
type NodeReport struct {
	Node        core.NodeID        `msgpack:"node"`
	Incarnation core.Incarnation   `msgpack:"incarnation"`
	DataCentre  core.DataCentre    `msgpack:"data-centre"`
	Revision    core.Revision      `msgpack:"revision"`
	Schema      core.SchemaVersion `msgpack:"schema-version"`
	AgeMS       int64              `msgpack:"age-ms"`
}

// nodes carries reports to the parent or to another control instance.
type nodes struct {
	Reports []NodeReport `msgpack:"reports"`
}

// storedReport is a report with its time by the local clock.
type storedReport struct {
	report NodeReport
	at     time.Time
	remote bool   // received from another control instance
	change uint64 // number of the last change, among all changes of the store
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

// merge keeps the newer of two reports that arrived over different paths. The revision of a node never decreases during a run.
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

// since returns at most maxNodesPerFrame reports that changed after a position, and the position of the last change that it covers.
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

// reportsWithAge returns the reports with their age at the given time.
func reportsWithAge(now time.Time, held []storedReport) []NodeReport {
	reports := make([]NodeReport, 0, len(held))
	for _, each := range held {
		each.report.AgeMS = now.Sub(each.at).Milliseconds()
		reports = append(reports, each.report)
	}
	return reports
}

// reportSelf updates the node's own report after a change of its revision and every nodeReportInterval; mu is held.
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
	if !u.nodesPacer.ready(now) || u.nodesCursor == h.nodes.changes {
		return nil
	}
	reports, position := h.nodes.since(now, u.nodesCursor, u.kind == kindControl)
	u.nodesCursor = position
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

// Nodes returns the newest report of each node, sorted by name. A node that is gone is listed until its last
// report is 10 min old.
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
