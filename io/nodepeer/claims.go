package nodepeer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/idempotency"
)

const (
	// holderTimeout bounds a request to one holder. A holder that takes longer counts as unreachable.
	holderTimeout = 500 * time.Millisecond
	// settleGracePeriod is the time after a call's deadline in which its entry node may still settle the key.
	settleGracePeriod = 2 * time.Second
	// runningPollInterval is the interval at which a resend asks whether the running call has been answered.
	runningPollInterval = 50 * time.Millisecond
	observeInterval     = time.Second
	// maxMemberships bounds the services that a node remembers having announced within idempotency.Window.
	maxMemberships = 64
	// probeTimeout bounds a probe of an unresponsive holder. It exceeds silenceTimeout, so that a silent connection is detected
	// and replaced within one probe.
	probeTimeout = 2 * time.Second
	// maxUnresponsiveHolders bounds the holders that are recorded as unresponsive. Calls wait for any others up to holderTimeout.
	maxUnresponsiveHolders = 1024
)

// errUnresponsive means that a holder missed a reply and has sent none since, or that it has handed its keys over.
const errUnresponsive = errors.ConstError("holder is unresponsive")

// keyMessage claims a key if Verdict is empty, settles it if Verdict is set, or carries a handover.
type keyMessage struct {
	Token       uint64                      `msgpack:"token"`
	Key         idempotency.Key             `msgpack:"key"`
	Owner       core.CallID                 `msgpack:"owner"`
	Content     idempotency.Fingerprint     `msgpack:"content"`
	RemainingUS int64                       `msgpack:"remaining-us"`
	Verdict     idempotency.Verdict         `msgpack:"verdict"`
	Answer      *idempotency.RecordedAnswer `msgpack:"answer"`
	Handover    *handoverRequest            `msgpack:"custody"`
	WantAges    bool                        `msgpack:"want-ages"` // the sender has just started and asks for Ages in the reply
}

// keyReply replies to a keyMessage. Its memberships are those of the holder for the key's service.
type keyReply struct {
	Token        uint64                      `msgpack:"token"`
	MembershipUS int64                       `msgpack:"member-us"` // how long the holder has been a node of the service
	RunUS        int64                       `msgpack:"run-us"`    // how long of that in its current run
	Verdict      idempotency.Verdict         `msgpack:"verdict"`
	Answer       *idempotency.RecordedAnswer `msgpack:"answer"`
	HandedOver   bool                        `msgpack:"left"` // the holder has handed its keys over and grants no more claims
	Handover     *handoverReply              `msgpack:"custody"`

	Ages map[core.NodeID]time.Duration `msgpack:"ages"` // how long the holder has known each of the key's holders
}

// membership is the time in which this node has announced a service. It is kept for idempotency.Window after the node has left
// the service, because other nodes claim keys from it until then.
type membership struct {
	since    time.Time
	runSince time.Time // start in the current run; later than since if the keys of a previous run were restored
	leftAt   time.Time // zero while the node announces the service
}

// SetAnnounced records whether this node announces a service, and so holds its idempotency keys. Without it, other nodes treat
// this one as a node that has just joined.
func (s *Server) SetAnnounced(service core.ServiceName, present bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, m := range s.memberships {
		if !m.leftAt.IsZero() && now.Sub(m.leftAt) > idempotency.Window {
			delete(s.memberships, name)
		}
	}
	m, known := s.memberships[service]
	switch {
	case present && known:
		m.leftAt = time.Time{}
	case present && len(s.memberships) < maxMemberships:
		m.since, m.runSince = now, now
	case known && m.leftAt.IsZero():
		m.leftAt = now
	default:
		return
	}
	s.memberships[service] = m
}

// membershipAges returns how long the node has been a node of the service, in total and in its current run. s.mu must be held.
func (s *Server) membershipAges(now time.Time, service core.ServiceName) (membershipAge, runAge time.Duration) {
	m, known := s.memberships[service]
	if !known || (!m.leftAt.IsZero() && now.Sub(m.leftAt) > idempotency.Window) {
		return 0, 0
	}
	return now.Sub(m.since), now.Sub(m.runSince)
}

// handleKey handles a claim, a settlement or a handover on the holder's side.
func (s *Server) handleKey(message keyMessage) keyReply {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if message.Handover != nil {
		return keyReply{
			Token:    message.Token,
			Handover: s.snapshots.handle(now, message.Handover, s.leaving),
		}
	}
	if s.handedOver {
		return keyReply{
			Token:      message.Token,
			HandedOver: true,
		}
	}
	membershipAge, runAge := s.membershipAges(now, message.Key.Service)
	reply := keyReply{
		Token:        message.Token,
		MembershipUS: membershipAge.Microseconds(),
		RunUS:        runAge.Microseconds(),
	}
	if message.Verdict != "" {
		s.keys.Settle(now, message.Key, message.Owner, message.Verdict, message.Answer)
		return reply
	}
	until := now.Add(time.Duration(message.RemainingUS) * time.Microsecond).Add(settleGracePeriod)
	reply.Verdict, reply.Answer = s.keys.Claim(now, message.Key, message.Owner, message.Content, until)
	return reply
}

func (c *serverConn) handleKey(message keyMessage) error {
	reply := c.server.handleKey(message)
	if message.WantAges {
		reply.Ages = c.server.holderAges(message.Key)
	}
	c.send(typeKeyReply, reply)
	return nil
}

// ClaimsOptions configures Claims. Server, Dialer, Endpoints and Services are required.
type ClaimsOptions struct {
	// Self is the ID of this node.
	Self core.NodeID
	// Incarnation increases with each start of the node.
	Incarnation core.Incarnation
	// Server holds this node's own keys.
	Server *Server
	// Dialer connects to the other holders.
	Dialer *Dialer
	// Endpoints lists the nodes that may hold keys of a service.
	Endpoints core.EndpointSource
	// Services returns the services whose endpoints are observed.
	Services func() []core.ServiceName
	// ServiceSince returns a time before which no call of the service can have been made. It may be nil. Without such a time, keyed
	// calls are answered with unknown until some node has announced the service for idempotency.Window.
	ServiceSince func(core.ServiceName) (time.Time, bool)
	// Metrics gets the metrics of claims. If it is nil, a private set is used.
	Metrics *metrics.Set
}

// Claims claims and settles idempotency keys at their holders.
type Claims struct {
	options ClaimsOptions
	granted *metrics.Counter
	denied  *metrics.Counter

	started time.Time

	mu           sync.Mutex
	holders      *idempotency.Holders
	pending      map[core.CallID][]core.Endpoint // the holders asked for each call whose claim has not been settled
	unresponsive map[string]time.Time            // time of the first missed reply, by the address of the holder
}

// NewClaims starts to observe the endpoints of all services, to probe unresponsive holders and to fetch the keys of the node's
// previous run. The cleanup function ends these tasks.
func NewClaims(options ClaimsOptions) (*Claims, func(), error) {
	if options.Server == nil || options.Dialer == nil || options.Endpoints == nil || options.Services == nil {
		return nil, nil, errors.New("server, dialer, endpoints and services must be set")
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	c := &Claims{
		options:      options,
		granted:      options.Metrics.GetOrCreateCounter(`parsleyport_key_claims_total{verdict="granted"}`),
		denied:       options.Metrics.GetOrCreateCounter(`parsleyport_key_claims_total{verdict="denied"}`),
		started:      time.Now(),
		holders:      idempotency.NewHolders(),
		pending:      make(map[core.CallID][]core.Endpoint),
		unresponsive: make(map[string]time.Time),
	}
	options.Server.setHolderAgesFunc(c.holderAges)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { c.observeLoop(ctx) })
	tasks.Go(func() { c.probeLoop(ctx) })
	tasks.Go(func() { c.restoreSnapshot(ctx) })
	return c, func() { cancel(); tasks.Wait() }, nil
}

func (c *Claims) observeLoop(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		for _, service := range c.options.Services() {
			c.observeService(service)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Claims) observeService(service core.ServiceName) {
	endpoints := c.options.Endpoints.Endpoints(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders.Observe(time.Now(), service, endpoints)
}

// Claim returns VerdictGranted if the call may run. While a call with the same key is running, it waits and asks again, until
// the context ends and it returns VerdictUnknown.
func (c *Claims) Claim(ctx context.Context, call *core.Call) (idempotency.Verdict, *idempotency.RecordedAnswer) {
	c.observeService(call.Service)
	for {
		verdict, answer := c.claimOnce(ctx, call)
		switch verdict {
		case idempotency.VerdictGranted:
			c.granted.Inc()
			return verdict, nil
		case idempotency.VerdictRunning:
		default:
			c.denied.Inc()
			return verdict, answer
		}
		select {
		case <-time.After(runningPollInterval):
		case <-ctx.Done():
			c.denied.Inc()
			return idempotency.VerdictUnknown, nil
		}
	}
}

// claimOnce asks the holders one after another in their order, so that of two concurrent calls with one key only one is granted.
func (c *Claims) claimOnce(ctx context.Context, call *core.Call) (idempotency.Verdict, *idempotency.RecordedAnswer) {
	message := keyMessage{
		Key:         idempotency.KeyOf(call),
		Owner:       call.ID,
		Content:     idempotency.ContentFingerprintOf(call),
		RemainingUS: time.Until(call.Deadline).Microseconds(),
	}
	message.WantAges = time.Since(c.started) < idempotency.Window+idempotency.JoinLag
	holders := c.holdersOf(message.Key)
	var asked []holderReply
	var replies []idempotency.Reply
	for i := 0; i < len(holders) && !idempotency.IsDecided(replies); i++ {
		asked = append(asked, c.claimFrom(ctx, holders[i], message))
		if ages := asked[i].Ages; len(ages) > 0 {
			holders = c.mergeAges(message.Key, holders, ages)
		}
		replies = lo.Map(asked, func(r holderReply, at int) idempotency.Reply { return c.interpret(r, holders[at], call.Service) })
	}
	verdict, answer := idempotency.DecideClaim(replies)
	c.mu.Lock()
	c.pending[call.ID] = lo.Map(holders[:len(asked)], func(h idempotency.Holder, _ int) core.Endpoint { return h.Endpoint })
	c.mu.Unlock()
	if verdict != idempotency.VerdictGranted {
		c.Settle(ctx, call, idempotency.VerdictGranted, nil) // releases the key where it was granted
	}
	return verdict, answer
}

func (c *Claims) holdersOf(key idempotency.Key) []idempotency.Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders.Choose(time.Now(), key)
}

func (c *Claims) serviceSince(service core.ServiceName) (time.Time, bool) {
	if c.options.ServiceSince == nil {
		return time.Time{}, false
	}
	return c.options.ServiceSince(service)
}

func (c *Claims) ask(ctx context.Context, holder core.Endpoint, message keyMessage) (keyReply, error) {
	if holder.Node == c.options.Self {
		reply := c.options.Server.handleKey(message)
		if reply.HandedOver {
			return keyReply{}, errUnresponsive
		}
		return reply, nil
	}
	if c.isUnresponsive(holder.Address) {
		return keyReply{}, errUnresponsive
	}
	return c.askRemote(ctx, holder.Address, message, holderTimeout)
}

func (c *Claims) askRemote(ctx context.Context, address string, message keyMessage, timeout time.Duration) (keyReply, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply keyReply
	err := retryUnsent(func() error {
		conn, err := c.options.Dialer.connectionAfter(limited, address, 0)
		if err == nil {
			reply, err = conn.askKey(limited, message)
		}
		return err
	})
	switch {
	case err == nil:
		if reply.Verdict == idempotency.VerdictAnswered && !isAnswer(reply.Answer) {
			reply.Verdict, reply.Answer = idempotency.VerdictUnknown, nil
		}
		c.setUnresponsive(address, reply.HandedOver) // a holder that has handed its keys over is about to stop
		if reply.HandedOver {
			err = errUnresponsive
		}
	case ctx.Err() == nil: // the request failed although the call has not ended
		c.setUnresponsive(address, true)
	}
	return reply, err
}

// isAnswer reports whether another node's record of an answer can be written to a caller.
func isAnswer(recorded *idempotency.RecordedAnswer) bool {
	return recorded != nil && recorded.Status >= http.StatusOK && recorded.Status <= maxStatus
}

func (c *Claims) isUnresponsive(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, unresponsive := c.unresponsive[address]
	return unresponsive
}

// setUnresponsive records whether a holder is unresponsive, and since when.
func (c *Claims) setUnresponsive(address string, unresponsive bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !unresponsive {
		delete(c.unresponsive, address)
	} else if since, known := c.unresponsive[address]; !known && len(c.unresponsive) < maxUnresponsiveHolders {
		c.unresponsive[address] = time.Now()
	} else if known && time.Since(since) > idempotency.Window {
		delete(c.unresponsive, address) // after idempotency.Window it is no longer a holder
	}
}

func (c *Claims) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.probeUnresponsive(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// probeUnresponsive probes the holders that missed a reply, so that no call has to wait to find out whether they reply again.
func (c *Claims) probeUnresponsive(ctx context.Context) {
	c.mu.Lock()
	addresses := lo.Keys(c.unresponsive)
	c.mu.Unlock()
	var asked sync.WaitGroup
	for _, address := range addresses {
		asked.Go(func() {
			probe := keyMessage{Verdict: idempotency.VerdictUnknown} // settles a key that no call has claimed
			_, _ = c.askRemote(ctx, address, probe, probeTimeout)
		})
	}
	asked.Wait()
}

// Settle records the outcome of a call at the holders that were asked: VerdictAnswered with the answer, VerdictUnknown, or
// VerdictGranted if the call has not run.
func (c *Claims) Settle(ctx context.Context, call *core.Call, verdict idempotency.Verdict, answer *idempotency.RecordedAnswer) {
	message := keyMessage{
		Key:     idempotency.KeyOf(call),
		Owner:   call.ID,
		Verdict: verdict,
		Answer:  answer,
	}
	c.mu.Lock()
	holders := c.pending[call.ID]
	delete(c.pending, call.ID)
	c.mu.Unlock()
	for _, holder := range holders {
		_, _ = c.ask(ctx, holder, message) // a holder that misses the settlement answers resends with unknown
	}
}
