package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/raft"
)

// Guards against a promoted learner that lacks the log or the older audit entries, against a report about a disk that the learner has
// lost, and against rules that come into force while an instance does not know them.
func TestPromotionIsRefusedUntilCaughtUp(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	catchUps := newCatchUp(func(id core.ControlID) bool { return id == "c2" })
	learner := raft.Peer{ID: "c2", Identity: "new"}
	report := func(from core.ControlID, r catchUpReport) {
		payload, err := msgpack.Marshal(r)
		c.Assert(err, qt.IsNil)
		catchUps.receive(now, from, payload)
	}
	assertRefused := func(text string) {
		err := catchUps.checkPromotion(now, learner, 5000)
		c.Assert(err, qt.ErrorMatches, `promotion of "c2": `+text+`: .*`)
		c.Assert(errors.Is(err, raft.ErrTransient), qt.IsTrue) // so that the client asks again
	}
	assertRefused("it has not reported what it holds")
	report("c2", catchUpReport{Identity: "old", Applied: 5000})
	assertRefused("it has not reported what it holds")
	report("c2", catchUpReport{Identity: "new", Applied: 4000})
	assertRefused("it holds entry 4000 of 5000")
	report("c2", catchUpReport{Identity: "new", Applied: 4990, MissingAudit: 12})
	assertRefused("it lacks 12 entries of the audit trail")
	report("c2", catchUpReport{Identity: "new", Applied: 4990})
	c.Assert(catchUps.checkPromotion(now, learner, 5000), qt.IsNil)
	now = now.Add(maxCatchUpReportAge + 1)
	assertRefused("it has not reported what it holds")
	report("stranger", catchUpReport{})
	c.Assert(catchUps.reports, qt.HasLen, 1)

	members := []raft.Member{{Peer: raft.Peer{ID: "c1"}}, {Peer: learner}}
	knownRules := func() core.RulesVersion { return catchUps.knownToAll(now, members[0].Peer, members) }
	c.Assert(knownRules(), qt.Equals, core.RulesVersion(0)) // an instance that has not reported may not know newer rules
	report("c2", catchUpReport{Identity: "new"})
	c.Assert(knownRules(), qt.Equals, core.RulesVersion(0)) // from a program without this field
	report("c2", catchUpReport{Identity: "new", KnownRules: catalog.KnownRules + 1})
	c.Assert(knownRules(), qt.Equals, catalog.KnownRules)
}

// Guards against limits in the commands while an older program, which does not know them, may decide these commands.
func TestLimitsWaitForTheirRules(t *testing.T) {
	c := qt.New(t)
	records := catalog.New()
	limits := (&process{}).tenantLimits(records)
	c.Assert(limits(), qt.IsNil)
	command, err := catalog.EncodeRules(time.Now(), catalog.LimitRules)
	c.Assert(err, qt.IsNil)
	_, err = records.Apply(1, command)
	c.Assert(err, qt.IsNil)
	c.Assert(limits(), qt.IsNotNil)
}
