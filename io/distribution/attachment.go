package distribution

import (
	"context"
	_ "embed"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/statechart"
	"parsleyport/io/frame"
)

//go:embed attachment.chart.json
var attachmentSource []byte

var attachmentChart = statechart.MustLoad(attachmentSource)

// The states and events of the attachment chart.
const (
	stateDetached statechart.State = "detached"
	stateDialing  statechart.State = "dialing"
	stateGreeting statechart.State = "greeting"
	stateAttached statechart.State = "attached"
	stateWaiting  statechart.State = "waiting"

	eventDial       statechart.Event = "dial"
	eventConnected  statechart.Event = "connected"
	eventFailed     statechart.Event = "failed"
	eventAccepted   statechart.Event = "accepted"
	eventRedirected statechart.Event = "redirected"
	eventRetryAfter statechart.Event = "retry-after"
	eventLost       statechart.Event = "lost"
	eventWaitOver   statechart.Event = "wait-over"
	eventStop       statechart.Event = "stop"
)

// errLocalControlAvailable closes a link to a control instance of another data centre.
const errLocalControlAvailable = errors.ConstError("a control instance in the node's own data centre is available")

// attachment keeps one link to a parent open and replaces it when it is lost; a single goroutine runs it.
type attachment struct {
	hub     *hub
	logger  zerolog.Logger
	targets atomic.Value // []string: addresses of control instances, tried in turn
	random  func() float64
	hello   func() hello
	accept  func(accept) error // checks the parent's path before the link is used
	// serve runs the link until it ends.
	serve func(ctx context.Context, conn *frame.Conn, address string) error

	learnedTargets   atomic.Value // []ControlAddress: addresses sent by the parent, tried before targets
	localDataCentre  core.DataCentre
	localAddresses   []string      // control instances of the own data centre to try after errLocalControlAvailable
	lastLocalAttempt time.Time     // when the node last left another data centre to attach in its own
	state            atomic.Value  // statechart.State
	nextTarget       int           // index in allTargets, modulo its length
	redirectQueue    []string      // addresses of the latest redirect, least loaded first
	redirects        int           // followed since the last dial of a target
	attempts         int           // waits since the last link that lasted for linkTimeout; they determine the backoff
	wait             time.Duration // before the next dial
	address          string
	excludedUntil    map[string]time.Time // by address: the end of the exclusion after a timeout
	conn             *frame.Conn
}

func newAttachment(targets []string, a attachment) *attachment {
	a.targets.Store(targets)
	a.state.Store(attachmentChart.Initial())
	a.excludedUntil = make(map[string]time.Time)
	a.nextTarget = int(a.random() * float64(len(a.allTargets())))
	return &a
}

func (a *attachment) current() statechart.State {
	return a.state.Load().(statechart.State)
}

// run executes the state chart: each state has one action, which returns the next event.
func (a *attachment) run(ctx context.Context) {
	actions := map[statechart.State]func(context.Context) statechart.Event{
		stateDetached: a.chooseAddress,
		stateDialing:  a.dial,
		stateGreeting: a.handshake,
		stateAttached: a.runLink,
		stateWaiting:  a.waitBackoff,
	}
	for !attachmentChart.IsFinal(a.current()) {
		event := eventStop
		if ctx.Err() == nil {
			event = actions[a.current()](ctx)
		}
		if ctx.Err() != nil {
			event = eventStop
		}
		next, err := attachmentChart.Next(a.current(), event)
		if err != nil {
			panic(err) // an action returned an event that its state does not handle
		}
		a.state.Store(next)
	}
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

func (a *attachment) chooseAddress(context.Context) statechart.Event {
	maps.DeleteFunc(a.excludedUntil, func(_ string, until time.Time) bool { return !time.Now().Before(until) })
	a.redirectQueue = lo.Reject(a.redirectQueue, func(address string, _ int) bool { return a.isExcluded(address) })
	if len(a.redirectQueue) > 0 {
		a.address, a.redirectQueue = a.redirectQueue[0], a.redirectQueue[1:]
		return eventDial
	}
	targets := a.allTargets()
	for range targets {
		if !a.isExcluded(targets[a.nextTarget%len(targets)]) {
			break
		}
		a.nextTarget++ // if all are excluded, this ends where it began
	}
	a.address = targets[a.nextTarget%len(targets)]
	a.nextTarget++
	a.redirects = 0
	return eventDial
}

// exclude prevents further timeouts at an address: a process that hangs accepts connections, and nodes that have not noticed yet
// redirect to it.
func (a *attachment) exclude(address string, wait time.Duration) {
	a.excludedUntil[address] = time.Now().Add(wait)
}

func (a *attachment) isExcluded(address string) bool {
	return time.Now().Before(a.excludedUntil[address])
}

// allTargets returns the learned addresses followed by those of the settings; either list may be outdated.
func (a *attachment) allTargets() []string {
	known, _ := a.learnedTargets.Load().([]ControlAddress)
	learned := lo.Map(known, func(c ControlAddress, _ int) string { return c.Address })
	targets, _ := a.targets.Load().([]string)
	return lo.Uniq(slices.Concat(learned, targets))
}

// localFirst moves the control instances of the given data centre to the front.
func localFirst(controls []ControlAddress, localDataCentre core.DataCentre) []ControlAddress {
	local, others := lo.FilterReject(controls, func(c ControlAddress, _ int) bool { return c.DataCentre == localDataCentre })
	return append(local, others...)
}

// redirectToLocal redirects a node that is attached directly to a control instance of another data centre to those of its own, at
// most once every localRetryInterval.
func (a *attachment) redirectToLocal(message accept) (redirect, bool) {
	if a.localDataCentre == "" || len(message.Path) > 0 || time.Since(a.lastLocalAttempt) < localRetryInterval {
		return redirect{}, false
	}
	isLocal := func(c ControlAddress) bool { return c.DataCentre == a.localDataCentre }
	localControls := lo.Filter(message.Controls, func(c ControlAddress, _ int) bool { return isLocal(c) && !a.isExcluded(c.Address) })
	alreadyLocal := lo.ContainsBy(localControls, func(c ControlAddress) bool { return c.Address == a.address })
	if alreadyLocal || len(localControls) == 0 {
		return redirect{}, false
	}
	a.lastLocalAttempt = time.Now()
	return redirect{
		Addresses: lo.Map(localControls, func(c ControlAddress, _ int) string { return c.Address }),
	}, true
}

func (a *attachment) dial(ctx context.Context) statechart.Event {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := a.hub.network.Dial(dialing, a.address)
	if err != nil {
		a.logger.Debug().Err(err).Str("address", a.address).Msg("dial failed")
		if isTimeout(err) { // a refused connection fails at once and needs no exclusion
			a.exclude(a.address, handshakeTimeoutExclusion)
		}
		a.backOff()
		return eventFailed
	}
	a.conn = frame.New(conn, a.hub.compressor)
	return eventConnected
}

func (a *attachment) handshake(ctx context.Context) statechart.Event {
	stop := context.AfterFunc(ctx, func() { _ = a.conn.Close() })
	defer stop()
	event, err := a.exchangeHello()
	if err != nil {
		a.logger.Debug().Err(err).Str("address", a.address).Msg("handshake failed")
		if isTimeout(err) {
			a.exclude(a.address, handshakeTimeoutExclusion)
		}
		a.backOff()
		event = eventFailed
	}
	if event != eventAccepted {
		_ = a.conn.Close()
	}
	return event
}

func (a *attachment) exchangeHello() (statechart.Event, error) {
	greeting := a.hello()
	greeting.Compressor, greeting.DataCentre = a.hub.compressor.ID(), a.hub.dataCentre
	if err := a.hub.send(a.conn, helloTimeout, outgoing{
		kind:    typeHello,
		message: greeting,
	}); err != nil {
		// A parent without a free handshake slot answers and closes without reading, so its answer may have arrived all the same.
		a.logger.Debug().Err(err).Msg("sending hello failed")
	}
	answer, err := a.hub.receive(a.conn, helloTimeout)
	if err != nil {
		return "", err
	}
	switch answer.Type {
	case typeAccept:
		var message accept
		if err := answer.Decode(&message); err != nil {
			return "", err
		}
		if local, redirected := a.redirectToLocal(message); redirected {
			return eventRedirected, a.followRedirect(local)
		}
		a.conn.SetPeerCompressor(message.Compressor)
		return eventAccepted, a.accept(message)
	case typeRedirect:
		var message redirect
		if err := answer.Decode(&message); err != nil {
			return "", err
		}
		return eventRedirected, a.followRedirect(message)
	case typeRetryAfter:
		var message retryAfter
		if err := answer.Decode(&message); err != nil {
			return "", err
		}
		requested := time.Duration(min(max(message.Milliseconds, 0), maxBackoff.Milliseconds())) * time.Millisecond
		a.wait = requested + time.Duration(a.random()*float64(requested))
		return eventRetryAfter, nil
	}
	return "", errors.Errorf("unexpected answer of type %d to hello", answer.Type)
}

func (a *attachment) followRedirect(message redirect) error {
	a.redirects++
	if a.redirects > maxRedirects || len(message.Addresses) == 0 || len(message.Addresses) > maxDirectChildren {
		a.redirectQueue = nil
		return errors.Errorf("redirect %d lists %d addresses: too many redirects or a bad number of addresses", a.redirects, len(message.Addresses))
	}
	a.redirectQueue = message.Addresses
	return nil
}

func (a *attachment) runLink(ctx context.Context) statechart.Event {
	began := time.Now()
	err := a.serve(ctx, a.conn, a.address)
	_ = a.conn.Close()
	if time.Since(began) >= linkTimeout {
		a.attempts = 0
	}
	a.redirectQueue = nil
	a.backOff()
	if errors.Is(err, errLocalControlAvailable) {
		a.wait, a.redirectQueue = 0, a.localAddresses
	} else if isTimeout(err) {
		a.exclude(a.address, linkTimeoutExclusion)
	}
	a.logger.Info().Err(err).Str("address", a.address).Msg("link lost")
	return eventLost
}

func (a *attachment) waitBackoff(ctx context.Context) statechart.Event {
	sleepContext(ctx, a.wait)
	return eventWaitOver
}

func sleepContext(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// backOff sets a wait with full jitter: a random time up to a bound that doubles once all targets have been tried. Nodes that
// lost a parent together spread out and still find another control instance before their endpoints are removed.
func (a *attachment) backOff() {
	bound := min(minBackoff<<min(a.attempts/len(a.allTargets()), 10), maxBackoff)
	a.attempts++
	a.wait = time.Duration(a.random() * float64(bound))
}
