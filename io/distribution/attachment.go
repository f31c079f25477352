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

// errGoHome ends a link to a control instance of another data centre.
const errGoHome = errors.ConstError("the own data centre has a control instance")

// attachment opens one upward link at a time and opens another when it is lost; one goroutine runs it.
type attachment struct {
	hub     *hub
	logger  zerolog.Logger
	targets atomic.Value // []string: where to start, in turn
	random  func() float64
	hello   func() hello
	accept  func(accept) error // checks the path before the link is used
	// serve uses the link until it ends.
	serve func(ctx context.Context, conn *frame.Conn, address string) error

	learned   atomic.Value // []ControlAddress: where to start, as the parent says; tried before targets
	home      core.DataCentre
	homes     []string     // control instances of the own data centre, when errGoHome ends a link
	wentHome  time.Time    // latest attempt to attach in the own data centre in place of another one
	state     atomic.Value // statechart.State
	turn      int
	queue     []string // addresses from a redirect, best first
	redirects int
	attempts  int
	wait      time.Duration
	address   string
	leftOut   map[string]time.Time // addresses that went silent or did not answer, and until when they are left out
	conn      *frame.Conn
}

func newAttachment(targets []string, a attachment) *attachment {
	a.targets.Store(targets)
	a.state.Store(attachmentChart.Initial())
	a.leftOut = make(map[string]time.Time)
	a.turn = int(a.random() * float64(len(a.allTargets())))
	return &a
}

func (a *attachment) current() statechart.State {
	return a.state.Load().(statechart.State)
}

// run interprets the chart: each state has one action, and its result is the next event.
func (a *attachment) run(ctx context.Context) {
	actions := map[statechart.State]func(context.Context) statechart.Event{
		stateDetached: a.choose,
		stateDialing:  a.dial,
		stateGreeting: a.greet,
		stateAttached: a.use,
		stateWaiting:  a.pause,
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
			panic(err) // an action returned an event that the chart does not have
		}
		a.state.Store(next)
	}
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

func (a *attachment) choose(context.Context) statechart.Event {
	maps.DeleteFunc(a.leftOut, func(_ string, until time.Time) bool { return !time.Now().Before(until) })
	a.queue = lo.Reject(a.queue, func(address string, _ int) bool { return a.isLeftOut(address) })
	if len(a.queue) > 0 {
		a.address, a.queue = a.queue[0], a.queue[1:]
		return eventDial
	}
	targets := a.allTargets()
	for range targets {
		if !a.isLeftOut(targets[a.turn%len(targets)]) {
			break
		}
		a.turn++ // all of them, if none is left
	}
	a.address = targets[a.turn%len(targets)]
	a.turn++
	a.redirects = 0
	return eventDial
}

// leaveOut keeps an address from costing another time-out: an instance that stands still accepts connections, and others that
// do not know it yet redirect to it.
func (a *attachment) leaveOut(address string, wait time.Duration) {
	a.leftOut[address] = time.Now().Add(wait)
}

func (a *attachment) isLeftOut(address string) bool {
	return time.Now().Before(a.leftOut[address])
}

// allTargets has the learned addresses and those of the settings, which may both be outdated.
func (a *attachment) allTargets() []string {
	known, _ := a.learned.Load().([]ControlAddress)
	learned := lo.Map(known, func(c ControlAddress, _ int) string { return c.Address })
	targets, _ := a.targets.Load().([]string)
	return lo.Uniq(slices.Concat(learned, targets))
}

// homeFirst sorts the control instances of a data centre to the front.
func homeFirst(controls []ControlAddress, home core.DataCentre) []ControlAddress {
	own, others := lo.FilterReject(controls, func(c ControlAddress, _ int) bool { return c.DataCentre == home })
	return append(own, others...)
}

// goHome leads a node that has attached directly to a control instance elsewhere to those of its own data centre, now and then.
func (a *attachment) goHome(message accept) (redirect, bool) {
	if a.home == "" || len(message.Path) > 0 || time.Since(a.wentHome) < homePause {
		return redirect{}, false
	}
	atHome := func(c ControlAddress) bool { return c.DataCentre == a.home }
	own := lo.Filter(message.Controls, func(c ControlAddress, _ int) bool { return atHome(c) && !a.isLeftOut(c.Address) })
	here := lo.ContainsBy(own, func(c ControlAddress) bool { return c.Address == a.address })
	if here || len(own) == 0 {
		return redirect{}, false
	}
	a.wentHome = time.Now()
	return redirect{
		Addresses: lo.Map(own, func(c ControlAddress, _ int) string { return c.Address }),
	}, true
}

func (a *attachment) dial(ctx context.Context) statechart.Event {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := a.hub.network.Dial(dialing, a.address)
	if err != nil {
		a.logger.Debug().Err(err).Str("address", a.address).Msg("dial failed")
		if isTimeout(err) { // a refusal costs no time
			a.leaveOut(a.address, unansweredFor)
		}
		a.backOff()
		return eventFailed
	}
	a.conn = frame.New(conn, a.hub.packing)
	return eventConnected
}

func (a *attachment) greet(ctx context.Context) statechart.Event {
	stop := context.AfterFunc(ctx, func() { _ = a.conn.Close() })
	defer stop()
	event, err := a.exchange()
	if err != nil {
		a.logger.Debug().Err(err).Str("address", a.address).Msg("handshake failed")
		if isTimeout(err) {
			a.leaveOut(a.address, unansweredFor)
		}
		a.backOff()
		event = eventFailed
	}
	if event != eventAccepted {
		_ = a.conn.Close()
	}
	return event
}

func (a *attachment) exchange() (statechart.Event, error) {
	greeting := a.hello()
	greeting.Packing, greeting.DataCentre = a.hub.packing.ID(), a.hub.dataCentre
	if err := a.hub.send(a.conn, helloTimeout, outgoing{
		kind:    typeHello,
		message: greeting,
	}); err != nil {
		// A parent that is short of handshakes answers without reading, so its answer may be there all the same.
		a.logger.Debug().Err(err).Msg("send hello")
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
		if home, elsewhere := a.goHome(message); elsewhere {
			return eventRedirected, a.follow(home)
		}
		a.conn.Pack(message.Packing)
		return eventAccepted, a.accept(message)
	case typeRedirect:
		var message redirect
		if err := answer.Decode(&message); err != nil {
			return "", err
		}
		return eventRedirected, a.follow(message)
	case typeRetryAfter:
		var message retryAfter
		if err := answer.Decode(&message); err != nil {
			return "", err
		}
		asked := time.Duration(min(max(message.Milliseconds, 0), maxBackoff.Milliseconds())) * time.Millisecond
		a.wait = asked + time.Duration(a.random()*float64(asked))
		return eventRetryAfter, nil
	}
	return "", errors.Errorf("unexpected answer of type %d to hello", answer.Type)
}

func (a *attachment) follow(message redirect) error {
	a.redirects++
	if a.redirects > maxRedirects || len(message.Addresses) == 0 || len(message.Addresses) > maxDirectChildren {
		a.queue = nil
		return errors.Errorf("redirect %d to %d addresses", a.redirects, len(message.Addresses))
	}
	a.queue = message.Addresses
	return nil
}

func (a *attachment) use(ctx context.Context) statechart.Event {
	began := time.Now()
	err := a.serve(ctx, a.conn, a.address)
	_ = a.conn.Close()
	if time.Since(began) >= silenceLimit {
		a.attempts = 0
	}
	a.queue = nil
	a.backOff()
	if errors.Is(err, errGoHome) {
		a.wait, a.queue = 0, a.homes
	} else if isTimeout(err) {
		a.leaveOut(a.address, lostFor)
	}
	a.logger.Info().Err(err).Str("address", a.address).Msg("link lost")
	return eventLost
}

func (a *attachment) pause(ctx context.Context) statechart.Event {
	pauseFor(ctx, a.wait)
	return eventWaitOver
}

func pauseFor(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// backOff sets a wait with full jitter: any time up to a bound that doubles once all targets have been tried, so that
// nodes that lost a parent together spread out, and still find another control instance before they are given up.
func (a *attachment) backOff() {
	bound := min(minBackoff<<min(a.attempts/len(a.allTargets()), 10), maxBackoff)
	a.attempts++
	a.wait = time.Duration(a.random() * float64(bound))
}
