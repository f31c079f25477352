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
	errPeerLost     = errors.ConstError("connection to the peer was lost")
	errLeaving      = errors.ConstError("peer is leaving")
	// errUnsent means that the connection was closed before anything was sent, so that another connection can be used.
	errUnsent = errors.ConstError("connection was closed before anything was sent")
)

// suspectSilence is the silence after which a connection gets no new calls, although it is not yet considered dead.
const suspectSilence = pingInterval + checkInterval

// clientConn is one connection to a peer. Only receive reads from it.
type clientConn struct {
	dialer     *Dialer
	pool       *peerPool
	heard      *heardConn
	frames     *frame.Conn
	id         uint64
	dialStart  time.Time
	dialNumber uint64        // assigned by the dialer in the order of its dials
	done       chan struct{} // closed when the connection is lost
	welcomed   chan struct{} // closed by the peer's welcome

	lastDialAtLoss uint64 // number of the dialer's latest dial when the connection was lost; set before done is closed

	mu                sync.Mutex
	streams           map[uint64]*stream
	revocations       map[uint64]chan bool
	keyRequests       map[uint64]chan keyReply
	lastSequence      uint64 // sequence of the latest attempt
	lastToken         uint64 // token of the latest request, which is a revocation or a keyMessage
	lost              bool
	goawayReceived    bool
	listeningSince    time.Time // latest of: first outstanding call, end of a pause of this process
	idleUntil         time.Time // the connection is closed at this time unless something is outstanding
	peerStartedBefore time.Time // the peer's process started before this time
	bodyCredit        bool      // the peer gives credit for long bodies
	streamsBodies     bool      // the peer receives streamed bodies
	lastPing          time.Time
	pinging           bool // the latest ping is still being written
	lastCheck         time.Time
	nextCheck         time.Time
	timer             *time.Timer // runs the next check; nil before start
}

func newClientConn(d *Dialer, p *peerPool, conn net.Conn, dialStart time.Time, dialNumber uint64) *clientConn {
	heard := &heardConn{
		Conn: conn,
	}
	return &clientConn{
		dialer:         d,
		pool:           p,
		heard:          heard,
		frames:         frame.New(heard, d.options.Compressor),
		id:             rand.Uint64() | 1, // never zero
		dialStart:      dialStart,
		dialNumber:     dialNumber,
		done:           make(chan struct{}),
		welcomed:       make(chan struct{}),
		streams:        make(map[uint64]*stream),
		listeningSince: time.Now(),
		lastCheck:      time.Now(),

		idleUntil: time.Now().Add(idleTimeout),
	}
}

func (c *clientConn) callCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

func (c *clientConn) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.goawayReceived && !c.lost
}

func (c *clientConn) usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := c.hasOutstanding()
	return !c.lost && !(busy && c.silence(now) > suspectSilence)
}

// fail closes the connection because of an error. Its streams and requests learn of it from done.
func (c *clientConn) fail(cause error) {
	c.mu.Lock()
	if c.lost {
		c.mu.Unlock()
		return
	}
	c.lost = true
	calls := len(c.streams)
	c.mu.Unlock()
	c.closeLost()
	if calls > 0 {
		c.dialer.options.Logger.Warn().Str("peer", c.frames.RemoteAddr().String()).Int("calls", calls).Err(cause).Msg("connection with calls lost")
	}
}

// closeLost closes a connection that has been marked as lost.
func (c *clientConn) closeLost() {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.lastDialAtLoss = c.dialer.removeConnection(c)
	_ = c.frames.Close()
	close(c.done)
}

func (c *clientConn) send(kind frame.Type, message any) bool {
	if err := c.frames.Send(time.Now().Add(writeTimeout), kind, message); err != nil {
		c.fail(errors.Annotate(errPeerLost, err.Error()))
		return false
	}
	return true
}

// register assigns a sequence number to an attempt before it is sent. It returns errUnsent or the context's error.
func (c *clientConn) register(ctx context.Context, cancel context.CancelFunc) (*stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.beginUse(); err != nil {
		return nil, err
	}
	c.lastSequence++
	s := newStream(c, c.lastSequence, cancel)
	c.streams[c.lastSequence] = s
	return s, nil
}

func (c *clientConn) remove(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, sequence)
	c.idleUntil = time.Now().Add(idleTimeout)
}

// sendCall sends an attempt. It returns false if the connection was lost, when part of the attempt may have been sent. It stops
// early if the attempt has been refused or the context ends. An error means that the body could not be read, so that the attempt must
// be abandoned.
func (c *clientConn) sendCall(ctx context.Context, s *stream, call *core.Call) (bool, error) {
	if call.Source != nil {
		return c.sendStream(ctx, s, newOpenMessage(s.sequence, call, time.Now(), 0), call.Source)
	}
	return c.sendBuffered(ctx, s, call), nil
}

func (c *clientConn) sendBuffered(ctx context.Context, s *stream, call *core.Call) bool {
	c.mu.Lock()
	waitForCredit, maxInline := c.bodyCredit, core.MaxChunkBytes
	c.mu.Unlock()
	if waitForCredit {
		maxInline = maxCreditlessBytes
	}
	open := newOpenMessage(s.sequence, call, time.Now(), maxInline)
	if !c.send(typeOpen, open) {
		return false
	}
	if len(open.Body) == open.Length {
		return true
	}
	if !waitForCredit {
		select { // the peer may give credit, but not have said so yet
		case <-c.welcomed:
		case <-c.done:
			return false
		case <-ctx.Done():
			return true
		}
		c.mu.Lock()
		waitForCredit = c.bodyCredit
		c.mu.Unlock()
	}
	for rest := call.Body; len(rest) > 0; {
		n := min(len(rest), core.MaxChunkBytes)
		if waitForCredit {
			if n = s.takeBodyCredit(ctx, n); n == 0 {
				return true
			}
		}
		if !c.send(typeBody, bodyMessage{Sequence: s.sequence, Bytes: rest[:n]}) {
			return false
		}
		rest = rest[n:]
	}
	return c.send(typeBodyEnd, bodyEndMessage{
		Sequence: s.sequence,
	})
}

// beginRequest registers an outstanding revocation or keyMessage, which keeps the connection from being closed as idle. It
// returns its token and the channel for the reply.
func beginRequest[T any](c *clientConn, requests *map[uint64]chan T) (uint64, chan T, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.beginUse(); err != nil {
		return 0, nil, err
	}
	if *requests == nil {
		*requests = make(map[uint64]chan T)
	}
	c.lastToken++
	replies := make(chan T, 1)
	(*requests)[c.lastToken] = replies
	return c.lastToken, replies, nil
}

// revoke asks the peer to ensure that an attempt of an earlier connection never runs. It returns false if it may have run.
func (c *clientConn) revoke(ctx context.Context, s *stream) (bool, error) {
	token, replies, err := beginRequest(c, &c.revocations)
	if err != nil {
		return false, err
	}
	defer c.endRequest(token)
	select {
	case <-c.welcomed:
	case <-c.done:
		return false, errPeerLost
	case <-ctx.Done():
		return false, ctx.Err()
	}
	c.mu.Lock()
	restarted := !c.peerStartedBefore.Before(s.conn.dialStart)
	c.mu.Unlock()
	if restarted {
		return false, errors.New("the peer's process may have started after the attempt")
	}
	c.send(typeRevoke, revokeMessage{
		Token:      token,
		Connection: s.conn.id,
		Sequence:   s.sequence,
	})
	return awaitReply(ctx, c, replies)
}

// awaitReply waits for the reply to a request. A reply that has arrived is returned even if the connection was lost since.
func awaitReply[T any](ctx context.Context, c *clientConn, replies chan T) (reply T, err error) {
	select {
	case reply = <-replies:
		return reply, nil
	case <-c.done:
	case <-ctx.Done():
		return reply, ctx.Err()
	}
	select {
	case reply = <-replies:
		return reply, nil
	default:
		return reply, errPeerLost
	}
}

// askKey sends a claim, a settlement or a part of a handover to a holder and waits for its reply.
func (c *clientConn) askKey(ctx context.Context, message keyMessage) (keyReply, error) {
	token, replies, err := beginRequest(c, &c.keyRequests)
	if err != nil {
		return keyReply{}, err
	}
	defer c.endRequest(token)
	message.Token = token
	c.send(typeKey, message)
	return awaitReply(ctx, c, replies)
}

func (c *clientConn) endRequest(token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.revocations, token)
	delete(c.keyRequests, token)
	c.idleUntil = time.Now().Add(idleTimeout)
}

// sendHello sends hello, which precedes all other messages.
func (c *clientConn) sendHello() error {
	err := c.frames.Send(time.Now().Add(writeTimeout), typeHello, helloMessage{
		Connection:   c.id,
		CompressorID: c.dialer.options.Compressor.ID(),
		DataCentre:   c.dialer.options.DataCentre,
		StuckNotices: true,
	})
	if err != nil {
		_ = c.frames.Close()
	}
	return err
}

// receive reads messages until the connection is lost. It never waits for a caller.
func (c *clientConn) receive() {
	for {
		received, err := c.frames.Receive(time.Time{})
		if err != nil {
			c.fail(errors.Annotate(errPeerLost, err.Error()))
			return
		}
		if err := c.dispatch(received); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *clientConn) dispatch(received frame.Frame) error {
	switch received.Type {
	case typeWelcome:
		return decodeAndHandle(received, c.handleWelcome)
	case typeHead:
		return decodeAndHandle(received, func(m headMessage) error { return c.deliver(m.Sequence, func(s *stream) error { return s.setHead(m) }) })
	case typeAnswerBody:
		return decodeAndHandle(received, func(m bodyMessage) error {
			return c.deliver(m.Sequence, func(s *stream) error { return s.addChunk(m.Bytes) })
		})
	case typeAnswerEnd:
		return decodeAndHandle(received, func(m answerEndMessage) error {
			return c.deliver(m.Sequence, func(s *stream) error { return s.setEnd(m) })
		})
	case typeRefused:
		return decodeAndHandle(received, func(m refusedMessage) error {
			return c.deliver(m.Sequence, func(s *stream) error { return s.setRefused(m) })
		})
	case typeBodyCredit:
		return decodeAndHandle(received, func(m creditMessage) error {
			return c.deliver(m.Sequence, func(s *stream) error { return s.addBodyCredit(m.Bytes) })
		})
	case typeStuck:
		return decodeAndHandle(received, func(m sequenceMessage) error { return c.deliver(m.Sequence, (*stream).setStuck) })
	case typeRevoked:
		return decodeAndHandle(received, c.handleRevoked)
	case typeKeyReply:
		return decodeAndHandle(received, c.handleKeyReply)
	case typeGoaway:
		c.mu.Lock()
		c.goawayReceived = true
		c.scheduleCheck(time.Now().Add(checkInterval))
		c.mu.Unlock()
		return nil
	case typePong:
		return nil
	}
	return errors.Annotatef(errProtocol, "unexpected message type %d", received.Type)
}

func (c *clientConn) handleWelcome(message welcomeMessage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.peerStartedBefore.IsZero() {
		return errors.Annotate(errProtocol, "second welcome")
	}
	c.frames.SetPeerCompressor(message.CompressorID)
	c.bodyCredit, c.streamsBodies = message.BodyCredit, message.StreamsBodies
	c.peerStartedBefore = time.Now().Add(-time.Duration(message.RunningUS) * time.Microsecond)
	close(c.welcomed)
	return nil
}

// deliver passes a message to its stream, and drops it if the attempt has been abandoned.
func (c *clientConn) deliver(sequence uint64, handle func(*stream) error) error {
	c.mu.Lock()
	s := c.streams[sequence]
	c.mu.Unlock()
	if s == nil {
		return nil
	}
	return handle(s)
}

func (c *clientConn) handleRevoked(message revokedMessage) error {
	return deliverReply(c, &c.revocations, message.Token, message.Revoked)
}

func (c *clientConn) handleKeyReply(message keyReply) error {
	return deliverReply(c, &c.keyRequests, message.Token, message)
}

// deliverReply passes a reply to the goroutine that waits for it, and drops a second reply. The request stays outstanding until
// endRequest.
func deliverReply[T any](c *clientConn, requests *map[uint64]chan T, token uint64, reply T) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case (*requests)[token] <- reply: // the channel is nil, and so never ready, if nobody waits any more
	default:
	}
	return nil
}
