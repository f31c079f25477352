package nodepeer

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against processes with different dictionaries for the same settings, because maps are encoded in random order.
func TestEqualSettingsGiveEqualCompressors(t *testing.T) {
	c := qt.New(t)
	first, err := NewCompressor(core.DefaultHeaderNames())
	c.Assert(err, qt.IsNil)
	for range 50 {
		next, err := NewCompressor(core.DefaultHeaderNames())
		c.Assert(err, qt.IsNil)
		c.Assert(next.ID(), qt.Equals, first.ID())
	}
	others, err := NewCompressor(core.HeaderNames{CallID: "X-Call"})
	c.Assert(err, qt.IsNil)
	c.Assert(others.ID(), qt.Not(qt.Equals), first.ID())
}

// Guards against uncompressed calls between data centres, compression within one data centre, and compressed messages to a peer
// that cannot read them.
func TestCallsBetweenDataCentresAreCompressed(t *testing.T) {
	c := qt.New(t)
	compressor, err := NewCompressor(core.DefaultHeaderNames())
	c.Assert(err, qt.IsNil)
	other, err := NewCompressor(core.HeaderNames{})
	c.Assert(err, qt.IsNil)
	uncompressed := trafficOfCalls(c, "here", "here", compressor, compressor)
	compressed := trafficOfCalls(c, "here", "there", compressor, compressor)
	c.Assert(compressed*2 < uncompressed, qt.IsTrue, qt.Commentf("%d bytes, %d uncompressed", compressed, uncompressed))
	for name, dialers := range map[string]*frame.Compressor{"no compressor": nil, "another dictionary": other} {
		bytes := trafficOfCalls(c, "here", "there", dialers, compressor)
		c.Assert(bytes > uncompressed*9/10, qt.IsTrue, qt.Commentf("%s: %d bytes, %d uncompressed", name, bytes, uncompressed))
	}
}

// trafficOfCalls returns the bytes on the wire of 100 calls between two nodes.
func trafficOfCalls(c *qt.C, from, to core.DataCentre, dialers, servers *frame.Compressor) int64 {
	backend := &staticBackend{}
	server, stop, err := NewServer(ServerOptions{
		Address:    "127.0.0.1:0",
		Backend:    backend,
		DataCentre: to,
		Compressor: servers,
	})
	c.Assert(err, qt.IsNil)
	defer stop()
	var bytes atomic.Int64
	dialer, stopDialer, err := NewDialer(DialerOptions{
		Self:       "self",
		DataCentre: from,
		Compressor: dialers,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return countingConn{Conn: conn, bytes: &bytes}, err
		},
	})
	c.Assert(err, qt.IsNil)
	defer stopDialer()
	for range 100 {
		answer, outcome, err := dialer.Forward(context.Background(), core.Endpoint{Node: "b", Address: server.Address()}, &core.Call{
			ID:       "c0ffee",
			Service:  "orders",
			Method:   http.MethodGet,
			Target:   "/orders/81",
			Header:   http.Header{"Accept": {"*/*"}, "Accept-Encoding": {"identity"}, "Parsleyport-Call-Id": {"c0ffee"}},
			Deadline: time.Now().Add(5 * time.Second),
		})
		c.Assert(err, qt.IsNil)
		c.Assert(outcome, qt.Equals, core.OutcomeAnswered)
		body, err := io.ReadAll(answer.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(body), qt.Equals, "done")
		c.Assert(answer.Header.Get("Content-Type"), qt.Equals, "application/json")
		c.Assert(answer.Body.Close(), qt.IsNil)
	}
	return bytes.Load()
}

type staticBackend struct{}

func (*staticBackend) Handle(context.Context, *core.Call) (*core.Answer, core.Outcome, error) {
	return &core.Answer{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   io.NopCloser(strings.NewReader("done")),
	}, core.OutcomeAnswered, nil
}
