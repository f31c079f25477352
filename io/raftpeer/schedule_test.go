package raftpeer

import (
	"flag"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"parsleyport/core"
	"parsleyport/core/raft"
)

var schedules = flag.Int("schedules", 40, "number of random fault schedules")

// operation is a client's read or write of one register.
type operation struct {
	register string
	write    bool
	value    string
}

// history records the operations of clients and their results. A write without an answer may take effect at any later time.
type history struct {
	simulation *simulation
	operations []porcupine.Operation
	clients    []*client
	writes     int
}

type client struct {
	id            int
	busy          bool
	nextOperation time.Time
	timeout       time.Time
	giveUp        func()
}

var registerModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, o := range all {
			name := o.Input.(operation).register
			parts[name] = append(parts[name], o)
		}
		var result [][]porcupine.Operation
		for _, part := range parts {
			result = append(result, part)
		}
		return result
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		o := input.(operation)
		if o.write {
			return true, o.value
		}
		return output.(string) == state.(string), state
	},
}

func (h *history) run() {
	for _, c := range h.clients {
		switch {
		case c.busy && h.simulation.now.After(c.timeout):
			c.giveUp()
		case !c.busy && h.simulation.now.After(c.nextOperation):
			h.begin(c)
		}
	}
}

// begin starts an operation at a random instance.
func (h *history) begin(c *client) {
	sim := h.simulation
	target := sim.instances[sim.ids[sim.random.IntN(len(sim.ids))]]
	c.nextOperation = sim.now.Add(time.Duration(sim.random.IntN(150)) * time.Millisecond)
	if !target.up {
		return
	}
	o := operation{
		register: fmt.Sprintf("r%d", sim.random.IntN(6)),
		write:    sim.random.IntN(2) == 0,
	}
	startedAt := sim.now
	record := func(value string, returned int64) {
		h.operations = append(h.operations, porcupine.Operation{
			ClientId: c.id,
			Input:    o,
			Call:     startedAt.UnixNano(),
			Output:   value,
			Return:   returned,
		})
	}
	c.busy, c.timeout = true, sim.now.Add(2*time.Second)
	var request raft.RequestID
	c.giveUp = func() {
		delete(sim.onDone, request)
		c.busy = false
		if o.write {
			record("", math.MaxInt64)
		}
	}
	done := func(refused string) {
		c.busy = false
		if refused == "" {
			record(target.machine[o.register], sim.now.UnixNano()+int64(tick/2))
		}
	}
	if o.write {
		h.writes++
		o.value = fmt.Sprint(h.writes)
		request = target.propose(o.register+"="+o.value, done)
		return
	}
	request = target.read(done)
}

func (h *history) check() {
	h.simulation.t.Helper()
	if result := porcupine.CheckOperationsTimeout(registerModel, h.operations, 30*time.Second); result != porcupine.Ok {
		h.simulation.t.Fatalf("history of %d operations: linearizable: %v", len(h.operations), result)
	}
}

// operator replaces an instance that has lost its disk, and adds back an instance that it has removed.
type operator struct {
	simulation *simulation
	repairing  core.ControlID // empty if all instances are members and no disk is lost
	next       time.Time
	removing   bool
	promoted   bool
}

func (o *operator) run() {
	leader := o.simulation.leader()
	if o.repairing == "" || leader == nil || o.simulation.now.Before(o.next) || !o.simulation.instances[o.repairing].up {
		return
	}
	o.next = o.simulation.now.Add(700 * time.Millisecond)
	peer := o.simulation.instances[o.repairing].engine.identity.Self
	if o.promoted {
		o.repairing, o.promoted = "", false
		return
	}
	kind := raft.ChangeAdd
	for _, member := range leader.engine.node.Members() {
		switch {
		case member.Peer.ID == peer.ID && member.Peer != peer:
			kind = raft.ChangeReplace
		case member.Peer == peer && o.removing:
			kind = raft.ChangeRemove
		case member.Peer == peer:
			kind = raft.ChangePromote
		}
	}
	o.simulation.changeOnce(leader, kind, o.repairing, func(refused string) {
		o.removing = o.removing && (refused != "" || kind != raft.ChangeRemove)
		o.promoted = o.promoted || refused == "" && kind == raft.ChangePromote
	})
}

// injectFault injects one random fault and returns its description. At most one disk is lost at a time.
func injectFault(sim *simulation, o *operator) string {
	id := sim.ids[sim.random.IntN(len(sim.ids))]
	other := sim.ids[sim.random.IntN(len(sim.ids))]
	i := sim.instances[id]
	switch sim.random.IntN(13) {
	case 0:
		sim.isolate(id, true, false)
		return "outgoing messages blocked of " + string(id)
	case 1:
		sim.isolate(id, false, true)
		return "incoming messages blocked of " + string(id)
	case 2:
		sim.isolate(id, true, true)
		return "all messages blocked of " + string(id)
	case 3:
		sim.blocked[[2]core.ControlID{id, other}] = true
		return fmt.Sprintf("messages blocked from %s to %s", id, other)
	case 4:
		clear(sim.blocked)
		return "no messages blocked any more"
	case 5:
		sim.dropProbability, sim.delayed = 0.3*sim.random.Float64(), sim.random.IntN(2) == 0
		return fmt.Sprintf("drop probability %.2f delayed %v", sim.dropProbability, sim.delayed)
	case 6:
		if i.up {
			i.crash()
		}
		return "crash of " + string(id)
	case 7:
		i.folder.FailSyncs(i.up)
		return "crash in the next sync of " + string(id)
	case 8:
		i.frozenUntil = sim.now.Add(time.Duration(sim.random.IntN(3000)) * time.Millisecond)
		return "freeze of " + string(id)
	case 9:
		if o.repairing == "" {
			i.wipe()
			o.repairing = id
			return "wiped disk of " + string(id)
		}
	case 10:
		if leader := sim.leader(); leader != nil {
			leader.localEvents = append(leader.localEvents, raft.HandOverRequested{})
		}
		return "handover"
	case 11:
		if o.repairing == "" {
			o.repairing, o.removing = id, true
			return "removal of " + string(id)
		}
	}
	for _, id := range sim.ids {
		if !sim.instances[id].up {
			sim.instances[id].start()
		}
	}
	return "all started"
}

// schedule defines the random faults of a run and their repair.
type schedule struct {
	inject   func() string // injects one random fault and returns its description
	repair   func()
	repaired func() bool
}

func runSchedule(t *testing.T, sim *simulation, s schedule) {
	h := &history{
		simulation: sim,
	}
	for id := range 5 {
		h.clients = append(h.clients, &client{
			id: id,
		})
	}
	sim.write("first=1")
	var faults []string
	defer func() {
		if t.Failed() {
			t.Logf("faults: %s", strings.Join(faults, ", "))
		}
	}()
	for end := sim.now.Add(20 * time.Second); sim.now.Before(end); {
		faults = append(faults, s.inject())
		for pause := sim.now.Add(time.Duration(100+sim.random.IntN(1200)) * time.Millisecond); sim.now.Before(pause); {
			h.run()
			s.repair()
			sim.advance(tick)
		}
	}
	sim.heal()
	healed := sim.now.Add(3 * time.Second)
	sim.advanceUntil(30*time.Second, "repair", func() bool {
		h.run()
		s.repair()
		return s.repaired() && sim.now.After(healed)
	})
	sim.converge()
	for _, c := range h.clients {
		if c.busy {
			c.giveUp()
		}
	}
	h.check()
	if len(h.operations) < 50 {
		t.Fatalf("only %d operations finished", len(h.operations))
	}
}

// Guards against two leaders in one term, lost or changed entries and stale reads under any mix of message loss, delay,
// reordering and duplication, one-way partitions, crashes that lose unsynced data, frozen processes and lost disks.
func TestFaultSchedules(t *testing.T) {
	for seed := range uint64(*schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, 3+2*int(seed%2))
			o := &operator{simulation: sim}
			runSchedule(t, sim, schedule{
				inject:   func() string { return injectFault(sim, o) },
				repair:   o.run,
				repaired: func() bool { return o.repairing == "" },
			})
		})
	}
}
