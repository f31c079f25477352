package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a stop that resets connections whose callers have sent requests, because the process had no time to accept them.
func TestCloseHandsOutEstablishedConnections(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener := NewListener(inner)
	const callers = 40
	var connections []net.Conn
	for range callers {
		connection, err := net.Dial("tcp", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		defer connection.Close()
		_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: n\r\n\r\n")
		c.Assert(err, qt.IsNil)
		connections = append(connections, connection)
	}
	server := http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	defer server.Close()
	closed := make(chan error)
	go func() { closed <- listener.Close() }() // before anything was accepted
	for listener.leftoverCount() < callers {
		runtime.Gosched()
	}
	go func() { _ = server.Serve(listener) }()
	c.Assert(<-closed, qt.IsNil)
	for _, connection := range connections {
		answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(answer.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(answer.Body.Close(), qt.IsNil)
	}
	_, err = net.DialTimeout("tcp", inner.Addr().String(), time.Second)
	c.Assert(err, qt.IsNotNil)
	c.Assert(listener.Close(), qt.IsNil)
}

func (l *Listener) leftoverCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.leftover)
}

// Guards against a connection that is established while the listener closes and is neither served nor refused. Callers connect and
// send requests all the time while servers begin and stop.
func TestCallersOfAStoppingServerAreAnsweredOrRefused(t *testing.T) {
	c := qt.New(t)
	var reset, answered atomic.Int64
	for range 20 {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		listener := NewListener(inner)
		server := http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		go func() { _ = server.Serve(listener) }()
		ended := make(chan struct{})
		for range 4 {
			go func() {
				defer func() { ended <- struct{}{} }()
				for {
					connection, err := net.DialTimeout("tcp", inner.Addr().String(), time.Second)
					if err != nil {
						return // refused
					}
					_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
					if _, err := http.ReadResponse(bufio.NewReader(connection), nil); err != nil {
						reset.Add(1)
					} else {
						answered.Add(1)
					}
					_ = connection.Close()
				}
			}()
		}
		for before := answered.Load(); answered.Load() < before+20; {
			runtime.Gosched()
		}
		c.Assert(listener.Close(), qt.IsNil)
		for range 4 {
			<-ended
		}
		c.Assert(server.Close(), qt.IsNil)
	}
	t.Logf("%d answered", answered.Load())
	c.Assert(reset.Load(), qt.Equals, int64(0))
}
