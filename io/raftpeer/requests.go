package raftpeer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/raft"
)

// answer is the result of a request, or the reason of its refusal.
type answer struct {
	result  []byte
	refusal string
}

// requests holds this process's proposals, reads and membership changes that wait for an answer.
type requests struct {
	mu       sync.Mutex
	run      uint64 // random number of this run of the process, so that answers to requests of other runs are ignored
	sequence uint64
	pending  map[raft.RequestID]chan answer
}

func newRequests(run uint64) *requests {
	return &requests{
		run:     run,
		pending: make(map[raft.RequestID]chan answer),
	}
}

// add registers a request. It returns false if too many requests are waiting.
func (r *requests) add() (raft.RequestID, chan answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) >= maxOutstandingRequests {
		return raft.RequestID{}, nil, false
	}
	r.sequence++
	id := raft.RequestID{
		Run:      r.run,
		Sequence: r.sequence,
	}
	answered := make(chan answer, 1)
	r.pending[id] = answered
	return id, answered, true
}

func (r *requests) remove(id raft.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, id)
}

func (r *requests) finish(id raft.RequestID, a answer) {
	if id.Run != r.run {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered, exists := r.pending[id]; exists {
		delete(r.pending, id)
		answered <- a
	}
}

func withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, limited := ctx.Deadline(); limited {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultRequestTimeout)
}

// Propose implements core.Replicator.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, errors.NotValidf("command of %d bytes (at most %d)", len(command), MaxCommandBytes)
	}
	r.counters.proposals.Inc()
	return r.propose(ctx, raft.Proposed{
		Command: command,
	}, true)
}

// Change commits a membership change; a promotion waits until the learner has caught up. An empty identity means the
// member's current one or, for an added or replaced instance, the one in its last introduction. It returns ErrNoLeader,
// raft.ErrTransient, ErrOutcomeUnknown or the reason of the refusal.
func (r *Replica) Change(ctx context.Context, change raft.Change) error {
	if change.Peer.Identity == "" {
		change.Peer.Identity = r.identityFor(change)
	}
	if change.Peer.Identity == "" {
		return errors.NotFoundf("identity of instance %q", change.Peer.ID)
	}
	_, err := r.propose(ctx, raft.Proposed{
		Change: &change,
	}, false)
	return err
}

// propose repeats refused requests until one is appended. A refused request was not appended, so a retry cannot duplicate it.
func (r *Replica) propose(ctx context.Context, proposed raft.Proposed, retry bool) ([]byte, error) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	for {
		a, err := r.attempt(ctx, func(id raft.RequestID) raft.Event {
			proposed.Request = id
			return proposed
		})
		if err != nil {
			return nil, err
		}
		if a.refusal == "" {
			return a.result, nil
		}
		if !retry && r.Status().Leader != "" {
			return nil, raft.RefusalError(a.refusal)
		}
		if !r.waitToRetry(ctx) {
			return nil, errors.Annotate(core.ErrNoLeader, a.refusal)
		}
	}
}

// attempt queues one event for the loop and waits for its answer.
func (r *Replica) attempt(ctx context.Context, event func(raft.RequestID) raft.Event) (answer, error) {
	id, answered, accepted := r.requests.add()
	if !accepted {
		r.counters.refused.Inc()
		return answer{
			refusal: "too many requests are outstanding",
		}, nil
	}
	defer r.requests.remove(id)
	select {
	case <-r.loopEnded:
		return answer{}, errors.Annotate(core.ErrNoLeader, "replica has stopped")
	default:
	}
	if err := r.inputs.Push(ctx, input{event: event(id)}); err != nil {
		return answer{}, errors.Annotate(core.ErrNoLeader, err.Error())
	}
	return r.awaitAnswer(ctx, answered)
}

// awaitAnswer returns early if the leader has changed and the new one has not committed the request for a while, so that the
// client can ask again before its deadline.
func (r *Replica) awaitAnswer(ctx context.Context, answered <-chan answer) (answer, error) {
	term, pollsWithNewLeader := r.Status().Term, 0
	poll := time.NewTicker(leaderPollInterval)
	defer poll.Stop()
	for {
		select {
		case a := <-answered:
			return a, nil
		case <-ctx.Done():
			return answer{}, errors.Annotate(core.ErrOutcomeUnknown, ctx.Err().Error())
		case <-r.loopEnded:
			return answer{}, errors.Annotate(core.ErrOutcomeUnknown, "replica has stopped")
		case <-poll.C:
			if status := r.Status(); status.Term > term && status.Leader != "" {
				pollsWithNewLeader++
			}
			if pollsWithNewLeader > 2 {
				return answer{}, errors.Annotate(core.ErrOutcomeUnknown, "the leader has changed")
			}
		}
	}
}

func (r *Replica) waitToRetry(ctx context.Context) bool {
	select {
	case <-time.After(retryDelay):
		return true
	case <-ctx.Done():
		return false
	case <-r.loopEnded:
		return false
	}
}

// ConfirmRead implements core.Replicator.
func (r *Replica) ConfirmRead(ctx context.Context) error {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	r.counters.reads.Inc()
	for {
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, readAttemptTimeout)
		a, err := r.attempt(attemptCtx, func(id raft.RequestID) raft.Event {
			return raft.ReadRequested{
				Request: id,
			}
		})
		cancelAttempt()
		if err == nil && a.refusal == "" {
			return nil
		}
		if !r.waitToRetry(ctx) {
			return errors.Annotate(core.ErrNoLeader, "read is not confirmed")
		}
	}
}

// HandOver transfers the leadership, if this instance has it, to the most up-to-date voter, and returns once another instance
// leads. It returns ErrNoLeader if the context ends first, and nil at once if this instance is the only voter.
func (r *Replica) HandOver(ctx context.Context) error {
	if r.Status().Role != string(raft.Leader) || len(r.Status().Voters) < 2 {
		return nil
	}
	for {
		status := r.Status()
		if status.Leader != "" && status.Leader != status.Self {
			return nil
		}
		if status.Role == string(raft.Leader) { // the node ignores this while a transfer is in progress
			_ = r.inputs.Push(ctx, input{event: raft.HandOverRequested{}})
		}
		if !r.waitToRetry(ctx) {
			return errors.Annotate(core.ErrNoLeader, "no other instance leads")
		}
	}
}
