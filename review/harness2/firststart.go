package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	killAfter    = 100 * time.Millisecond // from the start of the process
	restartAfter = time.Second
	startLimit   = 60 * time.Second // several times the 8 s after which traffic starts, and bounds.recovery
)

// firstStart: a control process is killed while the system starts for the first time, and is restarted. The operator sends the first
// configuration until it is acknowledged.
func firstStart(r *run) bool {
	d := r.startDeployment(5, "desk")
	if r.trouble {
		time.Sleep(killAfter)
		killed := d.controls[2]
		killed.process.signal(syscall.SIGKILL)
		<-killed.process.ended
		r.notef("%s was killed", killed.name)
		time.Sleep(restartAfter)
		killed.start() // is-first-start is false from now on
	}
	order := configuration(1, 0, []string{"desk"}, route{
		name:     "assign",
		kind:     "unsafe",
		prefix:   "/assign/",
		service:  "desk",
		timeout:  "1500ms",
		attempts: 2,
	})
	answers := make(map[string]int)
	for began, next := time.Now(), 0; time.Since(began) < startLimit; next++ {
		to := d.controls[next%len(d.controls)]
		status, text := r.post(to, "/parsleyport/Configuration.Put", order)
		answers[fmt.Sprintf("%d %s", status, text)]++
		r.notef("Configuration.Put at %s: %d %.100s", to.name, status, text)
		if status == http.StatusOK {
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.notef("BROKEN: no control instance has acknowledged the first configuration within %s", startLimit)
	return true
}
