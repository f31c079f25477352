package catalog_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// Guards against replicas that differ after the same log, because of map order or a snapshot in between, and against states
// that break an invariant: a revision or record version that decreases, weights that do not add up, a changed verdict of an
// ended move, a changed audit trail.
func TestReplicasAgreeAndKeepInvariants(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		c := qt.New(rapidTB{
			TB:     outer,
			rapidT: t,
		})
		one := newReplica(c)
		other := one.restored(c)
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			before := observe(one)
			command, err := drawCommand(t)
			c.Assert(err, qt.IsNil)
			if rapid.Bool().Draw(t, "limited") {
				limits := &catalog.Limits{Submissions: rapid.IntRange(1, 9).Draw(t, "submissions"), Bytes: 1 << 20, Records: rapid.IntRange(4, 8).Draw(t, "records"), RecordBytes: 1 << 20}
				command, err = catalog.WithPrincipal(command, catalog.Principal{Tenants: tenantA, Limits: limits})
				c.Assert(err, qt.IsNil)
			}
			c.Assert(other.apply(c, command, nil), qt.DeepEquals, one.apply(c, command, nil))
			before.check(c, observe(one))
			if rapid.Bool().Draw(t, "snapshot") {
				other = other.restored(c)
			}
		}
		snapshot, err := one.Snapshot()
		c.Assert(err, qt.IsNil)
		otherSnapshot, err := other.Snapshot()
		c.Assert(err, qt.IsNil)
		c.Assert(string(otherSnapshot) == string(snapshot), qt.IsTrue)
	})
}

// rapidTB reports failures to rapid, which then shrinks the case; rapid.T lacks a method of testing.TB in Go 1.26.
type rapidTB struct {
	testing.TB
	rapidT *rapid.T
}

func (r rapidTB) Fatal(args ...any) {
	r.rapidT.Helper()
	r.rapidT.Fatal(args...)
}

type observation struct {
	revision core.Revision
	hash     core.Hash
	versions map[core.RecordKey]core.RecordVersion
	moves    []core.Move
	trail    []catalog.AuditEntry
	weights  []core.Weight
}

func observe(r *replica) observation {
	o := observation{
		revision: r.Current().Revision(),
		hash:     r.Current().Hash(),
		versions: make(map[core.RecordKey]core.RecordVersion),
		moves:    r.Moves(),
		trail:    r.Audit(catalog.AuditFilter{}),
		weights:  r.Current().Weights("orders"),
	}
	for _, each := range r.Current().Records() {
		o.versions[each.Key()] = each.Version
	}
	return o
}

func (o observation) check(c *qt.C, after observation) {
	c.Assert(after.revision == o.revision || after.revision == o.revision+1, qt.IsTrue)
	c.Assert(after.revision == o.revision, qt.Equals, after.hash == o.hash)
	for key, version := range o.versions {
		if versionAfter, exists := after.versions[key]; exists {
			c.Assert(versionAfter >= version, qt.IsTrue)
		}
	}
	for i, move := range o.moves {
		c.Assert(after.moves[i].Step >= move.Step, qt.IsTrue)
		if catalog.Ended(move.State) {
			c.Assert(after.moves[i], qt.DeepEquals, move)
		}
	}
	c.Assert(after.trail[:len(o.trail)], qt.DeepEquals, o.trail)
	sum := core.PerMille(0)
	for _, weight := range after.weights {
		sum += weight.PerMille
	}
	c.Assert(sum, qt.Equals, core.FullShare)
}

func drawCommand(t *rapid.T) ([]byte, error) {
	at := start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second)
	id := core.SubmissionID(fmt.Sprint(rapid.IntRange(1, 30).Draw(t, "id")))
	operator := core.Operator(rapid.SampledFrom([]string{"amina", "lars"}).Draw(t, "operator"))
	move := core.MoveID(fmt.Sprintf("m%d", rapid.IntRange(1, 3).Draw(t, "move")))
	name := rapid.SampledFrom([]string{"v1", "v2", "v3", "v4"})
	version := core.RecordVersion(rapid.IntRange(1, 6).Draw(t, "version"))
	switch rapid.IntRange(0, 6).Draw(t, "action") {
	case 0:
		return catalog.EncodeSubmit(at, 1, core.Submission{ID: id, Operator: operator, Records: []core.Record{policy(version, name.Draw(t, "name"))}})
	case 1:
		records := []core.Record{upstream(version, name.Draw(t, "name"), name.Draw(t, "release")), policy(version, name.Draw(t, "name"))}
		return catalog.EncodeSubmit(at, 1, core.Submission{ID: id, Operator: operator, Records: records})
	case 2:
		deletion := core.Deletion{Kind: core.KindUpstream, Name: name.Draw(t, "name"), SchemaVersion: 1, Version: version}
		return catalog.EncodeSubmit(at, 1, core.Submission{ID: id, Operator: operator, Deletes: []core.Deletion{deletion}})
	case 3:
		from, to := core.UpstreamName(name.Draw(t, "from")), core.UpstreamName(name.Draw(t, "to"))
		return catalog.EncodeMove(at, core.MoveRequest{ID: id, Operator: operator, Service: "orders", From: from, To: to, Deadline: at.Add(time.Hour)})
	case 4:
		return catalog.EncodeAbort(at, catalog.Abort{ID: id, Operator: operator, MoveID: move})
	}
	state := rapid.SampledFrom([]core.MoveState{core.MoveProbing, core.MoveGrowing, core.MoveGrowing, core.MoveDone, core.MoveTakenBack, core.MoveExpired}).Draw(t, "state")
	return catalog.EncodeStep(core.MoveStep{
		MoveID: move,
		Step:   uint64(rapid.IntRange(1, 4).Draw(t, "step")),
		State:  state,
		Share:  core.PerMille(rapid.IntRange(0, 1000).Draw(t, "share")),
		At:     at,
	})
}

// Guards against a log entry or snapshot that makes the state machine fail on every replica at once.
func FuzzApply(f *testing.F) {
	valid, err := catalog.EncodeSubmit(start, 1, submission("a", policy(2, "v2")))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte("\x81\xa6action\xa4move"))
	f.Fuzz(func(t *testing.T, command []byte) {
		c := qt.New(t)
		r := newReplica(c)
		if _, err := newReplica(c).Apply(1, command); !errors.Is(err, catalog.ErrRulesUnknown) {
			r.apply(c, command, nil)
		}
		_ = r.Restore(command)
	})
}
