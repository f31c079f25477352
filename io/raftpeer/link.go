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

// Message types beyond those of raft.Kind, which are their own frame types.
const (
	typeHello frame.Type = 100 + iota
	typePing
	typePong
	typeTopic
)

// topicMessage carries a message of another package between control instances.
type topicMessage struct {
	From    core.ControlID `msgpack:"from"`
	Topic   string         `msgpack:"topic"`
	Payload []byte         `msgpack:"payload"`
}

type outgoing struct {
	kind    frame.Type
	message any
}

// link sends to one other instance over a connection that it replaces when it fails or goes silent.
type link struct {
	address string
	queue   *ring.Ring[outgoing]
	context context.Context
	cancel  context.CancelFunc
}

// connect starts the sender of an instance, and replaces one to another address.
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
		queue:   ring.New[outgoing](sendCapacity),
	}
	l.context, l.cancel = context.WithCancel(r.context)
	r.links[id] = l
	r.running.Go(func() { r.sendLoop(l) })
}

// disconnectOthers ends the links to instances that are neither in the settings nor members nor newcomers.
func (r *Replica) disconnectOthers(members []raft.Member) {
	now := time.Now()
	r.mu.Lock()
	for id, each := range r.heard {
		if now.Sub(each.At) > introducedAge {
			delete(r.heard, id)
		}
	}
	r.mu.Unlock()
	r.linksMu.Lock()
	defer r.linksMu.Unlock()
	for id, l := range r.links {
		_, introduced := r.heard[id] // only the loop adds to it
		if introduced || r.isKnownName(id) || lo.ContainsBy(members, func(m raft.Member) bool { return m.Peer.ID == id }) {
			continue
		}
		l.cancel()
		delete(r.links, id)
	}
}

func (r *Replica) post(to core.ControlID, out outgoing) bool {
	r.linksMu.RLock()
	l := r.links[to]
	r.linksMu.RUnlock()
	if l == nil || !l.queue.TryPush(out) {
		r.counters.dropped.Inc()
		return false
	}
	return true
}

// sendRaft queues a message of the protocol; a proposal that cannot be queued was certainly not proposed.
func (r *Replica) sendRaft(m raft.Message) {
	if !r.post(m.To.ID, outgoing{
		kind:    frame.Type(m.Kind),
		message: &m,
	}) {
		r.undelivered(m)
	}
}

func (r *Replica) undelivered(m raft.Message) {
	if m.Kind == raft.KindPropose || m.Kind == raft.KindRead {
		r.requests.finish(m.Request, answer{
			refused: "the leader cannot be reached",
		})
	}
}

// Send queues a message of another package for an instance and returns false if it was dropped. Delivery is not assured.
func (r *Replica) Send(to core.ControlID, topic string, payload []byte) bool {
	return r.post(to, outgoing{
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
			r.useConnection(l, frame.NewBulk(conn, r.packing))
			_ = conn.Close()
		}
		r.discard(l)
		select {
		case <-time.After(redialPause):
		case <-l.context.Done():
		}
	}
}

// discard drops what waits for an instance that cannot be reached, since it would be outdated after the reconnect.
func (r *Replica) discard(l *link) {
	for {
		select {
		case out := <-l.queue.Items():
			r.lost(out)
		default:
			return
		}
	}
}

func (r *Replica) lost(out outgoing) {
	r.counters.dropped.Inc()
	if m, ok := out.message.(*raft.Message); ok {
		r.undelivered(*m)
	}
}

// useConnection sends until the connection fails or does not answer pings.
func (r *Replica) useConnection(l *link, conn *frame.Conn) {
	ctx, cancel := context.WithCancel(l.context)
	defer cancel()
	r.running.Go(func() {
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
	for {
		out := outgoing{
			kind: typePing,
			message: pingMessage{
				Packing: r.packing.ID(),
			},
		}
		select {
		case <-ctx.Done():
			return
		case <-pings.C:
		case out = <-l.queue.Items():
			r.counters.sent.Inc()
		}
		if err := conn.Send(time.Now().Add(sendTimeout), out.kind, out.message); err != nil {
			return // a proposal that was cut may have arrived, so it is not reported as refused
		}
	}
}

// receivePong reads an answer, which says whether the other instance reads packed messages.
func receivePong(conn *frame.Conn) error {
	received, err := conn.Receive(time.Now().Add(silenceTimeout))
	if err != nil || received.Type != typePong {
		return err
	}
	var pong pingMessage
	if err := received.Decode(&pong); err != nil {
		return err
	}
	conn.SetPeerCompressor(pong.Packing)
	return nil
}

func (r *Replica) acceptLoop() {
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			if r.context.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			r.pause(r.context)
			continue
		}
		select {
		case slots <- struct{}{}:
			r.running.Go(func() {
				defer func() { <-slots }()
				r.receiveLoop(frame.NewBulk(conn, r.packing))
			})
		default:
			_ = conn.Close()
		}
	}
}

func (r *Replica) receiveLoop(conn *frame.Conn) {
	stop := context.AfterFunc(r.context, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	for {
		received, err := conn.Receive(time.Now().Add(silenceTimeout))
		if err != nil {
			return
		}
		if err := r.receive(conn, received); err != nil {
			r.options.Logger.Warn().Err(err).Stringer("peer", conn.RemoteAddr()).Msg("connection closed")
			return
		}
	}
}

func (r *Replica) receive(conn *frame.Conn, received frame.Frame) error {
	switch received.Type {
	case typePing:
		return conn.Send(time.Now().Add(sendTimeout), typePong, pingMessage{
			Packing: r.packing.ID(),
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
