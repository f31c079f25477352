package record_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/record"
)

func newRecord(kind core.Kind, name string, schema core.SchemaVersion, body string) core.Record {
	return core.Record{
		Kind:          kind,
		Name:          name,
		SchemaVersion: schema,
		Version:       1,
		Body:          []byte(body),
	}
}

// Guards against replicas that store different verdicts because map order determines which of several errors is reported.
func TestReferenceErrorsAreDeterministic(t *testing.T) {
	c := qt.New(t)
	var records []core.Record
	for _, name := range []string{"e", "d", "c", "b", "a"} {
		records = append(records, newRecord(core.KindUpstream, name, 1, `{"service": "none", "release": "r", "slots": 1}`))
	}
	for range 20 {
		_, err := record.New(1, records, nil)
		c.Assert(errors.Is(err, record.ErrDangling), qt.IsTrue)
		c.Assert(err, qt.ErrorMatches, `upstream "a" refers to service "none".*`)
	}
}

// Guards against a record that some attached node cannot read in any schema version.
func TestCheckSchemaFloor(t *testing.T) {
	c := qt.New(t)
	records := []core.Record{
		newRecord(core.KindService, "both", 1, ``),
		newRecord(core.KindService, "both", 2, ``),
		newRecord(core.KindService, "late", 2, ``),
	}
	all := func(core.Kind, string) bool { return true }
	c.Assert(record.CheckSchemaFloor(records, all, 0), qt.IsNil)
	c.Assert(record.CheckSchemaFloor(records, all, 2), qt.IsNil)
	c.Assert(record.CheckSchemaFloor(records, func(_ core.Kind, name string) bool { return name == "both" }, 1), qt.IsNil)
	err := record.CheckSchemaFloor(records, all, 1)
	c.Assert(errors.Is(err, record.ErrSchemaFloor), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, `service "late" needs schema version 1 or lower.*`)
}

// Guards against a body that passes CheckRecord and then makes the configuration fail to build.
func FuzzCheckRecord(f *testing.F) {
	f.Add("service", "a", `{"tenant": "t", "priority": 5}`)
	f.Add("upstream", "a", `{"service": "a", "release": "r", "slots": 9}`)
	f.Add("route", "a", `{"path-prefix": "/", "methods": ["GET"], "service": "a", "timeout-ms": 1}`)
	f.Add("policy", "a", `{"service": "a", "weights": [{"upstream": "a", "per-mille": 1000}]}`)
	f.Add("tenant", "a", `{"id": "a/1", "api-keys": ["k"], "rate-per-s": 5, "burst": 5, "priority": 0}`)
	f.Add("policy", "", `{"weights": [{"per-mille": -1}]}`)
	f.Fuzz(func(t *testing.T, kind, name, body string) {
		r := newRecord(core.Kind(kind), name, 1, body)
		if record.CheckRecord(r) != nil {
			return
		}
		if _, err := record.New(1, []core.Record{r}, nil); err != nil && !errors.Is(err, record.ErrDangling) {
			t.Fatalf("checked record does not load: %v", err)
		}
	})
}
