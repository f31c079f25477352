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
	sim := &simulation{
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
		sim.ids = append(sim.ids, core.ControlID(fmt.Sprintf("c%d", n+1)))
	}
	for _, id := range sim.ids {
		sim.add(id, true)
	}
	return sim
}

func (sim *simulation) add(id core.ControlID, bootstrap bool) {
	i := &instance{
		simulation: sim,
		options: Options{
			Self:            id,
			Members:         lo.Map(sim.ids, func(id core.ControlID, _ int) Member { return Member{ID: id} }),
			Bootstrap:       bootstrap,
			trailingEntries: 10,
		},
		folder:           disktest.NewMemory(),
		snapshotInterval: 25,
	}
	sim.instances[id] = i
	i.start()
}

func (i *instance) start() {
	sim := i.simulation
	var err error
	i.machine, i.inbox, i.localEvents = registers{}, nil, nil
	send := func(m raft.Message) {
		if sim.loseMessage != nil && sim.loseMessage(m) {
			return
		}
		sim.transmit(packet{
			from:    i.options.Self,
			to:      m.To.ID,
			message: m,
		})
	}
	newIdentity := func() raft.Identity { return raft.Identity(fmt.Sprint(sim.random.Uint64())) }
	if i.engine, err = openEngine(sim.now, i.folder, &i.options, sim.random, newIdentity, send); err != nil {
		sim.t.Fatalf("start %s: %v", i.options.Self, err)
	}
	if i.applier, err = newApplier(i.engine.store, i.machine, i.engine.restored.Snapshot, sim.finish); err != nil {
		sim.t.Fatalf("start %s: %v", i.options.Self, err)
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

func (sim *simulation) finish(request raft.RequestID, _ []byte) { sim.answer(request, "") }

func (sim *simulation) answer(request raft.RequestID, refused string) {
	if done, exists := sim.onDone[request]; exists {
		delete(sim.onDone, request)
		done(refused)
	}
}

func (sim *simulation) transmit(p packet) {
	if sim.blocked[[2]core.ControlID{p.from, p.to}] || sim.random.Float64() < sim.drop {
		return
	}
	p.deliverAt = sim.now.Add(time.Duration(1+sim.random.IntN(3)) * time.Millisecond)
	if sim.delayed && sim.random.IntN(20) == 0 {
		p.deliverAt = p.deliverAt.Add(time.Duration(sim.random.IntN(1500)) * time.Millisecond)
	}
	sim.packets = append(sim.packets, p)
	if sim.delayed && sim.random.IntN(20) == 0 && p.message.Kind != raft.KindPropose {
		p.deliverAt = p.deliverAt.Add(time.Duration(sim.random.IntN(300)) * time.Millisecond)
		sim.packets = append(sim.packets, p)
	}
}

// advance runs the simulation for a duration of simulated time.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(tick)
		sim.deliver()
		for _, id := range sim.ids {
			if i := sim.instances[id]; i.up && !sim.now.Before(i.frozenUntil) {
				i.run()
			}
		}
		sim.checkLeaders()
	}
}

// advanceUntil runs the simulation until the condition holds, and fails the test if that takes longer than the limit.
func (sim *simulation) advanceUntil(limit time.Duration, what string, holds func() bool) {
	sim.t.Helper()
	for end := sim.now.Add(limit); !holds(); sim.advance(tick) {
		if sim.now.After(end) {
			sim.t.Fatalf("%s: not within %v; %s", what, limit, sim.describe())
		}
	}
}

func (sim *simulation) describe() string {
	return strings.Join(lo.Map(sim.ids, func(id core.ControlID, _ int) string {
		i := sim.instances[id]
		return fmt.Sprintf("%s up=%v %+v", id, i.up, i.engine.node.Status())
	}), "; ")
}

func (sim *simulation) deliver() {
	late := sim.packets[:0:0]
	for _, p := range sim.packets {
		if p.deliverAt.After(sim.now) {
			late = append(late, p)
		} else if to := sim.instances[p.to]; to.up && len(to.inbox) < 2000 {
			to.inbox = append(to.inbox, p)
			if sim.onDelivery != nil {
				sim.onDelivery(p.from, p.to)
			}
		}
	}
	sim.packets = late
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
func (sim *simulation) checkCommitted(id core.ControlID, entries []raft.Entry) {
	for _, entry := range entries {
		known, exists := sim.applied[entry.Index]
		if exists && (known.Term != entry.Term || string(known.Command) != string(entry.Command)) {
			sim.t.Fatalf("%s: committed entry %d changed from %+v to %+v", id, entry.Index, known, entry)
		}
		sim.applied[entry.Index] = entry
	}
}

// checkLeaders fails the test if there are two leaders in one term.
func (sim *simulation) checkLeaders() {
	for _, id := range sim.ids {
		i := sim.instances[id]
		status := i.engine.node.Status()
		if !i.up || status.Role != string(raft.Leader) {
			continue
		}
		if other, exists := sim.leaders[status.Term]; exists && other != id {
			sim.t.Fatalf("%s and %s both led in term %d", other, id, status.Term)
		}
		sim.leaders[status.Term] = id
	}
}

func (sim *simulation) leader() *instance {
	for _, id := range sim.ids {
		if i := sim.instances[id]; i.isLeader() {
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
func (sim *simulation) write(command string) {
	sim.t.Helper()
	committed, pending := false, false
	sim.advanceUntil(10*time.Second, "write "+command, func() bool {
		if leader := sim.leader(); leader != nil && !pending {
			pending = true
			leader.propose(command, func(refused string) { committed, pending = refused == "", false })
		}
		return committed
	})
}

// change requests a membership change at the leader until it is committed.
func (sim *simulation) change(kind raft.ChangeKind, id core.ControlID) {
	sim.t.Helper()
	committed := false
	var next time.Time
	sim.advanceUntil(10*time.Second, string(kind)+" "+string(id), func() bool {
		if leader := sim.leader(); leader != nil && !sim.now.Before(next) {
			next = sim.now.Add(time.Second)
			sim.changeOnce(leader, kind, id, func(refused string) { committed = committed || refused == "" })
		}
		return committed
	})
}

func (sim *simulation) changeOnce(leader *instance, kind raft.ChangeKind, id core.ControlID, done func(string)) {
	leader.request(func(request raft.RequestID) raft.Event {
		return raft.Proposed{
			Request: request,
			Change: &raft.Change{
				Kind: kind,
				Peer: sim.instances[id].engine.identity.Self,
			},
		}
	}, done)
}

// isolate blocks an instance's messages in the given directions.
func (sim *simulation) isolate(id core.ControlID, outgoing, incoming bool) {
	for _, other := range sim.ids {
		sim.blocked[[2]core.ControlID{id, other}] = outgoing
		sim.blocked[[2]core.ControlID{other, id}] = incoming
	}
}

func (sim *simulation) heal() {
	clear(sim.blocked)
	sim.drop, sim.delayed = 0, false
	for _, id := range sim.ids {
		i := sim.instances[id]
		i.frozenUntil = time.Time{}
		i.folder.FailSyncs(false)
		if !i.up {
			i.start()
		}
	}
}

// others returns all ids except the given ones.
func (sim *simulation) others(ids ...core.ControlID) []core.ControlID {
	return lo.Reject(sim.ids, func(id core.ControlID, _ int) bool { return slices.Contains(ids, id) })
}

// converge waits until all instances have applied the same entries, and checks that their states are equal.
func (sim *simulation) converge() {
	sim.t.Helper()
	sim.write("last=1")
	sim.advanceUntil(20*time.Second, "converge", func() bool {
		first := sim.instances[sim.ids[0]]
		return lo.EveryBy(sim.ids, func(id core.ControlID) bool {
			return sim.instances[id].up && sim.instances[id].applier.applied == first.applier.applied
		})
	})
	for _, id := range sim.ids {
		if a, b := fmt.Sprint(sim.instances[id].machine), fmt.Sprint(sim.instances[sim.ids[0]].machine); a != b {
			sim.t.Fatalf("%s has %s, %s has %s", id, a, sim.ids[0], b)
		}
	}
}
