package nodepeer

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/io/frame"
)

// Guards against connections that say nothing, or a long first message, and stay open until the idle timeout.
func TestConnectionsWithoutHelloEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := newTestPair(t, 1)
		connect := func() (net.Conn, chan error) {
			conn, err := pair.network.dial(t.Context(), "b")
			c.Assert(err, qt.IsNil)
			closed := make(chan error, 1)
			pair.network.tasks.Go(func() {
				_, err := conn.Read(make([]byte, 1))
				closed <- err
			})
			return conn, closed
		}
		began := time.Now()
		silent, closed := connect()
		defer silent.Close()
		c.Assert(<-closed, qt.Equals, io.EOF)
		c.Assert(time.Since(began), qt.Equals, helloTimeout)

		long, closed := connect()
		defer long.Close()
		_ = frame.New(long, nil).Send(time.Time{}, typeHello, make([]byte, 2*maxHelloBytes))
		began = time.Now()
		c.Assert(<-closed, qt.Equals, io.EOF)
		c.Assert(time.Since(began) < helloTimeout, qt.IsTrue)
	})
}
