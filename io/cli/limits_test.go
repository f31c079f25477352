package cli

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a refusal by a rate limit or by a limit of a tenant that a script takes for an unknown outcome or a stored verdict.
func TestExitStatusesOfLimits(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"result": "refused", "cause": "submission-limit", "detail": "too many"}`))
			return
		}
		w.Header().Set("Retry-After", "99")
		http.Error(w, "too many queries", http.StatusTooManyRequests)
	}))
	f.c.Cleanup(server.Close)
	f.c.Setenv(serversVariable, server.Listener.Addr().String())
	f.c.Assert(f.run(StatusLimited, "status"), qt.Matches, "parsleyport: .*too many queries.*\n")
	f.c.Assert(f.run(StatusRefused, "apply", f.file("good.jsonc", records)), qt.Matches, `(?s)refused \(submission-limit\): too many\n.*run the same command again.*`)
}
