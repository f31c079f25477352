package catalog_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// BenchmarkReplay measures the replay of 1,000 changes, the most that a restart replays after its snapshot, on top of a
// configuration of 170 services with six records each, by an unlimited and by a limited token; run it with -benchtime=3x.
func BenchmarkReplay(b *testing.B) {
	c := qt.New(b)
	first := core.Submission{ID: "first", Operator: "amina"}
	add := func(kind core.Kind, name, body string) {
		first.Records = append(first.Records, core.Record{Kind: kind, Name: name, SchemaVersion: 1, Version: 1, Body: []byte(body)})
	}
	for i := range 170 {
		name := fmt.Sprintf("service-%d", i)
		add(core.KindService, name, `{"tenant":"platform","priority":5}`)
		for _, release := range []string{"v1", "v2"} {
			add(core.KindUpstream, name+"-"+release, fmt.Sprintf(`{"service":%q,"release":%q,"slots":9}`, name, release))
		}
		add(core.KindPolicy, name, fmt.Sprintf(`{"service":%q,"weights":[{"upstream":"%s-v1","per-mille":1000}],"max-attempts":3}`, name, name))
		for _, method := range []string{"GET", "POST"} {
			add(core.KindRoute, name+"-"+strings.ToLower(method), fmt.Sprintf(`{"path-prefix":"/%s","methods":[%q],"service":%q,"timeout-ms":2000}`, name, method, name))
		}
	}
	command, err := catalog.EncodeSubmit(start, 1, first)
	c.Assert(err, qt.IsNil)
	commands := make([][]byte, 1000)
	for i := range commands {
		change := core.Record{Kind: core.KindService, Name: fmt.Sprintf("service-%d", i%170), SchemaVersion: 1, Version: core.RecordVersion(i + 2), Body: []byte(fmt.Sprintf(`{"tenant":"platform","priority":%d}`, 1+i%9))}
		commands[i], err = catalog.EncodeSubmit(start, 1, core.Submission{ID: core.SubmissionID(fmt.Sprint(i)), Operator: "amina", Records: []core.Record{change}})
		c.Assert(err, qt.IsNil)
	}
	for _, tenants := range [][]core.TenantID{nil, {"platform"}} {
		b.Run(fmt.Sprintf("limited to %d", len(tenants)), func(b *testing.B) {
			for b.Loop() {
				r := catalog.New()
				_, _ = r.Apply(1, command)
				for i, command := range commands {
					command, err := catalog.WithPrincipal(command, catalog.Principal{Tenants: tenants, Limits: &catalog.Limits{Submissions: 1001, Bytes: 1 << 30, Records: 1020, RecordBytes: 1 << 20}})
					c.Assert(err, qt.IsNil)
					_, _ = r.Apply(core.LogIndex(i+2), command)
				}
				c.Assert(r.Current().Revision(), qt.Equals, core.Revision(1001))
			}
		})
	}
}
