package lease

import "parsleyport/core"

// View selects the endpoints that a subscriber is sent.
type View int

// The views of a table.
const (
	// All has every live endpoint. It is sent to children.
	All View = iota
	// Local has the endpoints leased by a local owner. It is sent to the parent or to the other control instances.
	Local
	viewCount
)

// maxLoggedChanges is the number of changes by which a subscriber may lag before it has to compare digests.
const maxLoggedChanges = 4096

type change struct {
	endpointKey
	onlyFor Owner // set if nothing changed for other owners
}

// changeLog is a ring buffer of the last maxLoggedChanges changes.
type changeLog struct {
	items []change
	next  uint64
}

func (l *changeLog) add(endpoint core.Endpoint) {
	l.append(endpoint, Owner{})
}

// addFor logs a change of an endpoint's other owners, which concerns only the owner that was or becomes the sole one.
func (l *changeLog) addFor(sole Owner, endpoint core.Endpoint) {
	if sole != (Owner{}) {
		l.append(endpoint, sole)
	}
}

func (l *changeLog) append(endpoint core.Endpoint, only Owner) {
	item := change{
		endpointKey: endpointKey{
			node:    endpoint.Node,
			service: endpoint.Service,
		},
		onlyFor: only,
	}
	if len(l.items) < maxLoggedChanges {
		l.items = append(l.items, item)
	} else {
		l.items[l.next%maxLoggedChanges] = item
	}
	l.next++
}

// ChangeSet brings a subscriber from one position of the change log to Next.
type ChangeSet struct {
	Upserts  []core.Endpoint
	Removals []Removal
	Next     uint64
}

// Empty reports whether there are no changes to send.
func (c ChangeSet) Empty() bool {
	return len(c.Upserts) == 0 && len(c.Removals) == 0
}

// Position returns the end of a view's change log.
func (t *Table) Position(view View) uint64 {
	return t.logs[view].next
}

// Changes returns the current state of the endpoints of a view that changed since a position, each once, as it is sent to an owner.
// It returns false if the change log does not reach back that far.
func (t *Table) Changes(view View, since uint64, to Owner, wanted func(core.ServiceName) bool) (ChangeSet, bool) {
	log := &t.logs[view]
	if since > log.next || log.next-since > maxLoggedChanges {
		return ChangeSet{}, false
	}
	set := ChangeSet{
		Next: log.next,
	}
	if since == log.next {
		return set, true
	}
	seen := make(map[change]bool, log.next-since)
	for at := since; at < log.next; at++ {
		item := log.items[at%maxLoggedChanges]
		if seen[item] || !wanted(item.service) || (item.onlyFor != Owner{} && item.onlyFor != to) {
			continue
		}
		seen[item] = true
		t.collect(view, item, to, &set)
	}
	return set, true
}

func (t *Table) collect(view View, item change, to Owner, set *ChangeSet) {
	e := t.entries[item.node]
	if e == nil {
		return // removed after TombstoneAge; every subscriber has read the removal by then
	}
	current := e.state()
	listed := current.live && current.endpoint.Service == item.service
	if listed && view == All && item.onlyFor == (Owner{}) && !current.visibleTo(to) {
		return // the subscriber announced it
	}
	if listed && ((view == All && current.visibleTo(to)) || (view == Local && current.local)) {
		set.Upserts = append(set.Upserts, current.endpoint)
		return
	}
	set.Removals = append(set.Removals, Removal{
		Elsewhere:   view == Local && listed,
		Node:        item.node,
		Incarnation: e.endpoint.Incarnation,
		Sequence:    e.endpoint.Sequence,
		Service:     item.service,
	})
}
