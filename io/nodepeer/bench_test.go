package nodepeer

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"parsleyport/core"
	"parsleyport/io/frame"
)

const (
	benchPeers     = 2700
	benchBusyPeers = 100
	benchDuration  = 3 * time.Second
)

// usedMemory returns the live memory after a garbage collection and the resident memory of the process, in KiB.
func usedMemory(b *testing.B) (live, resident float64) {
	runtime.GC()
	runtime.GC() // the second collection frees what sync.Pool keeps
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		b.Fatal(err)
	}
	_, after, _ := strings.Cut(string(status), "VmRSS:")
	if _, err := fmt.Sscan(after, &resident); err != nil {
		b.Fatal(err)
	}
	return float64(stats.HeapAlloc+stats.StackInuse) / 1024, resident
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

type benchNode struct {
	server *Server
	dialer *Dialer
}

// newBenchNode returns a node whose peers are all the server of the same process, over loopback.
func newBenchNode(b *testing.B) *benchNode {
	answer := make([]byte, 4<<10)
	backend := &countingBackend{handle: func(context.Context, *core.Call) (*core.Answer, core.Outcome, error) {
		a := answerWith(answer)
		a.Header.Set("Content-Length", fmt.Sprint(len(answer)))
		return a, core.OutcomeAnswered, nil
	}}
	server, stopServer, err := NewServer(ServerOptions{Address: "127.0.0.1:0", Backend: backend})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stopServer)
	dialer, stopDialer, err := NewDialer(DialerOptions{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", server.Address())
	}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stopDialer)
	return &benchNode{server: server, dialer: dialer}
}

func (n *benchNode) call(b *testing.B, peer int) {
	answer, _, err := n.dialer.Forward(context.Background(), core.Endpoint{Address: fmt.Sprint(peer)}, callFor("x", make([]byte, 1<<10)))
	if err != nil {
		b.Error(err)
		return
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		b.Error(err)
	}
}

// BenchmarkConnections measures a node that has made two concurrent calls to each of 2,700 peers and then calls 100 of them,
// first at a bounded rate and then without a pause. Both ends are in the process, as on a node that is called by as many
// others.
func BenchmarkConnections(b *testing.B) {
	debug.FreeOSMemory()
	n := newBenchNode(b)
	base, baseResident := usedMemory(b)
	times := hdrhistogram.New(1, 10_000_000, 3)
	for peer := range benchPeers {
		began := time.Now()
		n.call(b, peer)
		_ = times.RecordValue(time.Since(began).Microseconds())
		var second sync.WaitGroup
		for range 2 {
			second.Go(func() { n.call(b, peer) })
		}
		second.Wait()
	}
	idle, idleResident := usedMemory(b)
	b.ReportMetric(float64(n.dialer.dials.Get()), "connections")
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "first-call-p50-µs")
	b.ReportMetric(float64(times.ValueAtQuantile(99)), "first-call-p99-µs")
	b.ReportMetric((idle-base)/benchPeers, "idle-KiB/peer")
	b.ReportMetric((idleResident-baseResident)/1024, "idle-RSS-MiB")

	for _, name := range []string{"busy", "saturated"} {
		pause := time.Duration(0)
		if name == "busy" {
			pause = 100 * time.Millisecond // 4,000 calls a second
		}
		calls, spent := n.callBusyPeers(b, pause, func() {
			live, resident := usedMemory(b)
			b.ReportMetric((live-idle)/benchBusyPeers, name+"-KiB/peer")
			b.ReportMetric((resident-baseResident)/1024, name+"-RSS-MiB")
		})
		b.ReportMetric(float64(calls)/benchDuration.Seconds(), name+"-calls/s")
		b.ReportMetric(float64(spent.Microseconds())/float64(calls), name+"-processor-µs/call")
	}
}

// callBusyPeers makes four concurrent calls to each of 100 peers, and returns the number of calls and their processor time.
func (n *benchNode) callBusyPeers(b *testing.B, pause time.Duration, meanwhile func()) (int64, time.Duration) {
	var callers sync.WaitGroup
	var calls atomic.Int64
	began, spent := time.Now(), processorTime(b)
	for i := range 4 * benchBusyPeers {
		callers.Go(func() {
			for time.Since(began) < benchDuration {
				n.call(b, i%benchBusyPeers)
				calls.Add(1)
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(benchDuration * 2 / 3)
	meanwhile()
	callers.Wait()
	return calls.Load(), processorTime(b) - spent
}

// BenchmarkServerEnd measures only the server's end of idle connections; the other ends are plain sockets.
func BenchmarkServerEnd(b *testing.B) {
	n := newBenchNode(b)
	var ends []net.Conn
	base, _ := usedMemory(b)
	for i := range benchPeers {
		conn, err := net.Dial("tcp", n.server.Address())
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		ends = append(ends, conn)
		if err := frame.New(conn, nil).Send(time.Time{}, typeHello, helloMessage{Connection: uint64(i + 1)}); err != nil {
			b.Fatal(err)
		}
		if _, _, err := frame.Read(conn); err != nil {
			b.Fatal(err)
		}
	}
	idle, _ := usedMemory(b)
	runtime.KeepAlive(ends)
	b.ReportMetric((idle-base)/benchPeers, "idle-KiB/connection")
}
