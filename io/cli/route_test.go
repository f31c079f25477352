package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a query that leaves out what decides on the route, against JSON that is not the node's, and against an exit status
// of success for a request that would be refused.
func TestRouteAsksTheNode(t *testing.T) {
	f := newFixture(t)
	answer := `{"route": "list", "service": "orders", "releases": [{"release": "v1", "per-mille": 1000, "policy": "least-completion", "likely": "n2", "why": "on time in this data centre", "endpoints": [{"node": "n2", "wait-ms": 1.5}]}]}`
	query := ""
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.Path + "?" + r.URL.RawQuery
		if answer == "" {
			w.WriteHeader(http.StatusBadRequest)
		}
		_, _ = w.Write([]byte(answer))
	}))
	defer node.Close()
	address := strings.TrimPrefix(node.URL, "http://")
	output := f.run(StatusOK, "route", "--node", address, "--method", "PUT", "--host", "h", "--body-bytes", "60000", "/v1/orders?x=1")
	f.c.Assert(query, qt.Equals, "/route?body-bytes=60000&host=h&method=PUT&path=%2Fv1%2Forders%3Fx%3D1")
	f.c.Assert(output, qt.Contains, "release v1, 1000 per mille: n2, on time in this data centre (policy least-completion)\n")
	f.c.Assert(f.run(StatusOK, "route", "--node", address, "--output", "json", "/"), qt.Equals, answer)
	answer = `{"refused": "no-route"}`
	f.c.Assert(f.run(StatusRefused, "route", "--node", address, "/"), qt.Equals, "refused: no-route\n")
	answer = ""
	f.run(StatusUnknown, "route", "--node", address, "/")
	f.c.Assert(f.run(StatusOK, commandRoute, "--help"), qt.Contains, "Example: parsleyport "+commandRoute)
}
