package distribution

import (
	"container/list"

	"parsleyport/core"
)

const (
	// maxEvidence bounds the counts kept. At the planned size a node beside a backend server has a few routes and two
	// releases; the oldest counts are dropped first.
	maxEvidence = 65_536
	// maxEvidenceName bounds the names in a count, so that maxEvidence bounds the memory too.
	maxEvidenceName = 256
	// maxCountsPerFrame keeps a frame of evidence under about 100 KB.
	maxCountsPerFrame = 500
)

type evidenceKey struct {
	node        core.NodeID
	incarnation core.Incarnation
	service     core.ServiceName
	route       core.RouteName
	release     core.Release
}

func keyOf(count core.EvidenceCount) evidenceKey {
	return evidenceKey{
		node:        count.Node,
		incarnation: count.Incarnation,
		service:     count.Service,
		route:       count.Route,
		release:     count.Release,
	}
}

type evidenceItem struct {
	count  core.EvidenceCount
	remote bool // came from another control instance
	change uint64
}

// evidenceStore merges cumulative counts: the one with more calls replaces the other.
type evidenceStore struct {
	items   map[evidenceKey]*list.Element
	order   *list.List // of *evidenceItem, by change
	changes uint64
	dropped uint64
}

func newEvidenceStore() *evidenceStore {
	return &evidenceStore{
		items: make(map[evidenceKey]*list.Element),
		order: list.New(),
	}
}

func (s *evidenceStore) merge(counts []core.EvidenceCount, remote bool) {
	for _, count := range counts {
		s.mergeOne(count, remote)
	}
}

func (s *evidenceStore) mergeOne(count core.EvidenceCount, remote bool) {
	key := keyOf(count)
	if len(key.node)+len(key.service)+len(key.route)+len(key.release) > 4*maxEvidenceName {
		s.dropped++
		return
	}
	element := s.items[key]
	if element == nil {
		s.makeRoom()
		element = s.order.PushBack(&evidenceItem{})
		s.items[key] = element
	}
	item := element.Value.(*evidenceItem)
	if item.change > 0 && !supersedes(count, item.count) {
		return
	}
	s.changes++
	item.count, item.remote, item.change = count, remote, s.changes
	s.order.MoveToBack(element)
}

// supersedes compares cumulative counters of one run, none of which ever falls.
func supersedes(count, held core.EvidenceCount) bool {
	return count.Calls+count.Crashes+count.Failures > held.Calls+held.Crashes+held.Failures
}

func (s *evidenceStore) makeRoom() {
	if s.order.Len() < maxEvidence {
		return
	}
	delete(s.items, keyOf(s.order.Remove(s.order.Front()).(*evidenceItem).count))
	s.dropped++
}

// since returns counts that changed after a position, oldest change first, at most maxCountsPerFrame, and the position behind them.
func (s *evidenceStore) since(at uint64) ([]core.EvidenceCount, uint64) {
	element := s.order.Back()
	for element != nil && element.Value.(*evidenceItem).change > at {
		element = element.Prev()
	}
	if element == nil {
		element = s.order.Front()
	} else {
		element = element.Next()
	}
	var counts []core.EvidenceCount
	for ; element != nil && len(counts) < maxCountsPerFrame; element = element.Next() {
		item := element.Value.(*evidenceItem)
		at = item.change
		if !item.remote {
			counts = append(counts, item.count)
		}
	}
	return counts, at
}

func (s *evidenceStore) all() []core.EvidenceCount {
	counts := make([]core.EvidenceCount, 0, s.order.Len())
	for element := s.order.Front(); element != nil; element = element.Next() {
		counts = append(counts, element.Value.(*evidenceItem).count)
	}
	return counts
}
