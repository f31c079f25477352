package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"
)

// crashOnHeader makes a backend server exit on each request that has the header Standin-Crash.
func (d *deployment) crashOnHeader(i int) {
	d.setFaults(i, `{"crash-on-header": true}`)
}

// restartCrashed restarts the backend servers that have exited and returns their number.
func (d *deployment) restartCrashed(backends int) int {
	crashed := 0
	for i := 1; i <= backends; i++ {
		status, _ := d.get("http://" + d.address(fmt.Sprintf("b%d", i)) + "/standin/health")
		if status != 0 {
			continue
		}
		crashed++
		d.kill(fmt.Sprintf("b%d", i))
		d.startBackend(i, "v1")
		d.crashOnHeader(i)
	}
	return crashed
}

// crashReports returns the number of crash reports that a node holds, and 0 if it cannot be reached.
func (d *deployment) crashReports(node int) int {
	_, body := d.get("http://" + d.address(fmt.Sprintf("n%d-admin", node)) + "/state")
	var state struct {
		Distribution struct {
			CrashReports int `json:"crash-reports"`
		} `json:"distribution"`
	}
	_ = json.Unmarshal(body, &state) // the body is empty if the node cannot be reached
	return state.Distribution.CrashReports
}

// Guards against a request that crashes every backend server that runs it while its caller retries it through all nodes. It
// may crash at most two backend servers in the whole deployment.
func TestCrashingRequestIsStoppedFleetWide(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(c)
	const nodes = 4
	d.startServing(nodes)
	for i := 1; i <= nodes; i++ {
		d.crashOnHeader(i)
	}
	crashes, cause := 0, ""
	for attempt := range 8 {
		entry := fmt.Sprintf("n%d-caller", attempt%nodes+1)
		request, err := http.NewRequest(http.MethodPost, "http://"+d.address(entry)+"/transcripts/1", strings.NewReader("the same body"))
		c.Assert(err, qt.IsNil)
		request.Header.Set("Standin-Crash", "1")
		response, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Assert(response.StatusCode, qt.Not(qt.Equals), http.StatusOK)
		cause = response.Header.Get("Parsleyport-Cause")
		if response.Header.Get("Parsleyport-Outcome") == "unknown" {
			d.awaitCondition("the crashed backend server is down", 10*time.Second, func() bool {
				down := d.restartCrashed(nodes)
				crashes += down
				return down > 0
			})
		}
		d.awaitCondition("all backend servers are announced", 10*time.Second, func() bool {
			status, err := d.status(d.client())
			return err == nil && status.Fleet.Endpoints["transcripts"] == nodes
		})
		d.awaitCondition("all nodes hold all crash reports", 10*time.Second, func() bool {
			return lo.EveryBy(lo.RangeFrom(1, nodes), func(i int) bool { return d.crashReports(i) == crashes })
		})
	}
	c.Assert(crashes, qt.Equals, 2)
	c.Assert(cause, qt.Equals, "suspected-to-crash-backend-servers")

	// Requests without the header are still served.
	calls := d.startCaller("others", 2*time.Second, 100, []int{1, 2, 3, 4})
	calls.verify("--all-answered")
}
