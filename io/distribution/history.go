package distribution

import (
	"slices"

	"parsleyport/core"
	"parsleyport/core/record"
)

// maxHistoryLength bounds the configurations from which a delta can be sent.
const maxHistoryLength = 16

// configVersion identifies a configuration by revision and content.
type configVersion struct {
	revision core.Revision
	hash     core.Hash
}

func configVersionOf(configuration *record.Configuration) configVersion {
	return configVersion{
		revision: configuration.Revision(),
		hash:     configuration.Hash(),
	}
}

// history keeps what changed between the latest configurations, from which deltas to the newest one are made. It does not keep the
// older configurations themselves: 16 of them with 1,200 routes each took more memory than all else in a node.
type history struct {
	newest *record.Configuration
	steps  []historyStep // oldest first
	deltas map[configVersion]record.Delta
}

// historyStep is an older configuration's version with what has changed since.
type historyStep struct {
	version configVersion
	changes record.Changes
}

func (h *history) add(configuration *record.Configuration) {
	if h.newest != nil && h.newest.Revision() > configuration.Revision() {
		return
	}
	previous := h.newest
	h.newest, h.deltas = configuration, make(map[configVersion]record.Delta)
	if previous == nil || previous.Revision() == configuration.Revision() { // replaced: its content was not the accepted one
		h.steps = nil
		return
	}
	if len(h.steps) == maxHistoryLength {
		h.steps = slices.Delete(h.steps, 0, 1)
	}
	h.steps = append(h.steps, historyStep{
		version: configVersionOf(previous),
		changes: configuration.ChangesFrom(previous),
	})
}

// delta returns the delta from an older configuration to the newest one. It is computed once for all children that hold the same
// base, and false if the base is unknown.
func (h *history) delta(base configVersion) (record.Delta, bool) {
	if delta, cached := h.deltas[base]; cached {
		return delta, true
	}
	at := slices.IndexFunc(h.steps, func(step historyStep) bool { return step.version == base })
	if at < 0 {
		return record.Delta{}, false
	}
	var changes record.Changes
	for _, step := range h.steps[at:] {
		changes = changes.Merge(step.changes)
	}
	delta := h.newest.DeltaSince(base.revision, base.hash, changes)
	h.deltas[base] = delta
	return delta, true
}
