package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	uploadBytes     = 60_000 // the mean of the site file
	lostUploadBytes = 360_000
	readsPerSecond  = 20
	uploadsPerRead  = 5 // one upload in so many reads
	warmUp          = 5 * time.Second
	lostLoad        = time.Second // for which the lost machines send uploads before they are lost
	afterLoss       = 45 * time.Second
)

// stuckUploads: two machines are lost while their nodes send uploads. The uploads of the other machines must still be served.
func stuckUploads(r *run) bool {
	r.site = uploadSite
	d := r.startDeployment(3, "results", "results", "results", "captures")
	d.putConfiguration(configuration(1, 0, []string{"results", "captures"},
		route{name: "read", kind: "safe", prefix: "/read/", service: "results", timeout: "1500ms", attempts: 2},
		route{name: "upload", kind: "upload", prefix: "/upload/", service: "captures", timeout: "2000ms", attempts: 2},
	))
	lost := d.nodes[:2]
	for i, node := range d.nodes {
		u := d.startUpstream(node, "i-"+node.name, "v1", func(u *upstream, c *upstreamConn, request *http.Request, _ []byte) {
			u.begin(request)
			time.Sleep(5 * time.Millisecond)
			c.answer(request, http.StatusOK, headerSeal+": "+u.id+"\r\n", "done")
		})
		defer u.stop()
		if i < len(lost) {
			lost[i].upstream = u
		}
	}
	d.awaitReady()
	entry := d.nodes[2]
	r.await("first answers", 20*time.Second, func() bool {
		return r.request(entry, http.MethodGet, "/read/first", "", "", time.Second).status == http.StatusOK &&
			r.request(entry, http.MethodPost, "/upload/first", "", "x", time.Second).status == http.StatusOK
	})
	var tally tally
	var clients sync.WaitGroup
	send := func(during time.Duration) {
		n := 0
		for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(time.Second / readsPerSecond) {
			n++
			clients.Go(func() { r.served(entry, &tally, "read", http.MethodGet, "/read/result", "", 3*time.Second) })
			if n%uploadsPerRead == 0 {
				clients.Go(func() {
					r.served(entry, &tally, "upload", http.MethodPost, "/upload/trace", strings.Repeat("t", uploadBytes), 4*time.Second)
				})
			}
		}
	}
	send(warmUp)
	stopLoad := make(chan struct{})
	var load sync.WaitGroup
	for i := range 24 { // the clients of the machines that are lost
		load.Go(func() {
			body := strings.Repeat("u", lostUploadBytes)
			for {
				select {
				case <-stopLoad:
					return
				default:
					r.request(lost[i%len(lost)], http.MethodPost, "/upload/trace", "", body, 4*time.Second)
				}
			}
		})
	}
	send(lostLoad)
	if r.trouble {
		for _, each := range lost {
			r.notef("machine %s is lost", each.name)
			each.process.signal(syscall.SIGSTOP)
			each.upstream.stop()
		}
	}
	close(stopLoad)
	send(afterLoss)
	clients.Wait()
	all, uploads := tally.share("read", "upload"), tally.share("upload")
	r.notef("served: %.3f of all requests, %.3f of the uploads (%v)", all, uploads, tally.counts)
	return uploads < all/4
}

// tally counts the requests of each kind and those served.
type tally struct {
	mu     sync.Mutex
	counts map[string][2]int // asked, served
}

func (t *tally) add(kind string, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[string][2]int)
	}
	count := t.counts[kind]
	count[0]++
	if served {
		count[1]++
	}
	t.counts[kind] = count
}

func (t *tally) share(kinds ...string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	asked, served := 0, 0
	for _, kind := range kinds {
		asked += t.counts[kind][0]
		served += t.counts[kind][1]
	}
	return float64(served) / float64(max(asked, 1))
}

// served plays a client that retries twice after a refusal that promises that the request has not run, within its deadline.
func (r *run) served(node *machine, t *tally, kind, method, path, body string, deadline time.Duration) {
	end := time.Now().Add(deadline)
	served := false
	for range 3 {
		left := time.Until(end)
		if left < 50*time.Millisecond {
			break
		}
		began := time.Now()
		answer := r.request(node, method, path, "", body, left)
		r.notef("client: %s, attempt %s was answered %d after %d ms (%v) %.60q", kind, answer.id, answer.status, time.Since(began).Milliseconds(), answer.err, answer.body)
		if served = answer.status == http.StatusOK; served || answer.status != http.StatusServiceUnavailable && kind == "upload" {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.add(kind, served)
}
