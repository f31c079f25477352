package record_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/record"
)

// Guards against a decoded body that is reused although its record has changed or another schema version is in use.
func TestChangeEqualsFullBuild(t *testing.T) {
	c := qt.New(t)
	newService := func(version core.RecordVersion, schema core.SchemaVersion, priority string) core.Record {
		return core.Record{Kind: core.KindService, Name: "s", SchemaVersion: schema, Version: version, Body: []byte(`{"tenant":"platform","priority":` + priority + `}`)}
	}
	kept := newService(1, 1, "5")
	current := record.Empty()
	for _, records := range [][]core.Record{
		{kept},
		{kept, newService(1, record.NewestSchema+1, "6")},
		{newService(2, 1, "7")},
		{newService(2, 1, "7"), {Kind: "later", Name: "s", SchemaVersion: 1, Version: 1, Body: []byte(`[`)}},
		{},
		{kept},
	} {
		var deletes []core.RecordKey
		for _, held := range current.Records() {
			if !slices.ContainsFunc(records, func(r core.Record) bool { return r.Key() == held.Key() }) {
				deletes = append(deletes, held.Key())
			}
		}
		next, err := current.Change(records, deletes, nil)
		c.Assert(err, qt.IsNil)
		fresh, err := record.New(next.Revision(), records, nil)
		c.Assert(err, qt.IsNil)
		got, gotExists := next.Service("s")
		want, wantExists := fresh.Service("s")
		c.Assert(got, qt.DeepEquals, want)
		c.Assert(gotExists, qt.Equals, wantExists)
		c.Assert(next.Hash(), qt.Equals, fresh.Hash())
		c.Assert(next.Records(), qt.DeepEquals, fresh.Records())
		current = next
	}
}
