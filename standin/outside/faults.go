package outside

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// faults holds the faults of a backend server. They are replaced with PUT /standin/faults; the zero value has none.
type faults struct {
	FailPerMille  int    `json:"fail-per-mille"`  // share of runs answered with status 500
	SlowMS        int    `json:"slow-ms"`         // added to each run
	PathPrefix    string `json:"path-prefix"`     // only requests with this path prefix are affected
	AboveLoad     int    `json:"above-load"`      // only requests beyond this number of concurrent runs are affected
	CrashOnHeader bool   `json:"crash-on-header"` // a request with the header Standin-Crash makes the process exit
	Silent        bool   `json:"silent"`          // runs never answer but keep their connections open
	CutAnswer     bool   `json:"cut-answer"`      // answers end after half of their body
}

// faultHandler holds the current faults and serves requests that replace them.
type faultHandler struct {
	mu      sync.Mutex // guards current
	current faults
}

func (h *faultHandler) get() faults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

func (h *faultHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var next faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = next
	w.WriteHeader(http.StatusNoContent)
}

// affects reports whether the faults apply to a request, given the number of concurrent runs.
func (f faults) affects(r *http.Request, running int) bool {
	return strings.HasPrefix(r.URL.Path, f.PathPrefix) && running > f.AboveLoad
}

func (f faults) fails() bool {
	return rand.IntN(1000) < f.FailPerMille
}

func (f faults) delay() time.Duration {
	return time.Duration(f.SlowMS) * time.Millisecond
}
