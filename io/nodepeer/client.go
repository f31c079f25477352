package nodepeer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/io/frame"
)

const (
	errDialerClosed = errors.ConstError("dialer is closed")
	errLeaving      = errors.ConstError("peer is leaving")
)

// suspectAfter is the silence after which a connection gets no new calls while it may still turn out to be alive.
const suspectAfter = pingInterval + checkEvery

// clientConn is one connection to a peer; receive is its only reader.
type clientConn struct {
	dialer  *Dialer
	peer    *peer
	frames  *frame.Conn
	id      uint64
	dialled time.Time
	number  uint64        // of the dial, counted by the dialer
	done    chan struct{} // closed when the connection is lost
	greeted chan struct{} // closed on welcome
	pings   chan struct{} // asks for a ping

	lostBefore uint64 // number of the latest dial when the connection was lost; set before done is closed

	mu        sync.Mutex
	streams   map[uint64]*stream
	revokes   map[uint64]chan bool
	claims    map[uint64]chan keyReply
	next      uint64 // sequence of the latest attempt
	token     uint64 // of the latest revocation
	lost      bool
	goaway    bool
	heard     time.Time // latest byte from the peer, or the time at which the connection got its first outstanding call
	used      time.Time // latest time with an outstanding call
	startedBy time.Time // the peer's process has started before this time
	pinged    time.Time // latest ping
	checked   time.Time // latest check
}

func newClientConn(d *Dialer, p *peer, conn net.Conn, dialled time.Time, number uint64) *clientConn {
	return &clientConn{
		dialer:  d,
		peer:    p,
		frames:  frame.New(conn),
		id:      rand.Uint64() | 1, // never zero
		dialled: dialled,
		number:  number,
		done:    make(chan struct{}),
		greeted: make(chan struct{}),
		pings:   make(chan struct{}, 1),
		streams: make(map[uint64]*stream),
		revokes: make(map[uint64]chan bool),
		claims:  make(map[uint64]chan keyReply),
		heard:   time.Now(),
		used:    time.Now(),
		checked: time.Now(),
	}
}

func (c *clientConn) outstanding() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

func (c *clientConn) saidGoaway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.goaway && !c.lost
}

func (c *clientConn) usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := c.isBusy()
	return !c.lost && !(busy && now.Sub(c.heard) > suspectAfter)
}

// fail ends the connection; its streams and revocations learn of it from done.
func (c *clientConn) fail(cause error) {
	c.mu.Lock()
	if c.lost {
		c.mu.Unlock()
		return
	}
	c.lost = true
	calls := len(c.streams)
	c.mu.Unlock()
	c.lostBefore = c.dialer.drop(c)
	_ = c.frames.Close()
	close(c.done)
	if calls > 0 {
		c.dialer.options.Logger.Warn().Str("peer", c.frames.RemoteAddr().String()).Int("calls", calls).Err(cause).Msg("connection with calls lost")
	}
}

func (c *clientConn) send(kind frame.Type, message any) bool {
	if err := c.frames.Send(time.Now().Add(writeLimit), kind, message); err != nil {
		c.fail(errors.Annotate(errConnectionLost, err.Error()))
		return false
	}
	return true
}

// register takes a sequence for an attempt that has not been sent yet.
func (c *clientConn) register(ctx context.Context, cancel context.CancelFunc) (*stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost {
		return nil, errConnectionLost
	}
	c.busy()
	c.next++
	s := newStream(c, c.next, cancel)
	c.streams[c.next] = s
	return s, nil
}

// isBusy needs the lock; it says whether something is expected from the peer.
func (c *clientConn) isBusy() bool {
	return len(c.streams)+len(c.revokes)+len(c.claims) > 0
}

// busy needs the lock. Silence counts from the first outstanding call, since an idle connection gets no pings.
func (c *clientConn) busy() {
	if !c.isBusy() {
		c.heard = time.Now()
		c.pinged = c.heard
	}
}

func (c *clientConn) remove(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, sequence)
	c.used = time.Now()
}

// sendCall sends an attempt; false means that some of it may have been sent and that the connection is lost.
func (c *clientConn) sendCall(sequence uint64, call *core.Call) bool {
	open := openOf(sequence, call, time.Now())
	if !c.send(typeOpen, open) {
		return false
	}
	if len(open.Body) == open.Length {
		return true
	}
	for rest := call.Body; len(rest) > 0; {
		n := min(len(rest), core.MaxChunkBytes)
		if !c.send(typeBody, bodyMessage{Sequence: sequence, Bytes: rest[:n]}) {
			return false
		}
		rest = rest[n:]
	}
	return c.send(typeBodyEnd, sequenceMessage{
		Sequence: sequence,
	})
}

// revoke asks the peer to see to it that an attempt of an earlier connection never runs.
func (c *clientConn) revoke(ctx context.Context, s *stream) (bool, error) {
	select {
	case <-c.greeted:
	case <-c.done:
		return false, errConnectionLost
	case <-ctx.Done():
		return false, ctx.Err()
	}
	c.mu.Lock()
	restarted := !c.startedBy.Before(s.conn.dialled)
	c.busy()
	c.token++
	token, verdict := c.token, make(chan bool, 1)
	c.revokes[token] = verdict
	c.mu.Unlock()
	defer c.endQuestion(token)
	if restarted {
		return false, errors.New("the peer's process may have started after the attempt")
	}
	c.send(typeRevoke, revokeMessage{
		Token:      token,
		Connection: s.conn.id,
		Sequence:   s.sequence,
	})
	select {
	case revoked := <-verdict:
		return revoked, nil
	case <-c.done:
		return false, errConnectionLost
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// askKey sends a claim or settlement to a holder and waits for its reply.
func (c *clientConn) askKey(ctx context.Context, message keyMessage) (keyReply, error) {
	c.mu.Lock()
	c.busy()
	c.token++
	message.Token = c.token
	reply := make(chan keyReply, 1)
	c.claims[message.Token] = reply
	c.mu.Unlock()
	defer c.endQuestion(message.Token)
	c.send(typeKey, message)
	select {
	case answer := <-reply:
		return answer, nil
	case <-c.done:
		return keyReply{}, errConnectionLost
	case <-ctx.Done():
		return keyReply{}, ctx.Err()
	}
}

func (c *clientConn) endQuestion(token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.revokes, token)
	delete(c.claims, token)
	c.used = time.Now()
}

// greet sends the hello that precedes all other messages.
func (c *clientConn) greet() error {
	err := c.frames.Send(time.Now().Add(writeLimit), typeHello, helloMessage{
		Connection: c.id,
	})
	if err != nil {
		_ = c.frames.Close()
	}
	return err
}

// receive reads until the connection is lost; nothing in it waits for a caller.
func (c *clientConn) receive() {
	for {
		received, err := c.frames.Receive(time.Time{})
		if err != nil {
			c.fail(errors.Annotate(errConnectionLost, err.Error()))
			return
		}
		c.mu.Lock()
		c.heard = time.Now()
		c.mu.Unlock()
		if err := c.dispatch(received); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *clientConn) dispatch(received frame.Frame) error {
	switch received.Type {
	case typeWelcome:
		return decoded(received, c.welcome)
	case typeHead:
		return decoded(received, func(m headMessage) error { return c.deliver(m.Sequence, func(s *stream) error { return s.setHead(m) }) })
	case typeAnswerBody:
		return decoded(received, func(m bodyMessage) error {
			return c.deliver(m.Sequence, func(s *stream) error { return s.addChunk(m.Bytes) })
		})
	case typeAnswerEnd:
		return decoded(received, func(m answerEndMessage) error {
			return c.deliver(m.Sequence, func(s *stream) error { return s.setEnd(m) })
		})
	case typeRefused:
		return decoded(received, func(m refusedMessage) error {
			return c.deliver(m.Sequence, func(s *stream) error { return s.setRefused(m) })
		})
	case typeRevoked:
		return decoded(received, c.revoked)
	case typeKeyReply:
		return decoded(received, c.keyReplied)
	case typeGoaway:
		c.mu.Lock()
		c.goaway = true
		c.mu.Unlock()
		return nil
	case typePong:
		return nil
	}
	return errors.Annotatef(errProtocol, "message type %d", received.Type)
}

func (c *clientConn) welcome(message welcomeMessage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.startedBy.IsZero() {
		return errors.Annotate(errProtocol, "second welcome")
	}
	c.startedBy = time.Now().Add(-time.Duration(message.RunningUS) * time.Microsecond)
	close(c.greeted)
	return nil
}

// deliver drops messages for attempts that have been given up.
func (c *clientConn) deliver(sequence uint64, handle func(*stream) error) error {
	c.mu.Lock()
	s := c.streams[sequence]
	c.mu.Unlock()
	if s == nil {
		return nil
	}
	return handle(s)
}

func (c *clientConn) revoked(message revokedMessage) error {
	c.mu.Lock()
	verdict := c.revokes[message.Token]
	delete(c.revokes, message.Token)
	c.mu.Unlock()
	if verdict != nil {
		verdict <- message.Revoked
	}
	return nil
}

func (c *clientConn) keyReplied(message keyReply) error {
	c.mu.Lock()
	reply := c.claims[message.Token]
	delete(c.claims, message.Token)
	c.mu.Unlock()
	if reply != nil {
		reply <- message
	}
	return nil
}

// sendPings is apart from watch, since a ping may wait behind bodies that a silent peer does not take.
func (c *clientConn) sendPings() {
	for {
		select {
		case <-c.done:
			return
		case <-c.pings:
			c.send(typePing, emptyMessage{})
		}
	}
}

// watch asks for pings while calls are outstanding, and ends a connection that is silent or has been idle for long.
func (c *clientConn) watch() {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
			c.check(time.Now())
		}
	}
}

// check counts no silence for the time in which this process itself stood still: what the peer sent is waiting unread.
func (c *clientConn) check(now time.Time) {
	c.mu.Lock()
	if now.Sub(c.checked) > 2*checkEvery {
		c.heard = now
	}
	c.checked = now
	busy := c.isBusy()
	silent := busy && now.Sub(c.heard) >= silenceLimit
	ping := busy && now.Sub(c.pinged) >= pingInterval
	idle := !busy && (c.goaway || now.Sub(c.used) >= idleLimit)
	if ping {
		c.pinged = now
	}
	c.mu.Unlock()
	switch {
	case silent:
		c.dialer.silent.Inc()
		c.fail(errors.Annotate(errConnectionLost, "silent"))
	case idle:
		c.fail(errDialerClosed)
	case ping:
		select {
		case c.pings <- struct{}{}:
		default: // one waits to be sent
		}
	}
}
