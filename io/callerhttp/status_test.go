package callerhttp_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

// Guards against a caller that gets an invalid status of a backend server, or an error although the call may be sent elsewhere.
func TestOddStatusOfABackendServer(t *testing.T) {
	for _, status := range []string{"000 None", "099 Low", "600 High", "1000 Long", "-01 Sign", "abc Letters", "", "100 Continue", "199 High"} {
		t.Run(status, func(t *testing.T) {
			c := qt.New(t)
			var runs atomic.Int64
			odd := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				_, _ = conn.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nno"))
				_, _ = conn.Read(make([]byte, 1)) // until the node closes the connection
				_ = conn.Close()
			}))
			t.Cleanup(odd.Close)
			sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
			t.Cleanup(sound.Close)
			endpoints := &fixedEndpoints{endpoints: []core.Endpoint{endpointOf("odd", startNode(t, odd, core.EndpointReady))}}
			entry := startEntry(t, allV1, endpoints)
			post, err := http.Post("http://"+entry.Address()+"/orders/1", "text/plain", http.NoBody)
			c.Assert(err, qt.IsNil)
			c.Assert(post.Body.Close(), qt.IsNil)
			c.Assert(post.StatusCode, qt.Equals, http.StatusBadGateway)
			c.Assert(runs.Load(), qt.Equals, int64(1))

			endpoints.endpoints = append(endpoints.endpoints, endpointOf("sound", startNode(t, sound, core.EndpointReady)))
			get, err := http.Get("http://" + entry.Address() + "/orders/1")
			c.Assert(err, qt.IsNil)
			c.Assert(get.Body.Close(), qt.IsNil)
			c.Assert(get.StatusCode, qt.Equals, http.StatusOK)
			c.Assert(runs.Load(), qt.Equals, int64(2))
		})
	}
}
