package callerhttp_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a body that holds a connection and a slot long after its caller could have been answered.
func TestBodiesEndAtTheDeadline(t *testing.T) {
	c := qt.New(t)
	e := newEntry(c, allV1, nil)
	for length, status := range map[string]string{"1000": "503"} {
		connection, err := net.Dial("tcp", e.Address())
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(connection, "POST /orders HTTP/1.1\r\nHost: n\r\nParsleyport-Deadline-Ms: 300\r\nContent-Length: "+length+"\r\n\r\nxyz")
		c.Assert(err, qt.IsNil)
		_ = connection.SetReadDeadline(time.Now().Add(10 * time.Second))
		line := make([]byte, len("HTTP/1.1 503"))
		_, err = io.ReadFull(connection, line)
		c.Assert(err, qt.IsNil)
		c.Assert(string(line), qt.Equals, "HTTP/1.1 "+status)
		_ = connection.Close()
	}
}
