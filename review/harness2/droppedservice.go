package main

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	moveDuration = "12s" // the site file's rollouts have 16 s at most
	moveEnd      = 40 * time.Second
	afterMove    = 6 * time.Second // longer than acknowledge-timeout
)

// droppedService: while a rollout of a service runs, a configuration without that service is sent. If it is refused, the operator calls
// once more with it after the rollout has ended.
func droppedService(r *run) bool {
	d := r.startDeployment(3, "desk", "records", "records")
	desk := route{name: "assign", kind: "safe", prefix: "/assign/", service: "desk", timeout: "1500ms", attempts: 2}
	records := route{name: "read", kind: "safe", prefix: "/read/", service: "records", timeout: "1500ms", attempts: 2}
	d.putConfiguration(configuration(1, 0, []string{"desk", "records"}, desk, records))
	handle := func(u *upstream, c *upstreamConn, request *http.Request, _ []byte) {
		u.begin(request)
		c.answer(request, http.StatusOK, headerSeal+": "+u.version+"\r\n", "done")
	}
	for i, version := range []string{"v1", "v1", "v2"} {
		u := d.startUpstream(d.nodes[i], "i-"+d.nodes[i].name, version, handle)
		defer u.stop()
	}
	d.awaitReady()
	r.await("first answer", 20*time.Second, func() bool {
		return r.request(d.nodes[0], http.MethodGet, "/read/first", "", "", time.Second).status == http.StatusOK
	})
	if r.trouble {
		status, text := r.post(d.controls[0], "/parsleyport/Rollouts.Start", object{"service": "records", "target-version": "v2", "duration": moveDuration})
		r.notef("Rollouts.Start: %d %s", status, text)
		if status != http.StatusOK {
			failf("the rollout was not acknowledged")
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				r.request(d.nodes[0], http.MethodGet, "/read/record", "", "", time.Second)
			}
		}
	}()
	time.Sleep(time.Second)
	order := configuration(2, 1, []string{"desk"}, desk)
	if d.call(order) {
		return false
	}
	r.await("end of the rollout", moveEnd, func() bool {
		state := d.rolloutState("records")
		if state != "completed" && state != "rolled_back" {
			return false
		}
		r.notef("the rollout is %s", state)
		return true
	})
	time.Sleep(afterMove)
	if d.call(order) {
		return false
	}
	r.notef("BROKEN: a valid configuration has no acknowledgement, also %s after the end of the rollout", afterMove)
	r.notef("not judged: the same change as version 3")
	d.call(configuration(3, 1, []string{"desk"}, desk))
	return true
}

// call plays one call of the operator: it is resent until it has a clear answer, and a 400 or 412 ends it. It reports whether the
// configuration was acknowledged.
func (d *deployment) call(order object) bool {
	for n := range 10 {
		to := d.controls[n%len(d.controls)]
		status, text := d.run.post(to, "/parsleyport/Configuration.Put", order)
		d.run.notef("Configuration.Put of version %v without the service at %s: %d %.120s", order["version"], to.name, status, text)
		switch status {
		case http.StatusOK:
			return true
		case http.StatusBadRequest, http.StatusPreconditionFailed:
			return false
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

func (d *deployment) rolloutState(service string) string {
	response, err := operatorClient.Get("http://" + d.controls[0].address(d.run.ports.control) + "/parsleyport/Rollouts.Get/" + service)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var read struct {
		State string `json:"state"`
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(text, &read) != nil {
		return ""
	}
	return read.State
}
