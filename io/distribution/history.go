package distribution

import (
	"parsleyport/core"
	"parsleyport/core/record"
)

// maxHistoryLength bounds the configurations kept as bases of deltas. They share the bodies of unchanged records.
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

// history keeps the latest configurations, oldest first, and caches the deltas from them to the newest one.
type history struct {
	kept   []*record.Configuration
	deltas map[configVersion]record.Delta
}

func (h *history) add(configuration *record.Configuration) {
	if last := len(h.kept) - 1; last >= 0 && h.kept[last].Revision() == configuration.Revision() {
		h.kept = h.kept[:last] // replaced: its content was not the accepted one
	}
	if last := len(h.kept) - 1; last >= 0 && h.kept[last].Revision() > configuration.Revision() {
		return
	}
	if len(h.kept) == maxHistoryLength {
		h.kept = append(h.kept[:0], h.kept[1:]...)
	}
	h.kept = append(h.kept, configuration)
	h.deltas = make(map[configVersion]record.Delta)
}

func (h *history) find(at configVersion) *record.Configuration {
	for _, configuration := range h.kept {
		if configVersionOf(configuration) == at {
			return configuration
		}
	}
	return nil
}

// delta returns the delta between two configurations; it is computed once for all children that hold the same base.
func (h *history) delta(base, current *record.Configuration) record.Delta {
	at := configVersionOf(base)
	if delta, cached := h.deltas[at]; cached && delta.ToRevision == current.Revision() {
		return delta
	}
	delta := current.DeltaFrom(base)
	h.deltas[at] = delta
	return delta
}
