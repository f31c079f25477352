package raftpeer

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
	"parsleyport/io/disk/disktest"
)

const tick = 5 * time.Millisecond

// registers is a state machine of named registers. A command has the form "name=value".
type registers map[string]string

func (m registers) Apply(_ core.LogIndex, command []byte) ([]byte, error) {
	name, value, _ := strings.Cut(string(command), "=")
	m[name] = value
	return []byte(value), nil
}

func (m registers) Snapshot() ([]byte, error) { return json.Marshal(m) }

func (m registers) Restore(snapshot []byte) error {
	clear(m)
	return json.Unmarshal(snapshot, &m)
}

// simulation runs the engines of all instances on one goroutine, with in-memory disks, a simulated network and simulated time.
type simulation struct {
	t           testing.TB
	random      *rand.Rand
	now         time.Time
	ids         []core.ControlID
	instances   map[core.ControlID]*instance
	packets     []packet
	blocked     map[[2]core.ControlID]bool // from, to
	drop        float64
	delayed     bool // some packets are delayed, reordered or duplicated
	leaders     map[core.Term]core.ControlID
	applied     map[core.LogIndex]raft.Entry
	sequence    uint64
	onDone      map[raft.RequestID]func(refused string)
	loseMessage func(raft.Message) bool // called for each message sent; true drops it
	onDelivery  func(from, to core.ControlID)
}

type packet struct {
	deliverAt time.Time
	from, to  core.ControlID
	message   raft.Message
	hello     *raft.Hello
}

type instance struct {
	simulation       *simulation
	options          Options
	folder           *disktest.Memory
	engine           *engine
	applier          *applier
	machine          registers
	up               bool
	frozenUntil      time.Time
	fault            error
	inbox            []packet
	localEvents      []raft.Event
	helloAt          time.Time
	snapshotInterval core.LogIndex
}

func newSimulation(t testing.TB, seed uint64, size int) *simulation {
	w := &simulation{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       time.Unix(1_700_000_000, 0),
		instances: make(map[core.ControlID]*instance),
		blocked:   make(map[[2]core.ControlID]bool),
		leaders:   make(map[core.Term]core.ControlID),
		applied:   make(map[core.LogIndex]raft.Entry),
		onDone:    make(map[raft.RequestID]func(string)),
	}
	for n := range size {
		w.ids = append(w.ids, core.ControlID(fmt.Sprintf("c%d", n+1)))
	}
	for _, id := range w.ids {
		w.add(id, true)
	}
	return w
}

func (w *simulation) add(id core.ControlID, bootstrap bool) {
	i := &instance{
		simulation: w,
		options: Options{
			Self:            id,
			Members:         lo.Map(w.ids, func(id core.ControlID, _ int) Member { return Member{ID: id} }),
			Bootstrap:       bootstrap,
			trailingEntries: 10,
		},
		folder:           disktest.NewMemory(),
		snapshotInterval: 25,
	}
	w.instances[id] = i
	i.start()
}

func (i *instance) start() {
	w := i.simulation
	var err error
	i.machine, i.inbox, i.localEvents = registers{}, nil, nil
	send := func(m raft.Message) {
		if w.loseMessage != nil && w.loseMessage(m) {
			return
		}
		w.transmit(packet{
			from:    i.options.Self,
			to:      m.To.ID,
			message: m,
		})
	}
	newIdentity := func() raft.Identity { return raft.Identity(fmt.Sprint(w.random.Uint64())) }
	if i.engine, err = openEngine(w.now, i.folder, &i.options, w.random, newIdentity, send); err != nil {
		w.t.Fatalf("start %s: %v", i.options.Self, err)
	}
	if i.applier, err = newApplier(i.engine.store, i.machine, i.engine.restored.Snapshot, w.finish); err != nil {
		w.t.Fatalf("start %s: %v", i.options.Self, err)
	}
	i.applier.snapshotInterval = i.snapshotInterval
	i.up = true
}

func (i *instance) crash() {
	i.up = false
	i.folder.Crash(i.simulation.random)
	i.folder.FailSyncs(false)
}

func (i *instance) wipe() {
	i.crash()
	i.folder.Wipe()
}

func (w *simulation) finish(request raft.RequestID, _ []byte) { w.answer(request, "") }

func (w *simulation) answer(request raft.RequestID, refused string) {
	if done, exists := w.onDone[request]; exists {
		delete(w.onDone, request)
		done(refused)
	}
}

func (w *simulation) transmit(p packet) {
	if w.blocked[[2]core.ControlID{p.from, p.to}] || w.random.Float64() < w.drop {
		return
	}
	p.deliverAt = w.now.Add(time.Duration(1+w.random.IntN(3)) * time.Millisecond)
	if w.delayed && w.random.IntN(20) == 0 {
		p.deliverAt = p.deliverAt.Add(time.Duration(w.random.IntN(1500)) * time.Millisecond)
	}
	w.packets = append(w.packets, p)
	if w.delayed && w.random.IntN(20) == 0 && p.message.Kind != raft.KindPropose {
		p.deliverAt = p.deliverAt.Add(time.Duration(w.random.IntN(300)) * time.Millisecond)
		w.packets = append(w.packets, p)
	}
}

// advance runs the simulation for a duration of simulated time.
func (w *simulation) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.deliver()
		for _, id := range w.ids {
			if i := w.instances[id]; i.up && !w.now.Before(i.frozenUntil) {
				i.run()
			}
		}
		w.checkLeaders()
	}
}

// advanceUntil runs the simulation until the condition holds, and fails the test if that takes longer than the limit.
func (w *simulation) advanceUntil(limit time.Duration, what string, holds func() bool) {
	w.t.Helper()
	for end := w.now.Add(limit); !holds(); w.advance(tick) {
		if w.now.After(end) {
			w.t.Fatalf("%s: not within %v; %s", what, limit, w.describe())
		}
	}
}

func (w *simulation) describe() string {
	return strings.Join(lo.Map(w.ids, func(id core.ControlID, _ int) string {
		i := w.instances[id]
		return fmt.Sprintf("%s up=%v %+v", id, i.up, i.engine.node.Status())
	}), "; ")
}

func (w *simulation) deliver() {
	late := w.packets[:0:0]
	for _, p := range w.packets {
		if p.deliverAt.After(w.now) {
			late = append(late, p)
		} else if to := w.instances[p.to]; to.up && len(to.inbox) < 2000 {
			to.inbox = append(to.inbox, p)
			if w.onDelivery != nil {
				w.onDelivery(p.from, p.to)
			}
		}
	}
	w.packets = late
}

// run passes the received packets and local events to an instance as one batch.
func (i *instance) run() {
	if i.up && i.engine.bootstrap.Pending() && !i.simulation.now.Before(i.helloAt) {
		i.helloAt = i.simulation.now.Add(bootstrapInterval)
		for _, id := range i.simulation.ids {
			i.sendHello(id, false)
		}
	}
	events := i.localEvents
	inbox := i.inbox
	i.localEvents, i.inbox = nil, nil
	for _, p := range inbox {
		if p.hello == nil {
			events = append(events, raft.Received{Message: p.message})
		} else if err := i.engine.receiveHello(i.simulation.now, p.hello, i.simulation.random); err != nil {
			i.stopOnFault(err)
			return
		} else if !p.hello.Answer {
			i.sendHello(p.from, true)
		}
	}
	if len(events) > 0 || !i.simulation.now.Before(i.engine.node.NextDeadline()) {
		i.step(events...)
	}
}

func (i *instance) sendHello(to core.ControlID, answer bool) {
	if to != i.options.Self {
		i.simulation.transmit(packet{
			from:  i.options.Self,
			to:    to,
			hello: i.engine.hello(answer),
		})
	}
}

func (i *instance) step(events ...raft.Event) {
	result, err := i.engine.step(i.simulation.now, events...)
	if err != nil {
		i.stopOnFault(err)
		return
	}
	for _, refusal := range result.refused {
		i.simulation.answer(refusal.Request, refusal.Reason)
	}
	i.simulation.checkCommitted(i.options.Self, result.committed)
	snapshot, err := i.applier.apply(result)
	if err == nil && snapshot != nil {
		i.step(raft.SnapshotStored{Snapshot: *snapshot})
		if i.up {
			err = i.engine.compact(*snapshot)
		}
	}
	if err != nil && i.up {
		i.stopOnFault(err)
	}
}

// stopOnFault ends the instance, as a disk error does in a real process.
func (i *instance) stopOnFault(err error) {
	i.fault = err
	i.crash()
}

// checkCommitted fails the test if a committed entry differs between instances or changes.
func (w *simulation) checkCommitted(id core.ControlID, entries []raft.Entry) {
	for _, entry := range entries {
		known, exists := w.applied[entry.Index]
		if exists && (known.Term != entry.Term || string(known.Command) != string(entry.Command)) {
			w.t.Fatalf("%s: committed entry %d changed from %+v to %+v", id, entry.Index, known, entry)
		}
		w.applied[entry.Index] = entry
	}
}

// checkLeaders fails the test if there are two leaders in one term.
func (w *simulation) checkLeaders() {
	for _, id := range w.ids {
		i := w.instances[id]
		status := i.engine.node.Status()
		if !i.up || status.Role != string(raft.Leader) {
			continue
		}
		if other, exists := w.leaders[status.Term]; exists && other != id {
			w.t.Fatalf("%s and %s both led in term %d", other, id, status.Term)
		}
		w.leaders[status.Term] = id
	}
}

func (w *simulation) leader() *instance {
	for _, id := range w.ids {
		if i := w.instances[id]; i.isLeader() {
			return i
		}
	}
	return nil
}

func (i *instance) isLeader() bool {
	return i.up && i.engine.node.Status().Role == string(raft.Leader)
}

// request passes an event to an instance. Done is called with the reason of a refusal, or with "" once the request is finished.
func (i *instance) request(event func(raft.RequestID) raft.Event, done func(refused string)) raft.RequestID {
	i.simulation.sequence++
	id := raft.RequestID{
		Run:      1,
		Sequence: i.simulation.sequence,
	}
	i.simulation.onDone[id] = done
	i.localEvents = append(i.localEvents, event(id))
	return id
}

func (i *instance) propose(command string, done func(refused string)) raft.RequestID {
	return i.request(func(id raft.RequestID) raft.Event {
		return raft.Proposed{
			Request: id,
			Command: []byte(command),
		}
	}, done)
}

func (i *instance) read(done func(refused string)) raft.RequestID {
	return i.request(func(id raft.RequestID) raft.Event {
		return raft.ReadRequested{
			Request: id,
		}
	}, done)
}

// write proposes a command at the leader until it is committed.
func (w *simulation) write(command string) {
	w.t.Helper()
	committed, pending := false, false
	w.advanceUntil(10*time.Second, "write "+command, func() bool {
		if leader := w.leader(); leader != nil && !pending {
			pending = true
			leader.propose(command, func(refused string) { committed, pending = refused == "", false })
		}
		return committed
	})
}

// change requests a membership change at the leader until it is committed.
func (w *simulation) change(kind raft.ChangeKind, id core.ControlID) {
	w.t.Helper()
	committed := false
	var next time.Time
	w.advanceUntil(10*time.Second, string(kind)+" "+string(id), func() bool {
		if leader := w.leader(); leader != nil && !w.now.Before(next) {
			next = w.now.Add(time.Second)
			w.changeOnce(leader, kind, id, func(refused string) { committed = committed || refused == "" })
		}
		return committed
	})
}

func (w *simulation) changeOnce(leader *instance, kind raft.ChangeKind, id core.ControlID, done func(string)) {
	leader.request(func(request raft.RequestID) raft.Event {
		return raft.Proposed{
			Request: request,
			Change: &raft.Change{
				Kind: kind,
				Peer: w.instances[id].engine.identity.Self,
			},
		}
	}, done)
}

// isolate blocks an instance's messages in the given directions.
func (w *simulation) isolate(id core.ControlID, outgoing, incoming bool) {
	for _, other := range w.ids {
		w.blocked[[2]core.ControlID{id, other}] = outgoing
		w.blocked[[2]core.ControlID{other, id}] = incoming
	}
}

func (w *simulation) heal() {
	clear(w.blocked)
	w.drop, w.delayed = 0, false
	for _, id := range w.ids {
		i := w.instances[id]
		i.frozenUntil = time.Time{}
		i.folder.FailSyncs(false)
		if !i.up {
			i.start()
		}
	}
}

// others returns all ids except the given ones.
func (w *simulation) others(ids ...core.ControlID) []core.ControlID {
	return lo.Reject(w.ids, func(id core.ControlID, _ int) bool { return slices.Contains(ids, id) })
}

// converge waits until all instances have applied the same entries, and checks that their states are equal.
func (w *simulation) converge() {
	w.t.Helper()
	w.write("last=1")
	w.advanceUntil(20*time.Second, "converge", func() bool {
		first := w.instances[w.ids[0]]
		return lo.EveryBy(w.ids, func(id core.ControlID) bool {
			return w.instances[id].up && w.instances[id].applier.applied == first.applier.applied
		})
	})
	for _, id := range w.ids {
		if a, b := fmt.Sprint(w.instances[id].machine), fmt.Sprint(w.instances[w.ids[0]].machine); a != b {
			w.t.Fatalf("%s has %s, %s has %s", id, a, w.ids[0], b)
		}
	}
}
