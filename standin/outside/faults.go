package outside

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// faults are switched on with PUT /standin/faults; the zero value is a healthy backend server.
type faults struct {
	FailPerMille  int    `json:"fail-per-mille"`  // share of runs answered with status 500
	SlowMS        int    `json:"slow-ms"`         // added to each run
	PathPrefix    string `json:"path-prefix"`     // faults hit only requests below it
	AboveLoad     int    `json:"above-load"`      // faults hit only while more runs than this are under way
	CrashOnHeader bool   `json:"crash-on-header"` // a request with the header Standin-Crash ends the process
	Silent        bool   `json:"silent"`          // runs never answer and open connections stay open
	CutAnswer     bool   `json:"cut-answer"`      // answers are cut in the middle
}

type faultSwitch struct {
	mu      sync.Mutex // guards current
	current faults
}

func (s *faultSwitch) get() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *faultSwitch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var next faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = next
	w.WriteHeader(http.StatusNoContent)
}

// hits reports whether the faults concern this request.
func (f faults) affects(r *http.Request, running int) bool {
	return strings.HasPrefix(r.URL.Path, f.PathPrefix) && running > f.AboveLoad
}

func (f faults) fails() bool {
	return rand.IntN(1000) < f.FailPerMille
}

func (f faults) delay() time.Duration {
	return time.Duration(f.SlowMS) * time.Millisecond
}
