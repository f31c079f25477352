package nodepeer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// steppedContext passes its end on to one derived context after another, as slowly as a loaded machine may.
type steppedContext struct {
	context.Context
	cancel context.CancelCauseFunc

	mu        sync.Mutex
	functions []func()
}

// Value implements context.Context. It hides the embedded context, so that derived contexts use AfterFunc.
func (c *steppedContext) Value(any) any { return nil }

// AfterFunc is the method by which package context passes the end of a foreign context on.
func (c *steppedContext) AfterFunc(f func()) func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.functions = append(c.functions, f)
	return func() bool { return false }
}

func (c *steppedContext) end(cause error) {
	c.cancel(cause)
	c.mu.Lock()
	functions := c.functions
	c.functions = nil
	c.mu.Unlock()
	for _, f := range functions {
		f()
		time.Sleep(time.Millisecond)
	}
}

// singleSlotBackend runs one call at a time, until its context ends, and checks the context once a call has its slot.
type singleSlotBackend struct {
	slot chan struct{}
	runs atomic.Int64
}

func (b *singleSlotBackend) handle(ctx context.Context, _ *core.Call) (*core.Answer, core.Outcome, error) {
	select {
	case b.slot <- struct{}{}:
	case <-ctx.Done():
		return nil, core.OutcomeNotRun, newRefusal(core.CauseRevoked)
	}
	defer func() { <-b.slot }()
	if ctx.Err() != nil {
		return nil, core.OutcomeNotRun, newRefusal(core.CauseRevoked)
	}
	b.runs.Add(1)
	<-ctx.Done()
	return nil, core.OutcomeUnknown, context.Cause(ctx)
}

func (s *Server) snapshotConnections() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var connections []*serverConn
	for c := range s.connections {
		connections = append(connections, c)
	}
	return connections
}

// Guards against a waiting call that starts in the slot of another call of the same lost connection, is cut at once, and so is unknown
// to its caller although it need not have run.
func TestLostConnectionStartsNoWaitingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pair := newTestPair(t, 1)
		backend := &singleSlotBackend{slot: make(chan struct{}, 1)}
		pair.backend.handle = backend.handle
		conn, err := pair.dialer.connection(t.Context(), "b")
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		atServer := pair.server.snapshotConnections()[0]
		ended, cancel := context.WithCancelCause(context.Background())
		stepped := &steppedContext{
			Context: ended,
			cancel:  cancel,
		}
		atServer.ctx, atServer.cancel = stepped, stepped.end

		outcomes := make(chan core.Outcome, 10)
		for i := range cap(outcomes) {
			go func() {
				_, outcome, _ := pair.call(callFor(fmt.Sprint(i), nil))
				outcomes <- outcome
			}()
			synctest.Wait()
		}
		c.Assert(backend.runs.Load(), qt.Equals, int64(1))
		conn.fail(errPeerLost)
		unknown := 0
		for range cap(outcomes) {
			if <-outcomes == core.OutcomeUnknown {
				unknown++
			}
		}
		c.Assert(backend.runs.Load(), qt.Equals, int64(1))
		c.Assert(unknown, qt.Equals, 1)
	})
}

// Guards against the same when the server closes its connections one after another.
func TestClosingServerStartsNoWaitingCall(t *testing.T) {
	c := qt.New(t)
	backend := &singleSlotBackend{slot: make(chan struct{}, 1)}
	network := newFakeNetwork()
	server, stop, err := NewServer(ServerOptions{
		Listener: network,
		Backend:  &countingBackend{handle: backend.handle},
	})
	c.Assert(err, qt.IsNil)
	const links = 20
	for i := range links {
		conn, err := network.dial(t.Context(), "b")
		c.Assert(err, qt.IsNil)
		frames := frame.New(conn, nil)
		c.Assert(frames.Send(time.Time{}, typeHello, helloMessage{Connection: uint64(i + 1)}), qt.IsNil)
		_, err = frames.Receive(time.Time{})
		c.Assert(err, qt.IsNil)
		c.Assert(frames.Send(time.Time{}, typeOpen, openMessage{
			Sequence:    1,
			RemainingUS: time.Minute.Microseconds(),
			Checksum:    xxhash.Sum64(nil),
		}), qt.IsNil)
		go discard(conn)
	}
	for server.accepted.Get() < links || backend.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, each := range server.snapshotConnections() {
		cancel := each.cancel
		each.cancel = func(cause error) {
			cancel(cause)
			time.Sleep(5 * time.Millisecond) // as long as a loaded machine may take
		}
	}
	stop()
	network.tasks.Wait()
	c.Assert(backend.runs.Load(), qt.Equals, int64(1))
}

func discard(conn net.Conn) {
	buffer := make([]byte, 1<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}
