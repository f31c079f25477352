package raftpeer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/raft"
	"parsleyport/io/disk"
	"parsleyport/io/disk/disktest"
)

type deployment struct {
	t        testing.TB
	options  map[core.ControlID]Options
	replicas map[core.ControlID]*Replica
	machines map[core.ControlID]registers
	stops    map[core.ControlID]func()
	topics   chan string
}

func newDeployment(t testing.TB, ids ...core.ControlID) *deployment {
	d := &deployment{
		t:        t,
		options:  make(map[core.ControlID]Options),
		replicas: make(map[core.ControlID]*Replica),
		machines: make(map[core.ControlID]registers),
		stops:    make(map[core.ControlID]func()),
		topics:   make(chan string, 1),
	}
	var members []Member
	for _, id := range ids {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		members = append(members, Member{
			ID:         id,
			Address:    listener.Addr().String(),
			DataCentre: core.DataCentre("dc-" + id),
		})
		_ = listener.Close()
	}
	for _, member := range members {
		d.options[member.ID] = Options{
			Self:       member.ID,
			DataFolder: t.TempDir(),
			Listen:     member.Address,
			Members:    members,
			Bootstrap:  true,
			Logger:     zerolog.New(zerolog.NewTestWriter(t)),
			Receive: func(from core.ControlID, topic string, payload []byte) {
				d.topics <- string(from) + " " + topic + " " + string(payload)
			},
		}
		d.start(member.ID)
	}
	t.Cleanup(func() {
		for id := range d.stops {
			d.stop(id)
		}
	})
	return d
}

func (d *deployment) start(id core.ControlID) {
	d.machines[id] = registers{}
	replica, stop, err := New(d.options[id], d.machines[id])
	if err != nil {
		d.t.Fatal(err)
	}
	d.replicas[id], d.stops[id] = replica, stop
}

func (d *deployment) stop(id core.ControlID) {
	d.stops[id]()
	delete(d.stops, id)
}

// propose repeats a command whose outcome is unknown; the command must be idempotent.
func (d *deployment) propose(id core.ControlID, command string) {
	for limit := time.Now().Add(20 * time.Second); ; {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := d.replicas[id].Propose(ctx, []byte(command))
		cancel()
		if err == nil {
			return
		}
		if !errors.Is(err, core.ErrOutcomeUnknown) || time.Now().After(limit) {
			d.t.Fatalf("propose at %s: %v", id, err)
		}
	}
}

func (d *deployment) change(at core.ControlID, change raft.Change) {
	for limit := time.Now().Add(20 * time.Second); ; {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err := d.replicas[at].Change(ctx, change)
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(limit) {
			d.t.Fatalf("change at %s: %v", at, err)
		}
	}
}

// Guards against proposals, forwarded proposals and reads that fail over real sockets and files, also after a restart and
// after the loss of a disk.
func TestReplicasOverLoopback(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(t, "c1", "c2", "c3")
	d.propose("c1", "a=1")
	d.propose("c2", "b=2")
	d.propose("c3", "c=3")
	c.Assert(d.replicas["c2"].ConfirmRead(t.Context()), qt.IsNil)
	c.Assert(d.replicas["c1"].Send("c2", "topic", []byte("payload")), qt.IsTrue)
	c.Assert(<-d.topics, qt.Equals, "c1 topic payload")

	d.stop("c3")
	d.propose("c1", "d=4")
	d.start("c3")
	d.propose("c3", "e=5")

	d.stop("c2")
	options := d.options["c2"]
	options.DataFolder = t.TempDir()
	d.options["c2"] = options
	d.start("c2")
	d.change("c1", raft.Change{
		Kind: raft.ChangeReplace,
		Peer: d.replicas["c2"].Self(),
	})
	d.change("c1", raft.Change{
		Kind: raft.ChangePromote,
		Peer: d.replicas["c2"].Self(),
	})
	d.propose("c2", "f=6")
	d.stop("c1")
	d.propose("c2", "g=7")
	c.Assert(d.replicas["c2"].ConfirmRead(t.Context()), qt.IsNil)
	c.Assert(d.replicas["c2"].Status().Voters, qt.DeepEquals, []core.ControlID{"c1", "c2", "c3"})
	d.stop("c2")
	c.Assert(d.machines["c2"], qt.DeepEquals, registers{"a": "1", "b": "2", "c": "3", "d": "4", "e": "5", "f": "6", "g": "7"})
}

// Guards against a replica that continues after a disk error, and against a process that is not told to exit.
func TestDiskFaultStopsTheReplica(t *testing.T) {
	c := qt.New(t)
	folder := disktest.NewMemory()
	replica, stop, err := New(Options{
		Self:      "c1",
		Folder:    folder,
		Listen:    "127.0.0.1:0",
		Members:   []Member{{ID: "c1"}},
		Bootstrap: true,
		Logger:    zerolog.Nop(),
	}, registers{})
	c.Assert(err, qt.IsNil)
	defer stop()
	_, err = replica.Propose(t.Context(), []byte("kept"))
	c.Assert(err, qt.IsNil)
	folder.SetCapacity(1)
	_, err = replica.Propose(t.Context(), []byte("lost"))
	c.Assert(errors.Is(err, core.ErrOutcomeUnknown), qt.IsTrue)
	c.Assert(errors.Is(<-replica.Failed(), disk.ErrFailed), qt.IsTrue)
	_, err = replica.Propose(t.Context(), []byte("refused"))
	c.Assert(errors.Is(err, core.ErrNoLeader), qt.IsTrue)
}

func BenchmarkPropose(b *testing.B) {
	for _, clients := range []int{1, 64} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			d := newDeployment(b, "c1", "c2", "c3")
			d.propose("c1", "first")
			command := append([]byte("benchmark="), make([]byte, 990)...)
			var next atomic.Int64
			var running sync.WaitGroup
			b.ResetTimer()
			for range clients {
				running.Go(func() {
					for next.Add(1) <= int64(b.N) {
						if _, err := d.replicas["c1"].Propose(b.Context(), command); err != nil {
							b.Error(err)
						}
					}
				})
			}
			running.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}

// failingMachine is a state machine that cannot apply any command.
type failingMachine struct{ registers }

func (failingMachine) Apply(core.LogIndex, []byte) ([]byte, error) { return nil, io.ErrUnexpectedEOF }

// Guards against a replica that continues after a command that its state machine cannot apply.
func TestApplyErrorStopsTheReplica(t *testing.T) {
	c := qt.New(t)
	a, err := newApplier(nil, failingMachine{}, raft.Snapshot{}, func(raft.RequestID, []byte) { t.Error("the command was answered") })
	c.Assert(err, qt.IsNil)
	_, err = a.apply(stepResult{committed: []raft.Entry{{Index: 1, Kind: raft.EntryCommand}}})
	c.Assert(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
	c.Assert(a.applied, qt.Equals, core.LogIndex(0))
}
