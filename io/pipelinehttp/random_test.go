package pipelinehttp_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against answers that are lost, damaged, mixed up or given to another request, and against unsafe requests that run beside
// others, with random requests, answers and sizes of the pieces in which the bytes arrive.
func TestRandomPipelines(t *testing.T) {
	const connections, requests = 24, 200
	c := qt.New(t)
	var running, alone [connections]atomic.Int64
	_, address := start(c, func(w http.ResponseWriter, r *http.Request) {
		var id, size, mode int
		kind := ""
		_, err := fmt.Sscanf(strings.ReplaceAll(r.URL.Path[1:], "/", " "), "%s %d %d %d", &kind, &id, &size, &mode)
		c.Check(err, qt.IsNil)
		// Bytes of an unread body would become a part of the next method.
		c.Check(r.Method, qt.Equals, map[string]string{"safe": "GET", "alone": "GET", "post": "POST"}[kind])
		running[id].Add(1)
		defer running[id].Add(-1)
		if kind != "safe" {
			c.Check(running[id].Load(), qt.Equals, int64(1), qt.Commentf("%s", r.URL.Path))
			alone[id].Add(1)
			defer alone[id].Add(-1)
		}
		c.Check(kind == "safe" && alone[id].Load() > 0, qt.IsFalse)
		body := []byte(nil)
		if mode != 3 { // else the body stays unread
			body, err = io.ReadAll(r.Body)
			c.Check(err, qt.IsNil)
		}
		if mode%2 == 1 {
			time.Sleep(time.Duration(rand.IntN(500)) * time.Microsecond)
		}
		answer := answerTo(r.URL.Path, size, len(body))
		if mode == 2 {
			w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		}
		for len(answer) > 0 {
			n := min(len(answer), 1+rand.IntN(40_000))
			_, err := io.WriteString(w, answer[:n])
			c.Check(err, qt.IsNil)
			answer = answer[n:]
			if mode >= 4 {
				w.(http.Flusher).Flush()
			}
		}
	}, nil)
	var callers sync.WaitGroup
	for id := range connections {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(id), 1))
			var text strings.Builder
			var want []string
			for range requests {
				size, mode := random.IntN(1<<random.IntN(18)), random.IntN(6)
				path, sent := fmt.Sprintf("/safe/%d/%d/%d", id, size, mode), 0
				switch random.IntN(4) {
				case 0:
					path = strings.Replace(path, "safe", "alone", 1)
					text.WriteString(get(path))
				case 1:
					path = strings.Replace(path, "safe", "post", 1)
					sent = random.IntN(1 << random.IntN(16))
					text.WriteString(post(path, strings.Repeat("b", sent)))
				default:
					text.WriteString(get(path))
				}
				if mode == 3 {
					sent = 0
				}
				want = append(want, "200 "+answerTo(path, size, sent))
			}
			caller := dial(c, address, "")
			go func() {
				for rest := text.String(); rest != ""; {
					n := min(len(rest), 1+random.IntN(1<<random.IntN(15)))
					if _, err := io.WriteString(caller, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
			}()
			for i := range want {
				if got := caller.next(); got != want[i] {
					c.Errorf("connection %d, answer %d: %.60q, %d bytes; want %.60q, %d bytes", id, i, got, len(got), want[i], len(want[i]))
					return
				}
			}
		})
	}
	callers.Wait()
}

func answerTo(path string, size, sent int) string {
	return fmt.Sprint(path, " ", sent, " ", strings.Repeat("x", size))
}
