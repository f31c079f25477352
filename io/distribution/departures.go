package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/io/frame"
)

const (
	// departTimeout bounds a request at one control instance: the time of a proposal, without an election.
	departTimeout = 700 * time.Millisecond
	// departStagger is the silence of a control instance after which the next one is asked too.
	departStagger = 200 * time.Millisecond
	// maxDeparts limits the requests that a control instance works on; the nodes of further ones ask again.
	maxDeparts = 128
)

// departRequest opens a connection to a control instance that carries nothing else: a link may go through relays, and would need
// routes for the answers. Without runs it only asks for those that are stored.
type departRequest struct {
	Node core.NodeID  `msgpack:"node"`
	Runs []core.RunID `msgpack:"runs,omitempty"`
}

// departures answers a departRequest. A control instance that could not store or confirm the runs closes the connection instead.
type departures struct {
	Runs []core.RunID `msgpack:"runs"`
}

// answerDepart answers the request at the start of a connection. Relays do not answer it.
func (h *hub) answerDepart(ctx context.Context, conn *frame.Conn, first frame.Frame) {
	select {
	case h.departSlots <- struct{}{}:
		defer func() { <-h.departSlots }()
	default:
		return
	}
	var request departRequest
	if err := first.Decode(&request); err != nil || h.departureLog == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	runs, err := h.departureLog.Depart(ctx, request.Node, request.Runs)
	if err != nil {
		h.logger.Info().Err(err).Str("event", "departures-not-stored").Str("node", string(request.Node)).Int("runs", len(request.Runs)).
			Msg("departures not stored")
		return
	}
	_ = h.send(conn, helloTimeout, outgoing{ // the node asks again if the answer is lost
		kind: typeDepartures,
		message: departures{
			Runs: runs,
		},
	})
}

// Depart implements core.DepartureLog at the control instances. It asks the one that the node is attached to first, and the next one
// whenever one fails or is silent; the first answer wins, since a run that is stored twice counts once.
func (s *Subscriber) Depart(ctx context.Context, node core.NodeID, runs []core.RunID) ([]core.RunID, error) {
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	type result struct {
		runs []core.RunID
		err  error
	}
	targets := s.departTargets()
	results := make(chan result, len(targets))
	request := departRequest{
		Node: node,
		Runs: runs,
	}
	next, pending, lastErr := 0, 0, error(nil)
	ask := func() {
		address := targets[next]
		next, pending = next+1, pending+1
		s.hub.start(func() {
			stored, err := s.departAt(ctx, address, request)
			results <- result{
				runs: stored,
				err:  errors.Annotatef(err, "control instance at %s", address),
			}
		})
	}
	stagger := time.NewTicker(departStagger)
	defer stagger.Stop()
	for ask(); pending > 0; {
		select {
		case answer := <-results:
			if answer.err == nil {
				return answer.runs, nil
			}
			pending, lastErr = pending-1, answer.err
		case <-stagger.C:
		case <-ctx.Done():
			return nil, errors.Annotate(core.ErrOutcomeUnknown, ctx.Err().Error())
		}
		if next < len(targets) && ctx.Err() == nil {
			ask()
		}
	}
	return nil, errors.Annotate(core.ErrOutcomeUnknown, lastErr.Error())
}

// departTargets returns the addresses of the control instances, the one that this node is attached to first.
func (s *Subscriber) departTargets() []string {
	s.hub.mu.Lock()
	parent, isRelay := s.parent, len(s.hub.path) > 0
	s.hub.mu.Unlock()
	targets := s.attachment.allTargets()
	if parent == "" || isRelay {
		return targets
	}
	return lo.Uniq(slices.Insert(targets, 0, parent))
}

func (s *Subscriber) departAt(ctx context.Context, address string, request departRequest) ([]core.RunID, error) {
	dialed, err := s.hub.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := frame.New(dialed, nil)
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := s.hub.send(conn, departTimeout, outgoing{
		kind:    typeDepart,
		message: request,
	}); err != nil {
		return nil, err
	}
	received, err := s.hub.receive(conn, departTimeout)
	if err != nil {
		return nil, err
	}
	if received.Type != typeDepartures {
		return nil, errors.Errorf("answer of type %d to a report of departures", received.Type)
	}
	var answer departures
	if err := received.Decode(&answer); err != nil {
		return nil, err
	}
	return answer.Runs, nil
}
