package adminhttp

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
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
		Explain: func(query url.Values) (any, error) {
			if query.Get("path") == "" {
				return nil, errors.New("no path")
			}
			return map[string]string{"route": query.Get("path")}, nil
		},
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
	_, body = get("/route?path=/a")
	c.Assert(body, qt.Contains, `"route": "/a"`)
	status, _ = get("/route")
	c.Assert(status, qt.Equals, http.StatusBadRequest)
	_, body = get("/metrics")
	c.Assert(strings.HasPrefix(body, "calls_total 1\n"), qt.IsTrue)
}
