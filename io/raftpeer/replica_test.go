package raftpeer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
	"parsleyport/io/disk"
	"parsleyport/io/disk/disktest"
	"parsleyport/io/raftpeer"
)

// journal is a state machine that keeps all commands and answers each one with their number.
type journal struct{ Commands []string }

func (j *journal) Apply(_ core.LogIndex, command []byte) []byte {
	if len(command) < 100 { // not those of the benchmark, whose snapshots stay small
		j.Commands = append(j.Commands, string(command))
	}
	result, _ := json.Marshal(len(j.Commands))
	return result
}

func (j *journal) Snapshot() ([]byte, error)     { return json.Marshal(j) }
func (j *journal) Restore(snapshot []byte) error { return json.Unmarshal(snapshot, j) }

type deployment struct {
	t        testing.TB
	options  map[core.ControlID]raftpeer.Options
	replicas map[core.ControlID]*raftpeer.Replica
	journals map[core.ControlID]*journal
	stops    map[core.ControlID]func()
	topics   chan string
}

func newDeployment(t testing.TB, ids ...core.ControlID) *deployment {
	d := &deployment{
		t:        t,
		options:  make(map[core.ControlID]raftpeer.Options),
		replicas: make(map[core.ControlID]*raftpeer.Replica),
		journals: make(map[core.ControlID]*journal),
		stops:    make(map[core.ControlID]func()),
		topics:   make(chan string, 1),
	}
	var members []raftpeer.Member
	for _, id := range ids {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		members = append(members, raftpeer.Member{
			ID:         id,
			Address:    listener.Addr().String(),
			DataCentre: core.DataCentre("dc-" + id),
		})
		_ = listener.Close()
	}
	for _, member := range members {
		d.options[member.ID] = raftpeer.Options{
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
	d.journals[id] = &journal{}
	replica, stop, err := raftpeer.New(d.options[id], d.journals[id])
	if err != nil {
		d.t.Fatal(err)
	}
	d.replicas[id], d.stops[id] = replica, stop
}

func (d *deployment) stop(id core.ControlID) {
	d.stops[id]()
	delete(d.stops, id)
}

// propose repeats a command whose outcome is unknown, as a client does that can tell its duplicates apart.
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

// Guards against proposals, forwarded proposals and reads that do not work over real sockets and files, also after a
// restart and after the loss of a disk.
func TestReplicasOverLoopback(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(t, "c1", "c2", "c3")
	d.propose("c1", "a")
	d.propose("c2", "b")
	d.propose("c3", "c")
	c.Assert(d.replicas["c2"].ConfirmRead(t.Context()), qt.IsNil)
	c.Assert(d.replicas["c1"].Send("c2", "topic", []byte("payload")), qt.IsTrue)
	c.Assert(<-d.topics, qt.Equals, "c1 topic payload")

	d.stop("c3")
	d.propose("c1", "d")
	d.start("c3")
	d.propose("c3", "e")

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
	d.propose("c2", "f")
	d.stop("c1")
	d.propose("c2", "g")
	c.Assert(d.replicas["c2"].ConfirmRead(t.Context()), qt.IsNil)
	c.Assert(d.replicas["c2"].Status().Voters, qt.DeepEquals, []core.ControlID{"c1", "c2", "c3"})
	d.stop("c2")
	c.Assert(lo.Uniq(d.journals["c2"].Commands), qt.DeepEquals, []string{"a", "b", "c", "d", "e", "f", "g"})
}

// Guards against a replica that goes on after a disk fault, and against a process that is not told to exit.
func TestDiskFaultStopsTheReplica(t *testing.T) {
	c := qt.New(t)
	folder := disktest.NewMemory()
	replica, stop, err := raftpeer.New(raftpeer.Options{
		Self:      "c1",
		Folder:    folder,
		Listen:    "127.0.0.1:0",
		Members:   []raftpeer.Member{{ID: "c1"}},
		Bootstrap: true,
		Logger:    zerolog.Nop(),
	}, &journal{})
	c.Assert(err, qt.IsNil)
	defer stop()
	_, err = replica.Propose(t.Context(), []byte("kept"))
	c.Assert(err, qt.IsNil)
	folder.Limit(1)
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
			command := make([]byte, 1000)
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
