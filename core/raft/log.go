package raft

import (
	"parsleyport/core"
)

// entryLog holds the entries after base. The entries up to base are compacted into the snapshot.
type entryLog struct {
	base     core.LogIndex
	baseTerm core.Term
	entries  []Entry
}

func (l *entryLog) last() core.LogIndex {
	return l.base + core.LogIndex(len(l.entries))
}

func (l *entryLog) lastTerm() core.Term {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, and false if the index is not in the log.
func (l *entryLog) term(index core.LogIndex) (core.Term, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index core.LogIndex, term core.Term) bool {
	have, known := l.term(index)
	return known && have == term
}

// slice returns the entries from first to last inclusive.
func (l *entryLog) slice(first, last core.LogIndex) []Entry {
	if first <= l.base {
		first = l.base + 1
	}
	if first > last {
		return nil
	}
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

// batchFrom returns as many entries from first on as fit into one append message.
func (l *entryLog) batchFrom(first core.LogIndex) []Entry {
	entries := l.slice(first, min(l.last(), first+maxAppendEntries-1))
	size := 0
	for i := range entries {
		size += len(entries[i].Command)
		if i > 0 && size > maxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries from index on. It also limits the capacity, since messages already sent share the array.
func (l *entryLog) truncate(index core.LogIndex) {
	keep := int(index - l.base - 1)
	l.entries = l.entries[:keep:keep]
}

// compact removes the entries up to index, inclusive.
func (l *entryLog) compact(index core.LogIndex) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	kept := append([]Entry(nil), l.slice(index+1, l.last())...)
	l.base, l.baseTerm, l.entries = index, term, kept
}

// firstOfTerm returns the first index of the consecutive entries with the term of the entry at index.
func (l *entryLog) firstOfTerm(index core.LogIndex) core.LogIndex {
	term, _ := l.term(index)
	for index > l.base+1 && l.matches(index-1, term) {
		index--
	}
	return index
}
