package pipelinehttp

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against an account that exceeds its size, that leaks, or whose part for small requests is used by others.
func TestAccountModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAccount(rapid.Int64Range(smallRequestBytes, 20*smallRequestBytes).Draw(t, "size"))
		holdings := make([]*holding, 8)
		for i := range holdings {
			holdings[i] = &holding{account: a}
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				h, bytes, alone := rapid.SampledFrom(holdings).Draw(t, "holding"), rapid.Int64Range(0, 2*smallRequestBytes).Draw(t, "bytes"), rapid.Bool().Draw(t, "alone")
				before := *h
				fits := a.used+bytes <= a.size
				if granted := h.reserve(bytes, alone); granted && !fits && bytes > 0 {
					t.Fatal("granted more than the size")
				} else if !granted && *h != before {
					t.Fatal("a refusal changed what is held")
				} else if !granted && fits && alone && !before.large && before.bytes+bytes <= smallRequestBytes {
					t.Fatal("a small request was refused although there is room")
				}
			},
			"release": func(t *rapid.T) { rapid.SampledFrom(holdings).Draw(t, "holding").release() },
			"": func(t *rapid.T) {
				used, large := int64(0), int64(0)
				for _, h := range holdings {
					used += h.bytes
					if h.large {
						large += h.bytes
					}
				}
				if used != a.inUse() || large != a.large || used > a.size || large > a.size-a.size/smallRequestShare {
					t.Fatalf("%d bytes (%d large) held, account %+v", used, large, a)
				}
			},
		})
		for _, h := range holdings {
			h.release()
		}
		if a.inUse() != 0 || a.large != 0 {
			t.Fatal("bytes leaked")
		}
	})
}
