package quota

import (
	"fmt"
	"testing"
	"time"

	"parsleyport/core"
)

// BenchmarkTake measures the admission of one request with 1,000 tenants in use; it must take less than 1 µs and allocate nothing.
func BenchmarkTake(b *testing.B) {
	const tenants = 1000
	settings, now := DefaultSettings(), Time{Steady: time.Hour, Wall: time.Hour}
	holder := NewHolder(settings, "n", 1)
	lender := NewLender(Time{}, 1, settings.Span(), Limits{})
	names := make([]core.TenantID, tenants)
	bound := settings.Bound(100_000, 0)
	exchange := func() {
		answer, _ := lender.Exchange(now, holder.Request(now), Limits{Bound: func(core.TenantID) int { return bound }})
		holder.Answer(now, answer)
	}
	for i := range names {
		names[i] = core.TenantID(fmt.Sprintf("tenant-%04d", i))
		holder.Take(now, names[i], bound)
		for range 100 {
			holder.Wait(names[i])
		}
	}
	exchange()
	for _, name := range names {
		for range 100 {
			holder.Leave(now, name, false)
		}
	}
	b.ReportAllocs()
	admitted := 0
	for i := 0; b.Loop(); i++ {
		now.Steady += time.Microsecond
		now.Wall += time.Microsecond
		if i%100_000 == 99_999 {
			exchange()
		}
		if verdict, _ := holder.Take(now, names[i%tenants], bound); verdict == Admitted {
			admitted++
		}
	}
	b.ReportMetric(float64(admitted)/float64(b.N), "admitted/op")
}
