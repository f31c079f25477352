package httpserver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"parsleyport/io/httpserver"
)

// Guards against a planned stop that closes a connection without an answer while its first request is being read or handled, and
// against a stop that exceeds its time limit.
func TestStopAnswersRequestsInProgress(t *testing.T) {
	const (
		whole = "GET / HTTP/1.1\r\nHost: n\r\n\r\n"
		limit = 2 * time.Second
	)
	for name, test := range map[string]struct {
		before   string // part of the request that is sent before the stop
		answered bool
	}{
		"being read":   {before: whole[:10], answered: true},
		"in progress":  {before: whole, answered: true},
		"never begins": {},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			begun, finish := make(chan struct{}), make(chan struct{})
			handler := http.NewServeMux()
			handler.HandleFunc("/accepted", func(http.ResponseWriter, *http.Request) {})
			handler.HandleFunc("/", func(http.ResponseWriter, *http.Request) {
				close(begun)
				<-finish
			})
			stop := httpserver.Serve(&http.Server{Handler: handler}, listener, "test", limit, zerolog.Nop())
			caller, err := net.Dial("tcp", listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer caller.Close()
			_, err = io.WriteString(caller, test.before)
			c.Assert(err, qt.IsNil)
			if test.before == whole {
				<-begun
			}
			later, err := http.Get("http://" + listener.Addr().String() + "/accepted") // accepted after the caller's connection
			c.Assert(err, qt.IsNil)
			c.Assert(later.Body.Close(), qt.IsNil)
			stopped := make(chan time.Time, 1)
			began := time.Now()
			go func() { stop(); stopped <- time.Now() }()
			for {
				other, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					break // the listener is closed
				}
				c.Assert(other.Close(), qt.IsNil)
				time.Sleep(time.Millisecond)
			}
			if test.answered {
				_, err = io.WriteString(caller, whole[len(test.before):])
				c.Assert(err, qt.IsNil)
				close(finish)
				answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
				c.Assert(err, qt.IsNil)
				c.Assert(answer.StatusCode, qt.Equals, http.StatusOK)
				c.Assert(answer.Body.Close(), qt.IsNil)
			}
			c.Assert((<-stopped).Sub(began) < limit+time.Second, qt.IsTrue)
		})
	}
}
