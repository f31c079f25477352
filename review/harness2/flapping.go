package main

import (
	"net/http"
	"sync"
	"time"
)

// Doses of flapping: those of the site file for srv_flap (gap_s = 1.4, for_s = 6.5).
const (
	flapPeriod = 1400 * time.Millisecond
	flapLength = 6500 * time.Millisecond
	readWork   = 800 * time.Millisecond
	assignWork = 40 * time.Millisecond
	readGap    = 250 * time.Millisecond
	flapWarmUp = 6 * time.Second
	afterFlap  = 45 * time.Second
)

// flapping: an upstream goes down and up by turns for some seconds. Afterwards, requests of the kind that was running each time must be
// served like the others.
func flapping(r *run) bool {
	d := r.startDeployment(3, "desk", "records")
	d.putConfiguration(configuration(1, 0, []string{"desk", "records"},
		route{name: "hansard", kind: "safe", prefix: "/hansard/", service: "desk", timeout: "5000ms", attempts: 2},
		route{name: "assign", kind: "unsafe", prefix: "/assign/", service: "desk", timeout: "1500ms", attempts: 2},
	))
	handle := func(u *upstream, c *upstreamConn, request *http.Request, _ []byte) {
		u.begin(request)
		work := assignWork
		if request.Method == http.MethodGet {
			work = readWork
		}
		select {
		case <-time.After(work):
			c.answer(request, http.StatusOK, headerSeal+": desk\r\n", "done")
		case <-u.done:
		}
	}
	records := d.startUpstream(d.nodes[1], "i-records-1", "v1", handle)
	defer records.stop()
	desk := d.startUpstream(d.nodes[0], "i-desk-0", "v1", handle)
	defer func() { desk.stop() }()
	d.awaitReady()
	entry := d.nodes[1]
	r.await("first answer", 20*time.Second, func() bool {
		return r.request(entry, http.MethodPost, "/assign/first", "", "x", time.Second).status == http.StatusOK
	})
	var tally tally
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		ticker := time.NewTicker(readGap)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				clients.Go(func() {
					r.served(entry, &tally, "hansard-read", http.MethodGet, "/hansard/session", "", 10*time.Second)
				})
				clients.Go(func() {
					r.served(entry, &tally, "job-assign", http.MethodPost, "/assign/sitting", "sitting", 3*time.Second)
				})
			}
		}
	})
	time.Sleep(flapWarmUp)
	if r.trouble {
		for n, end := 1, time.Now().Add(flapLength); time.Now().Before(end); n++ {
			desk.stop()
			r.notef("upstream %s is down", desk.id)
			time.Sleep(flapPeriod / 2)
			desk = d.startUpstream(d.nodes[0], "i-desk-"+string(rune('0'+n)), "v1", handle)
			r.notef("upstream %s is up", desk.id)
			time.Sleep(flapPeriod / 2)
		}
	}
	r.notef("the upstream stays up")
	time.Sleep(afterFlap)
	close(stop)
	clients.Wait()
	all, reads := tally.share("hansard-read", "job-assign"), tally.share("hansard-read")
	r.notef("served: %.3f of all requests, %.3f of hansard-read (%v)", all, reads, tally.counts)
	return reads < all/4
}
