package pipelinehttp

import (
	"testing"

	"pgregory.net/rapid"
)

// modelRequest is a request in the model, which keeps all requests of the connection.
type modelRequest struct {
	entry              *entry
	popped, dropped    bool
	statedClose, wrote bool
}

// Guards against an unsafe request that runs beside another one, against answers out of order, against more requests at a time than
// the limit, and against a request that runs behind an answer that closes the connection.
func TestOrderModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &order{limit: rapid.IntRange(1, 5).Draw(t, "limit")}
		var all []*modelRequest
		open := func() (open []*modelRequest) {
			for _, r := range all {
				if !r.popped && !r.dropped {
					open = append(open, r)
				}
			}
			return open
		}
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				if !o.mayRead() {
					t.Skip("not allowed")
				}
				r := &modelRequest{entry: &entry{
					concurrent: rapid.Bool().Draw(t, "concurrent"),
					closes:     rapid.IntRange(0, 9).Draw(t, "closes") == 0,
				}}
				all = append(all, r)
				o.add(r.entry)
				o.start(r.entry)
			},
			"start": func(t *rapid.T) {
				for _, r := range open() {
					o.start(r.entry)
				}
			},
			"head": func(t *rapid.T) {
				for _, r := range open() {
					if r.entry.started && !r.wrote && rapid.Bool().Draw(t, "write") {
						r.wrote = true
						r.statedClose = o.closeWith(r.entry, rapid.IntRange(0, 9).Draw(t, "wanted") == 0)
					}
				}
			},
			"finish": func(t *rapid.T) {
				for _, r := range open() {
					if r.wrote && rapid.Bool().Draw(t, "finish") {
						r.entry.done = true
					}
				}
			},
			"answer": func(t *rapid.T) {
				for _, r := range open() {
					if o.isFront(r.entry) && r.entry.done {
						o.pop()
						r.popped = true
					}
				}
			},
			"disconnect": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "rare") > 0 {
					t.Skip("rare")
				}
				o.dropWaiting()
				for _, r := range open() {
					r.dropped = !r.entry.started
				}
			},
			"": func(t *rapid.T) {
				requests := open()
				if len(requests) > o.limit || len(requests) != len(o.entries) {
					t.Fatalf("%d requests, %d entries, limit %d", len(requests), len(o.entries), o.limit)
				}
				running, exclusive := 0, 0
				for i, r := range requests {
					if o.entries[i] != r.entry {
						t.Fatal("answers are not in the order of arrival")
					}
					if r.entry.started && !r.entry.done {
						running++
						if !r.entry.concurrent {
							exclusive++
						}
					}
				}
				if exclusive > 0 && running > 1 {
					t.Fatal("an unsafe request runs beside another one")
				}
				closed := false
				for _, r := range all {
					if closed && r.entry.started {
						t.Fatal("a request behind an answer that closes the connection has started")
					}
					closed = closed || r.statedClose || r.entry.closes
				}
				if len(requests) > 0 && requests[0].entry.started == false && !o.mayStart(requests[0].entry) {
					t.Fatal("the first request can't start")
				}
				if o.mayRead() && (o.closed || len(requests) > 0 && !requests[len(requests)-1].entry.concurrent) {
					t.Fatal("a request may be read behind one that runs alone or closes the connection")
				}
			},
		})
	})
}
