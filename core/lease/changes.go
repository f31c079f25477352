package lease

import "parsleyport/core"

// View selects the endpoints that a subscriber sees.
type View int

// The views of a table.
const (
	// All has every live endpoint; it is what goes down to children.
	All View = iota
	// Local has the endpoints that a local owner vouches for; it is what goes up to a parent or across to control instances.
	Local
	viewCount
)

// maxLoggedChanges bounds the changes that a subscriber may lag behind before it has to compare digests.
const maxLoggedChanges = 4096

type change struct {
	endpointKey
	onlyFor Owner // set if nothing changed for others
}

// changeLog grows up to maxLoggedChanges items and then overwrites the oldest.
type changeLog struct {
	items []change
	next  uint64
}

func (l *changeLog) add(endpoint core.Endpoint) {
	l.append(endpoint, Owner{})
}

// addFor notes a change of who else vouches for an endpoint, which concerns only the sole owner before or after it.
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

// ChangeSet leads a subscriber from one position of the change log to Next.
type ChangeSet struct {
	Upserts  []core.Endpoint
	Removals []Removal
	Next     uint64
}

// Empty reports whether there is nothing to send.
func (c ChangeSet) Empty() bool {
	return len(c.Upserts) == 0 && len(c.Removals) == 0
}

// Position returns the current end of a view's change log.
func (t *Table) Position(view View) uint64 {
	return t.logs[view].next
}

// Changes returns the present state of what changed in a view since a position, each endpoint once, as it is sent to an
// owner; it returns false if the log does not reach back that far.
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
	held := t.entries[item.node]
	if held == nil {
		return // forgotten after TombstoneAge; every subscriber has read its removal by then
	}
	current := held.state()
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
		Incarnation: held.endpoint.Incarnation,
		Sequence:    held.endpoint.Sequence,
		Service:     item.service,
	})
}
