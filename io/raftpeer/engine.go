package raftpeer

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
	"parsleyport/io/disk"
)

// engine connects a Raft node with its store: it syncs what a message acknowledges before it sends the message. It has no
// goroutine and no clock, so that tests can run it under fault schedules.
type engine struct {
	store           *disk.Store
	identity        disk.Identity
	restored        raft.Restored
	node            *raft.Node
	bootstrap       *raft.Bootstrap
	trailingEntries core.LogIndex
	send            func(raft.Message)
}

// stepResult is what a step returns to be applied and answered.
type stepResult struct {
	install   *raft.Snapshot
	committed []raft.Entry
	reads     []raft.ReadResult
	refused   []raft.Refusal
}

func openEngine(now time.Time, folder disk.Folder, options *Options, random *rand.Rand,
	newIdentity func() raft.Identity, send func(raft.Message),
) (*engine, error) {
	store, found, err := disk.Open(folder, options.Self, newIdentity)
	if err != nil {
		return nil, errors.Trace(err)
	}
	e := &engine{
		store:           store,
		identity:        found.Identity,
		restored:        found.Restored,
		bootstrap:       raft.NewBootstrap(found.Identity.Self, options.bootstrapMembers(), found.Identity.Initial, found.HasState),
		trailingEntries: lo.CoalesceOrEmpty(options.trailingEntries, raft.TrailingEntries),
		send:            send,
	}
	e.node = raft.NewNode(now, found.Identity.Self, found.Restored, e.trailingEntries, random)
	return e, e.receiveHello(now, nil, random)
}

// receiveHello advances the bootstrap with a hello, or with none if it is nil, and starts the node once it is complete.
func (e *engine) receiveHello(now time.Time, hello *raft.Hello, random *rand.Rand) error {
	store, start := e.bootstrap.Step(hello)
	if len(store) > 0 {
		e.identity.Initial = store
		if err := e.store.SaveIdentity(e.identity); err != nil {
			return errors.Trace(err)
		}
	}
	if !start {
		return nil
	}
	hard, entries := raft.InitialState(e.identity.Initial)
	if err := e.store.Write(nil, &hard, entries); err != nil {
		return errors.Trace(err)
	}
	e.restored.HardState, e.restored.Entries = hard, entries
	e.node = raft.NewNode(now, e.identity.Self, e.restored, e.trailingEntries, random)
	return nil
}

// step passes events to the node until nothing is left to write. After a disk error the engine must not be used further.
func (e *engine) step(now time.Time, events ...raft.Event) (stepResult, error) {
	var result stepResult
	if e.bootstrap.Pending() {
		return refuseAll(events), nil
	}
	for {
		out := e.node.Step(now, events...)
		for _, message := range out.Messages {
			e.send(message)
		}
		if out.NeedsSync() {
			if err := e.store.Write(out.Reset, out.HardState, out.Entries); err != nil {
				return result, errors.Trace(err)
			}
		}
		for _, message := range out.AfterSync {
			e.send(message)
		}
		result.add(out)
		if !out.NeedsSync() {
			return result, nil
		}
		events = []raft.Event{raft.Synced{
			Token: out.Token,
		}}
	}
}

func (e *engine) hello(answer bool) *raft.Hello {
	hello := e.bootstrap.Hello(answer, len(e.node.Members()) > 0)
	return &hello
}

// refuseAll refuses the local requests that arrive before the initial membership has been agreed on.
func refuseAll(events []raft.Event) stepResult {
	var result stepResult
	for _, event := range events {
		refusal := raft.Refusal{
			Reason: "the initial membership is not agreed on",
		}
		switch e := event.(type) {
		case raft.Proposed:
			refusal.Request = e.Request
		case raft.ReadRequested:
			refusal.Request = e.Request
		default:
			continue
		}
		result.refused = append(result.refused, refusal)
	}
	return result
}

func (r *stepResult) add(out raft.Output) {
	r.join(stepResult{
		install:   out.Install,
		committed: out.Committed,
		reads:     out.Reads,
		refused:   out.Refused,
	})
}

// join appends later results. The node commits nothing between a snapshot to install and the report that it is stored, so
// an installed snapshot is always the last thing to apply.
func (r *stepResult) join(later stepResult) {
	if later.install != nil {
		r.install = later.install
	}
	r.committed = append(r.committed, later.committed...)
	r.reads = append(r.reads, later.reads...)
	r.refused = append(r.refused, later.refused...)
}

func (r *stepResult) isEmpty() bool {
	return r.install == nil && len(r.committed) == 0 && len(r.reads) == 0
}

// compact removes the log segments and snapshots that a stored snapshot replaces.
func (e *engine) compact(snapshot raft.Snapshot) error {
	return errors.Trace(e.store.Compact(snapshot.Index))
}
