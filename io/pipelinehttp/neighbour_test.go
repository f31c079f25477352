package pipelinehttp_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/io/pipelinehttp"
)

// Guards against one address whose connections, none of them idle, take all places, and against places that are not released.
func TestPlacesForOtherAddresses(t *testing.T) {
	c := qt.New(t)
	server, address, counted := startLimited(c, answerOK, pipelinehttp.Limits{Connections: 32, HeadTimeout: time.Minute})
	fill := func() {
		for counted.get(pipelinehttp.CauseConnections) == 0 {
			_, _ = io.WriteString(dial(c, address, "").Conn, "GET / HTTP/1.1\r\n")
			time.Sleep(time.Millisecond)
		}
	}
	fill()
	c.Assert(server.OpenConnections(), qt.Equals, 30)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	for range 3 {
		other, err := dialer.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(other, "GET / HTTP/1.1\r\nHost: n\r\n\r\n")
		c.Assert(err, qt.IsNil)
		_ = other.SetReadDeadline(time.Now().Add(5 * time.Second))
		answer := make([]byte, len("HTTP/1.1 200"))
		_, err = io.ReadFull(other, answer)
		c.Assert(err, qt.IsNil)
		c.Assert(string(answer), qt.Equals, "HTTP/1.1 200")
		c.Assert(other.Close(), qt.IsNil)
		for server.OpenConnections() > 30 {
			time.Sleep(time.Millisecond)
		}
	}
}
