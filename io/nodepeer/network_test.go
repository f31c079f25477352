package nodepeer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// frameAction is what the network does with a frame.
type frameAction int

const (
	pass        frameAction = iota
	closeBefore             // closes the connection instead of forwarding the frame
	closeAfter              // forwards the frame and then closes the connection
	blackhole               // drops this and all later frames of the connection in this direction
	delay                   // forwards the frame once fakeNetwork.release is closed
	corrupt                 // changes the last byte
)

const (
	toServer = true
	toDialer = false
)

// fakeNetwork connects dialers and a server by pipes and decides what happens to each frame. It reads dropped frames too, as
// the kernel does for a process that has stopped responding.
type fakeNetwork struct {
	actionFor func(connection int, toServer bool, kind frame.Type) frameAction
	release   chan struct{}
	accept    chan net.Conn
	closed    chan struct{}
	once      sync.Once
	tasks     sync.WaitGroup
	mu        sync.Mutex
	dials     int
	refuse    bool
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		actionFor: func(int, bool, frame.Type) frameAction { return pass },
		release:   make(chan struct{}),
		accept:    make(chan net.Conn),
		closed:    make(chan struct{}),
	}
}

func (n *fakeNetwork) Accept() (net.Conn, error) {
	select {
	case conn := <-n.accept:
		return conn, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}
func (n *fakeNetwork) Close() error   { n.once.Do(func() { close(n.closed) }); return nil }
func (n *fakeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

func (n *fakeNetwork) dial(ctx context.Context, _ string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	number, refuse := n.dials, n.refuse
	n.mu.Unlock()
	if refuse {
		return nil, io.ErrClosedPipe
	}
	near, relayNear := net.Pipe()
	far, relayFar := net.Pipe()
	select {
	case n.accept <- far:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.tasks.Go(func() { n.relay(number, toServer, relayNear, relayFar) })
	n.tasks.Go(func() { n.relay(number, toDialer, relayFar, relayNear) })
	return near, nil
}

func (n *fakeNetwork) relay(number int, direction bool, from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	for silent := false; ; {
		var head [4]byte
		if _, err := io.ReadFull(from, head[:]); err != nil {
			return
		}
		rest := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(from, rest); err != nil {
			return
		}
		action := n.actionFor(number, direction, frame.Type(binary.BigEndian.Uint16(rest)))
		silent = silent || action == blackhole
		if silent {
			continue
		}
		switch action {
		case closeBefore:
			return
		case delay:
			<-n.release
		case corrupt:
			rest[len(rest)-1] ^= 1
		}
		if _, err := to.Write(append(head[:], rest...)); err != nil || action == closeAfter {
			return
		}
	}
}

// countingBackend is a core.Backend that counts the runs of each call.
type countingBackend struct {
	mu     sync.Mutex
	runs   map[core.CallID]int
	handle func(ctx context.Context, call *core.Call) (*core.Answer, core.Outcome, error)
}

func (b *countingBackend) runCount(id core.CallID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

func (b *countingBackend) countRun(id core.CallID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
}

// Handle calls the handler if one is set; otherwise it counts the run and returns the body.
func (b *countingBackend) Handle(ctx context.Context, call *core.Call) (*core.Answer, core.Outcome, error) {
	if b.handle != nil {
		return b.handle(ctx, call)
	}
	b.countRun(call.ID)
	return answerWith(call.Body), core.OutcomeAnswered, nil
}

func answerWith(body []byte) *core.Answer {
	return &core.Answer{Status: 200, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}
}

// queueUntilCancelled is the handler of a backend whose queue never advances.
func queueUntilCancelled(ctx context.Context, _ *core.Call) (*core.Answer, core.Outcome, error) {
	<-ctx.Done()
	return nil, core.OutcomeNotRun, &core.Refusal{Cause: core.CauseRevoked}
}

// testPair is a dialer and a server, connected by a fakeNetwork.
type testPair struct {
	network *fakeNetwork
	backend *countingBackend
	server  *Server
	dialer  *Dialer
	stop    func() // stops the server

	linkBytesPerSecond int64
}

func newTestPair(t *testing.T, connections int) *testPair {
	return newPacedPair(t, connections, 0)
}

// newPacedPair returns a pair whose server paces long bodies to a rate, unless it is zero.
func newPacedPair(t *testing.T, connections int, linkBytesPerSecond int64) *testPair {
	pair := &testPair{
		network:            newFakeNetwork(),
		backend:            &countingBackend{runs: make(map[core.CallID]int)},
		linkBytesPerSecond: linkBytesPerSecond,
	}
	pair.startServer(t)
	time.Sleep(time.Second) // a server that starts at the time of the dial does not know of earlier attempts
	dialer, stopDialer, err := NewDialer(DialerOptions{Dial: pair.network.dial, ConnectionsPerPeer: connections})
	if err != nil {
		t.Fatal(err)
	}
	pair.dialer = dialer
	t.Cleanup(func() {
		stopDialer()
		pair.stop()
		pair.network.tasks.Wait()
	})
	return pair
}

func (pair *testPair) startServer(t *testing.T) {
	var err error
	if pair.server, pair.stop, err = NewServer(ServerOptions{Listener: pair.network, Backend: pair.backend, LinkBytesPerSecond: pair.linkBytesPerSecond}); err != nil {
		t.Fatal(err)
	}
}

func callFor(id string, body []byte) *core.Call {
	return &core.Call{ID: core.CallID(id), Method: "POST", Target: "/", Body: body, Deadline: time.Now().Add(20 * time.Second)}
}

func (pair *testPair) call(call *core.Call) (*core.Answer, core.Outcome, error) {
	return pair.dialer.Forward(context.Background(), core.Endpoint{Node: "b", Address: "b"}, call)
}

func longBody(seed string) []byte { return []byte(strings.Repeat(seed, 100_000/len(seed))) }
