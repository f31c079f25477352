package adminhttp

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// Guards against a process that reports itself ready before it is, and against an empty state dump or metrics page.
func TestHandlerServesReadinessStateAndMetrics(t *testing.T) {
	c := qt.New(t)
	ready := false
	set := metrics.NewSet()
	set.NewCounter("calls_total").Inc()
	h := handler(Options{
		Ready:   func() bool { return ready },
		State:   func() any { return map[string]int{"revision": 7} },
		Metrics: set,
		Logger:  zerolog.Nop(),
	})
	get := func(path string) (int, string) {
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder.Code, recorder.Body.String()
	}
	status, _ := get("/ready")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	ready = true
	status, _ = get("/ready")
	c.Assert(status, qt.Equals, http.StatusOK)
	_, body := get("/state")
	c.Assert(body, qt.Contains, `"revision": 7`)
	_, body = get("/metrics")
	c.Assert(strings.HasPrefix(body, "calls_total 1\n"), qt.IsTrue)
}
