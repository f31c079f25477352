package distribution

import (
	"container/list"

	"parsleyport/core"
)

const (
	// maxEvidence bounds the sums that a control instance keeps. A move has a few routes and two releases in each data centre
	// below each control instance. The sum that changed least recently is evicted first.
	maxEvidence = 65_536
	// maxEvidenceNameBytes bounds the average length of a count's names in bytes, so that maxEvidence also bounds the memory.
	maxEvidenceNameBytes = 256
	// maxCountsPerFrame keeps an evidence frame below about 100 KB.
	maxCountsPerFrame = 500
)

// evidenceKey identifies a cumulative sum: node names the control instance and the data centre of the counts, incarnation the run
// of that instance, and the other fields what is counted.
type evidenceKey struct {
	node        core.NodeID
	incarnation core.Incarnation
	move        core.MoveID
	service     core.ServiceName
	route       core.RouteName
	release     core.Release
}

func keyOf(count core.EvidenceCount) evidenceKey {
	return evidenceKey{
		node:        count.Node,
		incarnation: count.Incarnation,
		move:        count.Move,
		service:     count.Service,
		route:       count.Route,
		release:     count.Release,
	}
}

type evidenceItem struct {
	count  core.EvidenceCount
	remote bool   // received from another control instance
	change uint64 // number of the last change, among all changes of the store
}

// evidenceStore holds the evidence of a control instance: its own cumulative sums and those of the other instances. Of two
// versions of another instance's sum, the one with more calls replaces the other.
type evidenceStore struct {
	items    map[evidenceKey]*list.Element
	byChange *list.List // of *evidenceItem, least recently changed first
	changes  uint64
	dropped  uint64
}

func newEvidenceStore() *evidenceStore {
	return &evidenceStore{
		items:    make(map[evidenceKey]*list.Element),
		byChange: list.New(),
	}
}

func (s *evidenceStore) merge(counts []core.EvidenceCount, remote bool) {
	for _, count := range counts {
		s.mergeOne(count, remote)
	}
}

// add adds the counts since an earlier report to a cumulative sum.
func (s *evidenceStore) add(count core.EvidenceCount) {
	if element := s.items[keyOf(count)]; element != nil {
		count = sumOf(count, element.Value.(*evidenceItem).count)
	}
	s.mergeOne(count, false)
}

func sumOf(a, b core.EvidenceCount) core.EvidenceCount {
	a.Calls += b.Calls
	a.Failures += b.Failures
	a.Crashes += b.Crashes
	for i := range a.Latency {
		a.Latency[i] += b.Latency[i]
	}
	return a
}

func (s *evidenceStore) mergeOne(count core.EvidenceCount, remote bool) {
	key := keyOf(count)
	if len(key.node)+len(key.move)+len(key.service)+len(key.route)+len(key.release) > 5*maxEvidenceNameBytes {
		s.dropped++
		return
	}
	element := s.items[key]
	if element == nil {
		s.evictOldest()
		element = s.byChange.PushBack(&evidenceItem{})
		s.items[key] = element
	}
	item := element.Value.(*evidenceItem)
	if item.change > 0 && !supersedes(count, item.count) {
		return
	}
	s.changes++
	item.count, item.remote, item.change = count, remote, s.changes
	s.byChange.MoveToBack(element)
}

// supersedes compares the cumulative counters of one run; none of them decreases.
func supersedes(count, held core.EvidenceCount) bool {
	return count.Calls+count.Crashes+count.Failures > held.Calls+held.Crashes+held.Failures
}

func (s *evidenceStore) evictOldest() {
	if s.byChange.Len() < maxEvidence {
		return
	}
	delete(s.items, keyOf(s.byChange.Remove(s.byChange.Front()).(*evidenceItem).count))
	s.dropped++
}

// since returns at most maxCountsPerFrame own counts that changed after a position, in order of change, and the position of the
// last change that it covers.
func (s *evidenceStore) since(position uint64) ([]core.EvidenceCount, uint64) {
	element := s.byChange.Back()
	for element != nil && element.Value.(*evidenceItem).change > position {
		element = element.Prev()
	}
	if element == nil {
		element = s.byChange.Front()
	} else {
		element = element.Next()
	}
	var counts []core.EvidenceCount
	for ; element != nil && len(counts) < maxCountsPerFrame; element = element.Next() {
		item := element.Value.(*evidenceItem)
		position = item.change
		if !item.remote {
			counts = append(counts, item.count)
		}
	}
	return counts, position
}

func (s *evidenceStore) all() []core.EvidenceCount {
	counts := make([]core.EvidenceCount, 0, s.byChange.Len())
	for element := s.byChange.Front(); element != nil; element = element.Next() {
		counts = append(counts, element.Value.(*evidenceItem).count)
	}
	return counts
}
