package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

func limitOf(bound int) Limits {
	return Limits{Bound: func(core.TenantID) int { return bound }}
}

// Guards against units that a holder gets back because it reports old uses by a slow clock, after the lender has lent them to another.
func TestSlowClockBringsNoUnitsBack(t *testing.T) {
	c := qt.New(t)
	l := NewLender(Time{}, 1, DefaultSettings().Span(), Limits{Bound: func(core.TenantID) int { return 0 }})
	ask := func(at time.Duration, node core.NodeID, sequence uint64, report Report) Allotment {
		report.Tenant = "t"
		answer, answered := l.Exchange(Time{Steady: at}, Request{Node: node, Incarnation: 1, Sequence: sequence, Full: true, Span: 6 * time.Second, Reports: []Report{report}}, limitOf(48))
		c.Assert(answered && len(answer.Allotments) == 1, qt.IsTrue)
		return answer.Allotments[0]
	}
	c.Assert(ask(time.Second, "a", 1, Report{Demand: 24}).Units, qt.Equals, 24)
	c.Assert(ask(12*time.Second, "b", 1, Report{Demand: 45}).Units, qt.Equals, 45)
	for sequence := range uint64(3) {
		c.Assert(ask(13*time.Second, "a", 2+sequence, Report{Held: 24, Demand: 24, Base: 48}).Units, qt.Equals, 0)
	}
}

// Guards against an earlier lender that counts units as returned which a later lender has lent to others.
func TestEarlierLenderIsNotUsed(t *testing.T) {
	c := qt.New(t)
	settings, now := DefaultSettings(), Time{Steady: time.Minute, Wall: time.Minute}
	earlier, later := NewLender(Time{}, 1, settings.Span(), limitOf(50)), NewLender(Time{}, 2, settings.Span(), limitOf(50))
	h := NewHolder(settings, "n", 1)
	h.Take(now, "t", 50)
	h.Wait("t")
	answer, answered := later.Exchange(now, h.Request(now), limitOf(50))
	c.Assert(answered && h.Answer(now, answer), qt.IsTrue)
	c.Assert(h.Held("t") > 0, qt.IsTrue)

	h.Disconnected()
	request := h.Request(now)
	_, answered = earlier.Exchange(now, request, limitOf(50))
	c.Assert(answered, qt.IsFalse)
	c.Assert(h.Answer(now, Answer{Sequence: request.Sequence, Term: 1, Allotments: []Allotment{{Tenant: "t", Units: 50}}}), qt.IsFalse)
}

// Guards against a holder that keeps the lender busy or that never asks again.
func TestExchangesAreSpaced(t *testing.T) {
	c := qt.New(t)
	settings, now := DefaultSettings(), Time{Steady: time.Minute, Wall: time.Minute}
	h := NewHolder(settings, "n", 1)
	_, needed := h.Due(now)
	c.Assert(needed || h.Active(), qt.IsFalse)
	h.Take(now, "t", 50)
	h.Wait("t")
	due, needed := h.Due(now)
	c.Assert(needed && due <= now.Steady, qt.IsTrue)
	request := h.Request(now)
	_, needed = h.Due(now)
	c.Assert(needed, qt.IsFalse)
	c.Assert(h.Answer(now, Answer{Sequence: request.Sequence, Term: 1, Allotments: []Allotment{{Tenant: "t", Base: 50, Used: 3 * time.Second}}}), qt.IsTrue)
	verdict, expected := h.Take(now, "t", 50)
	c.Assert(verdict, qt.Equals, Used)
	c.Assert(expected, qt.Equals, now.Steady+3*time.Second)
	due, _ = h.Due(now)
	c.Assert(due, qt.Equals, now.Steady+maxUsedWait)
	now.Steady += Lease
	now.Wall += Lease
	verdict, _ = h.Take(now, "t", 50)
	c.Assert(verdict, qt.Equals, Missing)
	due, _ = h.Due(now)
	c.Assert(due <= now.Steady, qt.IsTrue)
}

// Guards against a holder that runs out of units when the lender is lost soon after the traffic has begun, before the window is full.
func TestNewTenantsGetUnitsForAWindow(t *testing.T) {
	c := qt.New(t)
	settings := DefaultSettings()
	l, h := NewLender(Time{}, 1, settings.Span(), limitOf(600)), NewHolder(settings, "n", 1)
	admitted, refused := 0, 0
	for ms := 20_000; ms < 24_000; ms += 50 { // 20 requests a second, and no lender after the first one
		at := time.Duration(ms) * time.Millisecond
		now := Time{Steady: at, Wall: at}
		exchange := func() {
			due, needed := h.Due(now)
			if !needed || due > at || ms >= 21_000 {
				return
			}
			if answer, answered := l.Exchange(now, h.Request(now), limitOf(600)); answered {
				h.Answer(now, answer)
			}
		}
		verdict, _ := h.Take(now, "t", 600)
		if verdict != Admitted {
			h.Wait("t")
			exchange()
			verdict, _ = h.Take(now, "t", 600)
			h.Leave(now, "t", verdict != Admitted)
		}
		if verdict == Admitted {
			admitted++
		} else {
			refused++
		}
		exchange()
	}
	c.Assert(refused, qt.Equals, 0, qt.Commentf("%d admitted", admitted))
}
