package raftpeer

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
	"parsleyport/core/ring"
	"parsleyport/io/frame"
)

// Frame types of messages that are not raft.Message; for those the frame type is the raft.MessageKind.
const (
	typeHello frame.Type = 100 + iota
	typePing
	typePong
	typeTopic
)

// topicMessage carries another package's message between control instances.
type topicMessage struct {
	From    core.ControlID `msgpack:"from"`
	Topic   string         `msgpack:"topic"`
	Payload []byte         `msgpack:"payload"`
}

// outgoing is a message in the queue of a link.
type outgoing struct {
	kind    frame.Type
	message any
}

// link is the outgoing connection to one instance. The connection is replaced when it fails or stops answering pings.
type link struct {
	address string
	queue   *ring.Ring[outgoing]
	context context.Context
	cancel  context.CancelFunc
}

// connect starts the sender to an instance. It replaces a sender to another address of that instance.
func (r *Replica) connect(id core.ControlID, address string) {
	r.linksMu.Lock()
	defer r.linksMu.Unlock()
	old := r.links[id]
	if id == r.options.Self || address == "" || old == nil && len(r.links) >= maxMembers {
		return
	}
	if old != nil && old.address == address {
		return
	}
	if old != nil {
		old.cancel()
	}
	l := &link{
		address: address,
		queue:   ring.New[outgoing](sendQueueCapacity),
	}
	l.context, l.cancel = context.WithCancel(r.context)
	r.links[id] = l
	r.goroutines.Go(func() { r.sendLoop(l) })
}

// disconnectOthers closes the links to instances that are not in the settings, not members and not recently introduced.
func (r *Replica) disconnectOthers(members []raft.Member) {
	now := time.Now()
	r.mu.Lock()
	for id, each := range r.introductions {
		if now.Sub(each.At) > introductionMaxAge {
			delete(r.introductions, id)
		}
	}
	r.mu.Unlock()
	r.linksMu.Lock()
	defer r.linksMu.Unlock()
	for id, l := range r.links {
		_, introduced := r.introductions[id] // without the lock, since only the loop writes the map
		if introduced || r.isKnownName(id) || lo.ContainsBy(members, func(m raft.Member) bool { return m.Peer.ID == id }) {
			continue
		}
		l.cancel()
		delete(r.links, id)
	}
}

func (r *Replica) enqueue(to core.ControlID, out outgoing) bool {
	r.linksMu.RLock()
	l := r.links[to]
	r.linksMu.RUnlock()
	if l == nil || !l.queue.TryPush(out) {
		r.counters.dropped.Inc()
		return false
	}
	return true
}

// sendRaft queues a Raft message. A proposal that cannot be queued was certainly not appended, so it is refused.
func (r *Replica) sendRaft(m raft.Message) {
	if !r.enqueue(m.To.ID, outgoing{
		kind:    frame.Type(m.Kind),
		message: &m,
	}) {
		r.refuseUndelivered(m)
	}
}

func (r *Replica) refuseUndelivered(m raft.Message) {
	if m.Kind == raft.KindPropose || m.Kind == raft.KindRead {
		r.requests.finish(m.Request, answer{
			refusal: "the leader cannot be reached",
		})
	}
}

// Send queues a message of another package for an instance. It returns false if the message was dropped; a queued message
// may still be lost.
func (r *Replica) Send(to core.ControlID, topic string, payload []byte) bool {
	return r.enqueue(to, outgoing{
		kind: typeTopic,
		message: &topicMessage{
			From:    r.options.Self,
			Topic:   topic,
			Payload: payload,
		},
	})
}

func (r *Replica) sendLoop(l *link) {
	for l.context.Err() == nil {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(l.context, "tcp", l.address)
		if err == nil {
			r.useConnection(l, frame.NewBulk(conn, r.compressor))
			_ = conn.Close()
		}
		r.dropQueued(l)
		select {
		case <-time.After(redialDelay):
		case <-l.context.Done():
		}
	}
}

// dropQueued drops the messages for an unreachable instance, since they would be outdated when it is connected again.
func (r *Replica) dropQueued(l *link) {
	for {
		select {
		case out := <-l.queue.Items():
			r.drop(out)
		default:
			return
		}
	}
}

func (r *Replica) drop(out outgoing) {
	r.counters.dropped.Inc()
	if m, ok := out.message.(*raft.Message); ok {
		r.refuseUndelivered(*m)
	}
}

// useConnection sends queued messages and pings until the connection fails or pings are not answered.
func (r *Replica) useConnection(l *link, conn *frame.Conn) {
	ctx, cancel := context.WithCancel(l.context)
	defer cancel()
	r.goroutines.Go(func() {
		defer cancel()
		for ctx.Err() == nil {
			if err := receivePong(conn); err != nil {
				return
			}
		}
	})
	defer conn.Close()
	pings := time.NewTicker(pingInterval)
	defer pings.Stop()
	ping := outgoing{
		kind: typePing,
		message: pingMessage{
			CompressorID: r.compressor.ID(),
		},
	}
	if err := conn.Send(time.Now().Add(sendTimeout), ping.kind, ping.message); err != nil { // the first message must be short
		return
	}
	for {
		out := ping
		select {
		case <-ctx.Done():
			return
		case <-pings.C:
		case out = <-l.queue.Items():
			r.counters.sent.Inc()
		}
		if err := conn.Send(time.Now().Add(sendTimeout), out.kind, out.message); err != nil {
			return // a proposal that was only partly sent may have arrived whole, so it is not reported as refused
		}
	}
}

// receivePong reads a pong, which names the compressor whose messages the other instance can read.
func receivePong(conn *frame.Conn) error {
	received, err := conn.Receive(time.Now().Add(silenceTimeout))
	if err != nil || received.Type != typePong {
		return err
	}
	var pong pingMessage
	if err := received.Decode(&pong); err != nil {
		return err
	}
	conn.SetPeerCompressor(pong.CompressorID)
	return nil
}

func (r *Replica) acceptLoop() {
	slots := make(chan struct{}, maxIncomingConnections)
	unintroduced := frame.NewUnintroduced(maxUnintroduced)
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			if r.context.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			r.waitToRetry(r.context)
			continue
		}
		select {
		case slots <- struct{}{}:
			r.goroutines.Go(func() {
				defer func() { <-slots }()
				frames := frame.NewBulk(conn, r.compressor)
				unintroduced.Add(frames)
				defer unintroduced.Remove(frames)
				r.receiveLoop(frames, unintroduced)
			})
		default:
			_ = conn.Close()
		}
	}
}

func (r *Replica) receiveLoop(conn *frame.Conn, unintroduced *frame.Unintroduced) {
	stop := context.AfterFunc(r.context, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	conn.SetMaxReceived(maxFirstMessageBytes)
	for {
		received, err := conn.Receive(time.Now().Add(silenceTimeout))
		if err != nil {
			return
		}
		if err := r.receive(conn, received); err != nil {
			r.options.Logger.Warn().Err(err).Stringer("peer", conn.RemoteAddr()).Msg("connection closed")
			return
		}
		unintroduced.Remove(conn)
		conn.SetMaxReceived(core.MaxFrameBytes)
	}
}

func (r *Replica) receive(conn *frame.Conn, received frame.Frame) error {
	switch received.Type {
	case typePing:
		return conn.Send(time.Now().Add(sendTimeout), typePong, pingMessage{
			CompressorID: r.compressor.ID(),
		})
	case typeHello:
		var hello raft.Hello
		if err := received.Decode(&hello); err != nil {
			return err
		}
		return r.inputs.Push(r.context, input{hello: &hello})
	case typeTopic:
		var message topicMessage
		if err := received.Decode(&message); err != nil {
			return err
		}
		if r.options.Receive != nil {
			r.options.Receive(message.From, message.Topic, message.Payload)
		}
		return nil
	}
	var message raft.Message
	if err := received.Decode(&message); err != nil {
		return err
	}
	if frame.Type(message.Kind) != received.Type {
		return errors.Annotatef(frame.ErrMalformed, "message kind %d in frame type %d", message.Kind, received.Type)
	}
	return r.inputs.Push(r.context, input{event: raft.Received{Message: message}})
}
