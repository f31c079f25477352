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

// input is one item for the loop.
type input struct {
	event raft.Event
	hello *raft.Hello
	meet  []Member
}

// Replica is one control instance's replica of the log; it implements core.Replicator.
type Replica struct {
	packing  *frame.Compressor
	options  Options
	counters counters
	engine   *engine
	applier  *applier
	random   *rand.Rand // of the loop
	requests *requests

	inputs  *ring.Ring[input]
	applies *ring.Ring[outcome]
	stored  *ring.Ring[raft.Snapshot]

	links   map[core.ControlID]*link // of the loop and of Send
	linksMu sync.RWMutex
	mu      sync.Mutex // guards heard
	heard   map[core.ControlID]Introduction
	told    map[core.ControlID]string // of the loop: addresses of members that others have named

	introducedAt time.Time // of the loop
	pending      outcome   // of the loop: results that the applier has not taken

	status  atomic.Pointer[core.ReplicatorStatus]
	members atomic.Pointer[[]raft.Member]
	applied atomic.Uint64

	listener net.Listener
	context  context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	stopped  chan struct{} // closed when the loop has ended
	failed   chan error
}

var _ core.Replicator = (*Replica)(nil)

// New opens the data folder, restores the state machine and starts the replica. The returned function stops it and
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
		options:  options,
		random:   rand.New(rand.NewPCG(randomNumber(), randomNumber())),
		requests: newRequests(randomNumber()),
		inputs:   ring.New[input](inputCapacity),
		applies:  ring.New[outcome](applyCapacity),
		stored:   ring.New[raft.Snapshot](applyCapacity),
		links:    make(map[core.ControlID]*link),
		heard:    make(map[core.ControlID]Introduction),
		told:     make(map[core.ControlID]string),
		context:  ctx,
		cancel:   cancel,
		stopped:  make(chan struct{}),
		failed:   make(chan error, 1),
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
	if r.packing, err = newPacking(); err != nil {
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
	r.publish()
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
	r.running.Go(r.applyLoop)
	r.running.Go(r.acceptLoop)
	r.running.Go(func() {
		defer close(r.stopped)
		r.loop()
	})
}

func (r *Replica) close() {
	r.cancel()
	_ = r.listener.Close()
	r.running.Wait()
	if err := r.engine.store.Close(); err != nil {
		r.options.Logger.Warn().Err(err).Msg("data folder not closed")
	}
}

// Failed delivers the fault, of the disk or the state machine, that has stopped the replica; the process must exit.
func (r *Replica) Failed() <-chan error {
	return r.failed
}

// fail stops everything at the first fault.
func (r *Replica) fail(err error) {
	select {
	case r.failed <- err:
		r.options.Logger.Error().Err(err).Msg("replica stopped by a fault")
	default:
	}
	r.cancel()
	_ = r.listener.Close()
}

// loop is the only goroutine that decides and writes the log.
func (r *Replica) loop() {
	timer := time.NewTimer(0)
	hellos := time.NewTicker(bootstrapInterval)
	defer hellos.Stop()
	for {
		timer.Reset(min(slowestTick, max(time.Until(r.engine.node.NextDeadline()), 0)))
		var batch []input
		select {
		case <-r.context.Done():
			return
		case first := <-r.inputs.Items():
			batch = r.drain(first)
		case snapshot := <-r.stored.Items():
			if err := r.snapshotStored(snapshot); err != nil {
				r.fail(err)
				return
			}
		case <-hellos.C:
			r.introduce()
		case <-timer.C:
		}
		if err := r.handle(batch); err != nil {
			r.fail(err)
			return
		}
	}
}

// drain takes what waits, so that one sync serves many events.
func (r *Replica) drain(first input) []input {
	batch := []input{first}
	for len(batch) < maxBatch {
		select {
		case next := <-r.inputs.Items():
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (r *Replica) handle(batch []input) error {
	events := make([]raft.Event, 0, len(batch))
	for _, in := range batch {
		if in.meet != nil {
			r.follow(lo.Map(in.meet, func(m Member, _ int) raft.Member {
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
		} else if err := r.hear(in.hello); err != nil {
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
			refused: refusal.Reason,
		})
	}
	result.refused = nil
	r.publish()
	r.handOver(result)
	return nil
}

// handOver gives results to the applier. While that is busy, as during a snapshot, they are joined and the loop goes on,
// so that heartbeats are not late; it waits only once very many entries are left.
func (r *Replica) handOver(result outcome) {
	r.pending.join(result)
	if r.pending.isEmpty() {
		return
	}
	if r.pending.install == nil && len(r.pending.committed) < maxPendingEntries && r.applies.Len() == applyCapacity {
		return
	}
	if err := r.applies.Push(r.context, r.pending); err != nil {
		return // the replica is being stopped
	}
	r.pending = outcome{}
}

func (r *Replica) snapshotStored(snapshot raft.Snapshot) error {
	if err := r.step(raft.SnapshotStored{Snapshot: snapshot}); err != nil {
		return err
	}
	return r.engine.compact(snapshot)
}

func (r *Replica) applyLoop() {
	for {
		next, err := r.applies.Pop(r.context)
		if err != nil {
			return
		}
		snapshot, err := r.applier.apply(next)
		if err != nil {
			r.fail(err)
			return
		}
		r.applied.Store(uint64(r.applier.applied))
		if snapshot != nil && r.stored.Push(r.context, *snapshot) != nil {
			return
		}
	}
}

// publish makes the status readable and logs changes of role, leader and membership.
func (r *Replica) publish() {
	status := r.engine.node.Describe()
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

// sameSlice is enough to see a change, since a membership is never changed in place.
func sameSlice(a, b []raft.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Status implements core.Replicator.
func (r *Replica) Status() core.ReplicatorStatus {
	status := *r.status.Load()
	status.Applied = core.LogIndex(r.applied.Load())
	return status
}

// Members returns the newest membership with identities; the slice must not be changed.
func (r *Replica) Members() []raft.Member {
	return *r.members.Load()
}

// Self returns this instance's name and identity.
func (r *Replica) Self() raft.Peer {
	return r.engine.identity.Self
}

// Introduction is what an instance has said of itself.
type Introduction struct {
	Peer       raft.Peer
	Address    string // peer address; empty if only the settings have it
	DataCentre core.DataCentre
	At         time.Time
}

// NonMembers returns the instances that have introduced themselves and are not members: those to add or to replace.
func (r *Replica) NonMembers() []raft.Peer {
	return lo.Map(r.introduced(func(Introduction) bool { return true }), func(i Introduction, _ int) raft.Peer { return i.Peer })
}

// Newcomers returns the introductions of the last seconds from instances that are not members.
func (r *Replica) Newcomers(now time.Time) []Introduction {
	return r.introduced(func(i Introduction) bool { return now.Sub(i.At) <= introducedAge })
}

func (r *Replica) introduced(selected func(Introduction) bool) []Introduction {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Introduction
	for _, each := range r.heard {
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
	return r.heard[change.Peer.ID].Peer.Identity
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
