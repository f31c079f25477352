package raftpeer

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
	"parsleyport/core/ring"
	"parsleyport/io/disk"
	"parsleyport/io/frame"
)

// input is one item of the loop's queue.
type input struct {
	event       raft.Event
	hello       *raft.Hello
	introduceTo []Member
}

// Replica is a control instance's replica of the log. It implements core.Replicator.
type Replica struct {
	compressor *frame.Compressor
	options    Options
	counters   counters
	engine     *engine
	applier    *applier
	random     *rand.Rand // used by the loop only
	requests   *requests

	inputs          *ring.Ring[input]
	applyQueue      *ring.Ring[stepResult]
	storedSnapshots *ring.Ring[raft.Snapshot]

	links            map[core.ControlID]*link // used by the loop and by Send
	linksMu          sync.RWMutex
	mu               sync.Mutex // guards introductions
	introductions    map[core.ControlID]Introduction
	learnedAddresses map[core.ControlID]string // used by the loop only; addresses of members named by other instances

	introducedAt  time.Time  // used by the loop only
	pendingResult stepResult // used by the loop only; not yet passed to the applier

	status  atomic.Pointer[core.ReplicatorStatus]
	members atomic.Pointer[[]raft.Member]
	applied atomic.Uint64

	listener   net.Listener
	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	loopEnded  chan struct{} // closed when the loop has ended
	failed     chan error
}

var _ core.Replicator = (*Replica)(nil)

// New opens the data folder, restores the state machine and starts the replica. The returned function stops the replica and
// closes the folder. It returns disk.ErrCorrupt if the folder is damaged.
func New(options Options, machine core.StateMachine) (*Replica, func(), error) {
	if err := options.check(); err != nil {
		return nil, nil, err
	}
	folder := options.Folder
	if folder == nil {
		var err error
		if folder, err = disk.OpenFolder(options.DataFolder); err != nil {
			return nil, nil, errors.Trace(err)
		}
	}
	r := newReplica(options)
	if err := r.open(folder, machine); err != nil {
		r.cancel()
		_ = folder.Close()
		return nil, nil, err
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		r.cancel()
		_ = r.engine.store.Close()
		return nil, nil, errors.Annotate(err, "listen for control instances")
	}
	r.listener = listener
	r.start()
	return r, r.close, nil
}

func newReplica(options Options) *Replica {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{
		options:          options,
		random:           rand.New(rand.NewPCG(randomNumber(), randomNumber())),
		requests:         newRequests(randomNumber()),
		inputs:           ring.New[input](inputCapacity),
		applyQueue:       ring.New[stepResult](applyCapacity),
		storedSnapshots:  ring.New[raft.Snapshot](applyCapacity),
		links:            make(map[core.ControlID]*link),
		introductions:    make(map[core.ControlID]Introduction),
		learnedAddresses: make(map[core.ControlID]string),
		context:          ctx,
		cancel:           cancel,
		loopEnded:        make(chan struct{}),
		failed:           make(chan error, 1),
	}
	r.options.Logger = options.Logger.With().Str("instance", string(options.Self)).Logger()
	r.status.Store(&core.ReplicatorStatus{
		Self: options.Self,
		Role: string(raft.Learner),
	})
	r.members.Store(&[]raft.Member{})
	r.counters = newCounters(options.Metrics, r)
	return r
}

func (r *Replica) open(folder disk.Folder, machine core.StateMachine) error {
	var err error
	if r.compressor, err = newCompressor(); err != nil {
		return err
	}
	if r.engine, err = openEngine(time.Now(), folder, &r.options, r.random, newIdentity, r.sendRaft); err != nil {
		return err
	}
	r.applier, err = newApplier(r.engine.store, machine, r.engine.restored.Snapshot, func(id raft.RequestID, result []byte) {
		r.requests.finish(id, answer{
			result: result,
		})
	})
	if err != nil {
		return err
	}
	r.applied.Store(uint64(r.applier.applied))
	r.publishStatus()
	return nil
}

func (r *Replica) start() {
	r.options.Logger.Info().
		Str("identity", string(r.engine.identity.Self.Identity)).
		Uint64("snapshot", uint64(r.engine.restored.Snapshot.Index)).
		Int("entries", len(r.engine.restored.Entries)).
		Msg("replica started")
	for _, member := range r.options.Members {
		r.connect(member.ID, member.Address)
	}
	r.goroutines.Go(r.applyLoop)
	r.goroutines.Go(r.acceptLoop)
	r.goroutines.Go(func() {
		defer close(r.loopEnded)
		r.loop()
	})
}

func (r *Replica) close() {
	r.cancel()
	_ = r.listener.Close()
	r.goroutines.Wait()
	if err := r.engine.store.Close(); err != nil {
		r.options.Logger.Warn().Err(err).Msg("failed to close data folder")
	}
}

// Failed delivers the disk or state machine error that has stopped the replica. The process must then exit.
func (r *Replica) Failed() <-chan error {
	return r.failed
}

// fail reports the first fatal error and stops the replica.
func (r *Replica) fail(err error) {
	select {
	case r.failed <- err:
		r.options.Logger.Error().Err(err).Msg("replica stopped by a fatal error")
	default:
	}
	r.cancel()
	_ = r.listener.Close()
}

// loop runs the Raft node. It is the only goroutine that writes the log.
func (r *Replica) loop() {
	timer := time.NewTimer(0)
	hellos := time.NewTicker(bootstrapInterval)
	defer hellos.Stop()
	for {
		timer.Reset(min(maxTimerInterval, max(time.Until(r.engine.node.NextDeadline()), 0)))
		var batch []input
		select {
		case <-r.context.Done():
			return
		case first := <-r.inputs.Items():
			batch = r.collectBatch(first)
		case snapshot := <-r.storedSnapshots.Items():
			if err := r.snapshotStored(snapshot); err != nil {
				r.fail(err)
				return
			}
		case <-hellos.C:
			r.introduce()
		case <-timer.C:
		}
		if err := r.handleBatch(batch); err != nil {
			r.fail(err)
			return
		}
	}
}

// collectBatch returns the waiting inputs, so that one sync covers many events.
func (r *Replica) collectBatch(first input) []input {
	batch := []input{first}
	for len(batch) < maxBatchEvents {
		select {
		case next := <-r.inputs.Items():
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (r *Replica) handleBatch(batch []input) error {
	events := make([]raft.Event, 0, len(batch))
	for _, in := range batch {
		if in.introduceTo != nil {
			r.learnMembers(lo.Map(in.introduceTo, func(m Member, _ int) raft.Member {
				return raft.Member{
					Peer: raft.Peer{
						ID: m.ID,
					},
					Address: m.Address,
				}
			}))
			continue
		}
		if in.hello == nil {
			events = append(events, in.event)
		} else if err := r.receiveHello(in.hello); err != nil {
			return err
		}
	}
	return r.step(events...)
}

func (r *Replica) step(events ...raft.Event) error {
	result, err := r.engine.step(time.Now(), events...)
	if err != nil {
		return err
	}
	for _, refusal := range result.refused {
		r.requests.finish(refusal.Request, answer{
			refusal: refusal.Reason,
		})
	}
	result.refused = nil
	r.publishStatus()
	r.passToApplier(result)
	return nil
}

// passToApplier queues results for the applier. While the queue is full, as during a snapshot, the results are joined and
// the loop continues, so that heartbeats are on time. It blocks only to install a snapshot or with maxPendingEntries pending.
func (r *Replica) passToApplier(result stepResult) {
	r.pendingResult.join(result)
	if r.pendingResult.isEmpty() {
		return
	}
	if r.pendingResult.install == nil && len(r.pendingResult.committed) < maxPendingEntries && r.applyQueue.Len() == applyCapacity {
		return
	}
	if err := r.applyQueue.Push(r.context, r.pendingResult); err != nil {
		return // the replica is stopping
	}
	r.pendingResult = stepResult{}
}

func (r *Replica) snapshotStored(snapshot raft.Snapshot) error {
	if err := r.step(raft.SnapshotStored{Snapshot: snapshot}); err != nil {
		return err
	}
	return r.engine.compact(snapshot)
}

func (r *Replica) applyLoop() {
	for {
		next, err := r.applyQueue.Pop(r.context)
		if err != nil {
			return
		}
		snapshot, err := r.applier.apply(next)
		if err != nil {
			r.fail(err)
			return
		}
		r.applied.Store(uint64(r.applier.applied))
		if snapshot != nil && r.storedSnapshots.Push(r.context, *snapshot) != nil {
			return
		}
	}
}

// publishStatus publishes the node's status and logs changes of role, leader and membership.
func (r *Replica) publishStatus() {
	status := r.engine.node.Status()
	before := r.status.Swap(&status)
	members := r.engine.node.Members()
	previous := r.members.Swap(&members)
	if before.Role != status.Role || before.Leader != status.Leader {
		r.options.Logger.Info().
			Str("role", status.Role).
			Str("leader", string(status.Leader)).
			Uint64("term", uint64(status.Term)).
			Msg("role or leader changed")
	}
	if !sameSlice(*previous, members) {
		r.options.Logger.Info().
			Interface("voters", status.Voters).
			Interface("learners", status.Learners).
			Msg("membership changed")
		for _, member := range members {
			r.connect(member.Peer.ID, member.Address)
		}
		r.disconnectOthers(members)
	}
}

// sameSlice compares by identity, which detects every change, since a membership is never modified in place.
func sameSlice(a, b []raft.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Status implements core.Replicator.
func (r *Replica) Status() core.ReplicatorStatus {
	status := *r.status.Load()
	status.Applied = core.LogIndex(r.applied.Load())
	return status
}

// Members returns the latest membership with identities. The slice must not be changed.
func (r *Replica) Members() []raft.Member {
	return *r.members.Load()
}

// Self returns this instance's name and identity.
func (r *Replica) Self() raft.Peer {
	return r.engine.identity.Self
}

// Introduction is what an instance has announced in its last hello.
type Introduction struct {
	Peer       raft.Peer
	Address    string // peer address; empty if only the settings give it
	DataCentre core.DataCentre
	At         time.Time
}

// NonMembers returns the instances that have introduced themselves and are not members. They can be added or replace a member.
func (r *Replica) NonMembers() []raft.Peer {
	return lo.Map(r.nonMembers(func(Introduction) bool { return true }), func(i Introduction, _ int) raft.Peer { return i.Peer })
}

// RecentNonMembers returns the introductions of non-members that are not older than introductionMaxAge.
func (r *Replica) RecentNonMembers(now time.Time) []Introduction {
	return r.nonMembers(func(i Introduction) bool { return now.Sub(i.At) <= introductionMaxAge })
}

func (r *Replica) nonMembers(selected func(Introduction) bool) []Introduction {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Introduction
	for _, each := range r.introductions {
		if selected(each) && !lo.ContainsBy(r.Members(), func(m raft.Member) bool { return m.Peer == each.Peer }) {
			list = append(list, each)
		}
	}
	slices.SortFunc(list, func(a, b Introduction) int { return strings.Compare(string(a.Peer.ID), string(b.Peer.ID)) })
	return list
}

func (r *Replica) identityFor(change raft.Change) raft.Identity {
	if change.Kind == raft.ChangePromote || change.Kind == raft.ChangeRemove {
		member, _ := lo.Find(r.Members(), func(m raft.Member) bool { return m.Peer.ID == change.Peer.ID })
		return member.Peer.Identity
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.introductions[change.Peer.ID].Peer.Identity
}

func randomNumber() uint64 {
	var bytes [8]byte
	_, _ = crand.Read(bytes[:]) // never fails
	return binary.BigEndian.Uint64(bytes[:])
}

func newIdentity() raft.Identity {
	var bytes [16]byte
	_, _ = crand.Read(bytes[:]) // never fails
	return raft.Identity(hex.EncodeToString(bytes[:]))
}
