package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// invalidConfiguration: configurations that cannot be read in full are sent, each on top of the version in force. In one, bytes follow
// the end; in the other, a part in the middle is missing.
func invalidConfiguration(r *run) bool {
	d := r.startDeployment(3, "desk")
	routes := route{
		name:     "read",
		kind:     "safe",
		prefix:   "/read/",
		service:  "desk",
		timeout:  "1500ms",
		attempts: 2,
	}
	d.putConfiguration(configuration(1, 0, []string{"desk"}, routes))
	desk := d.startUpstream(d.nodes[0], "i-desk-1", "v1", func(u *upstream, c *upstreamConn, request *http.Request, _ []byte) {
		u.begin(request)
		c.answer(request, http.StatusOK, headerSeal+": desk\r\n", "read")
	})
	defer desk.stop()
	d.awaitReady()
	read := func() int {
		answer := r.request(d.nodes[0], http.MethodGet, "/read/record", "", "", 2*time.Second)
		r.notef("client: attempt %s was answered %d (%v)", answer.id, answer.status, answer.err)
		return answer.status
	}
	r.await("first answer", 20*time.Second, func() bool { return read() == http.StatusOK })
	broken := false
	if r.trouble {
		broken = r.sendsInvalid(d, "bytes after the end", invalidTail(configuration(2, 1, []string{"desk"}, routes))) || broken
		base := 1
		if broken {
			base = 2
		}
		broken = r.sendsInvalid(d, "a part is missing", withoutMiddle(configuration(3, base, []string{"desk"}, routes))) || broken
	}
	time.Sleep(3 * time.Second) // longer than configuration-apply
	served := 0
	for range 20 {
		if read() == http.StatusOK {
			served++
		}
	}
	r.notef("served: %d of 20 requests on a route that every valid configuration has", served)
	return broken || served < 20
}

// sendsInvalid reports whether an invalid configuration is acknowledged. The operator resends an order without a clear answer.
func (r *run) sendsInvalid(d *deployment, what string, body []byte) bool {
	for i := range 6 {
		to := d.controls[i%len(d.controls)]
		status, text := r.postBytes(to, "/parsleyport/Configuration.Put", body)
		r.notef("Configuration.Put, %s, at %s: %d %.100s; sent: %s", what, to.name, status, text, body)
		switch {
		case status == http.StatusOK:
			r.notef("BROKEN: an invalid configuration was acknowledged (%s)", what)
			return true
		case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
			return false
		}
	}
	return false
}

func encode(order object) string {
	encoded, err := json.Marshal(order)
	if err != nil {
		failf("%v", err)
	}
	return string(encoded)
}

func invalidTail(order object) []byte { return []byte(encode(order) + "}]}") }

// withoutMiddle returns a configuration in the order of PROTOCOL.md of which everything between the base version and the last three
// brackets is lost.
func withoutMiddle(order object) []byte {
	parts := make(map[string]string)
	for name, value := range order {
		encoded, err := json.Marshal(value)
		if err != nil {
			failf("%v", err)
		}
		parts[name] = `"` + name + `":` + string(encoded)
	}
	whole := "{" + strings.Join([]string{parts["version"], parts["limits"], parts["base-version"], parts["listeners"], parts["clusters"]}, ",") + "}"
	head := "{" + strings.Join([]string{parts["version"], parts["limits"], parts["base-version"]}, ",")
	const tail = "}]}"
	if !strings.HasPrefix(whole, head) || !strings.HasSuffix(whole, tail) {
		failf("unexpected form of the configuration")
	}
	return []byte(head + tail)
}
