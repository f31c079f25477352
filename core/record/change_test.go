package record_test

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/record"
)

// routesOf returns a configuration of one service and a number of routes, the records in use included.
func routesOf(tb testing.TB, routes int) *record.Configuration {
	records := []core.Record{{Kind: core.KindService, Name: "desk", SchemaVersion: 1, Version: 1, Body: []byte(`{"tenant":"t","any-release":true}`)}}
	for i := range routes {
		records = append(records, routeRecord(i, 1))
	}
	configuration, err := record.New(1, records, nil)
	qt.Assert(tb, err, qt.IsNil)
	return configuration
}

func routeRecord(number int, version core.RecordVersion) core.Record {
	return core.Record{
		Kind:          core.KindRoute,
		Name:          fmt.Sprintf("route-%05d", number),
		SchemaVersion: 1,
		Version:       version,
		Body:          fmt.Appendf(nil, `{"path-prefix":"/p%05d/","host":"h.example","timeout-ms":%d,"service":"desk"}`, number, 1000+version),
	}
}

// changeOf returns the delta that replaces one route.
func changeOf(tb testing.TB, configuration *record.Configuration) record.Delta {
	next, err := configuration.Change([]core.Record{routeRecord(7, 2)}, nil, nil)
	qt.Assert(tb, err, qt.IsNil)
	return next.DeltaFrom(configuration)
}

// Guards against a change of one record that makes the whole configuration anew: a storm of changes on a node with 1,200 routes then
// took several times the memory of the configuration itself.
func TestChangeOfOneRecordSharesTheOthers(t *testing.T) {
	const (
		indexBytes  = 2 * 8 // a pointer to the record and one to the route
		growthBytes = 8     // allocations are rounded up
		fixedBytes  = 16 << 10
		runs        = 20
	)
	for _, routes := range []int{1_200, 2_600, 20_000} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			c := qt.New(t)
			configuration := routesOf(t, routes)
			delta := changeOf(t, configuration)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range runs {
				_, err := configuration.Apply(delta)
				c.Assert(err, qt.IsNil)
			}
			runtime.ReadMemStats(&after)
			each := int((after.TotalAlloc - before.TotalAlloc) / runs)
			c.Logf("%d bytes a change", each)
			c.Assert(each <= fixedBytes+routes*(indexBytes+growthBytes), qt.IsTrue, qt.Commentf("%d bytes", each))
		})
	}
}

// Guards against a shared part that a later configuration changes: an earlier one must keep its content.
func TestChangesLeaveEarlierConfigurationsAsTheyWere(t *testing.T) {
	c := qt.New(t)
	first := routesOf(t, 50)
	hash := first.Hash()
	current := first
	for number := range 40 {
		next, err := current.Change([]core.Record{routeRecord(number, 2), routeRecord(100+number, 1)}, []core.RecordKey{routeRecord(49-number/2, 1).Key()}, nil)
		c.Assert(err, qt.IsNil)
		fresh, err := record.New(next.Revision(), next.Records(), next.Overrides())
		c.Assert(err, qt.IsNil)
		c.Assert(next.Hash(), qt.Equals, fresh.Hash())
		for i := range 150 {
			path := fmt.Sprintf("/p%05d/x", i)
			got, found := next.Match("h.example", "GET", path)
			want, exists := fresh.Match("h.example", "GET", path)
			c.Assert(found, qt.Equals, exists, qt.Commentf(path))
			c.Assert(got, qt.DeepEquals, want)
		}
		applied, err := current.Apply(next.DeltaFrom(current))
		c.Assert(err, qt.IsNil)
		c.Assert(applied.Records(), qt.DeepEquals, next.Records())
		current = next
	}
	again, err := record.New(first.Revision(), first.Records(), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Hash(), qt.Equals, hash)
	c.Assert(current.ChangesFrom(first).Records, qt.HasLen, 50+40) // routes 0 to 49 are replaced or deleted, 100 to 139 are new
}

// Guards against a delta that leaves out a field which the hash includes.
func TestDeltaContainsRecordsThatDifferInTheirFirstAcceptanceOnly(t *testing.T) {
	c := qt.New(t)
	service := core.Record{Kind: core.KindService, Name: "desk", SchemaVersion: 1, Version: 1, Body: []byte(`{"tenant":"t"}`)}
	first, err := record.New(1, []core.Record{service}, nil)
	c.Assert(err, qt.IsNil)
	service.SinceMS = 12
	second, err := record.New(2, []core.Record{service}, nil)
	c.Assert(err, qt.IsNil)
	_, err = first.Apply(second.DeltaFrom(first))
	c.Assert(err, qt.IsNil)
}

func BenchmarkChangeOfOneRecord(b *testing.B) {
	for _, routes := range []int{1_200, 2_600, 20_000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			configuration := routesOf(b, routes)
			delta := changeOf(b, configuration)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := configuration.Apply(delta); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, routes := range []int{1_200, 20_000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			configuration := routesOf(b, routes)
			for b.Loop() {
				if _, found := configuration.Match("h.example", "GET", "/p00700/x"); !found {
					b.Fatal("no route")
				}
			}
		})
	}
}
