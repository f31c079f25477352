package callerhttp

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core/retry"
)

// Guards against a second run of a call that is not idempotent, against one more attempt for a refusal that a node further down
// has settled, and against a backend server that fails a part of its calls for everybody.
func TestErrorsAreRepeatedWhereAllowed(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		allowed, relayed, idempotent bool
		status                       int
		want                         retry.Class
	}{
		{allowed: true, idempotent: true, status: http.StatusInternalServerError, want: retry.Repeat},
		{allowed: true, status: http.StatusInternalServerError, want: retry.Final},
		{allowed: true, idempotent: true, relayed: true, status: http.StatusInternalServerError, want: retry.Final},
		{idempotent: true, status: http.StatusInternalServerError, want: retry.Final},
		{allowed: true, idempotent: true, status: http.StatusGatewayTimeout, want: retry.Final},
		{allowed: true, idempotent: true, status: http.StatusServiceUnavailable, want: retry.Repeat},
	} {
		s := &Server{options: Options{RepeatErrors: test.allowed}}
		c.Assert(s.classOfAnswer(test.status, test.relayed, test.idempotent), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
