package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
)

const (
	clockTicksPerSecond = 100 // USER_HZ on Linux
	measurementDuration = 10 * time.Second
)

// usage holds the resources that a process uses.
type usage struct {
	cpuTime       time.Duration // user and system time since the start
	residentBytes int64         // resident set size
}

// usage reads the resource usage of a process from /proc/PID/stat.
func (d *deployment) usage(name string) usage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.processes[name].Process.Pid))
	d.c.Assert(err, qt.IsNil)
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	number := func(i int) int64 {
		value, err := strconv.ParseInt(fields[i], 10, 64)
		d.c.Assert(err, qt.IsNil)
		return value
	}
	return usage{
		cpuTime:       time.Duration(number(11)+number(12)) * time.Second / clockTicksPerSecond,
		residentBytes: number(21) * int64(os.Getpagesize()),
	}
}

// distributionBytes returns the number of bytes that the process with this metrics address has sent and received to
// distribute configuration and status.
func (d *deployment) distributionBytes(address string) float64 {
	_, body := d.get("http://" + address + "/metrics")
	sum := 0.0
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		if found && (name == "parsleyport_distribution_sent_bytes_total" || name == "parsleyport_distribution_received_bytes_total") {
			parsed, err := strconv.ParseFloat(value, 64)
			d.c.Assert(err, qt.IsNil)
			sum += parsed
		}
	}
	return sum
}

// configurationOf returns a submission of the given number of services, each with two upstreams, a policy and two routes.
func configurationOf(services int, version core.RecordVersion) core.Submission {
	submission := core.Submission{
		ID:       core.SubmissionID(fmt.Sprintf("planned-%d-%d", services, version)),
		Operator: "test",
	}
	for i := range services {
		for _, r := range transcriptsSubmission(version).Records {
			name := fmt.Sprintf("service-%d", i)
			r.Name = strings.Replace(r.Name, "transcripts", name, 1) + lo.Ternary(r.Kind == core.KindRoute, "-"+name, "")
			r.Body = bytes.ReplaceAll(r.Body, []byte("transcripts"), []byte(name))
			submission.Records = append(submission.Records, r)
		}
	}
	return submission
}

// BenchmarkFleet measures the resource usage of nodes and control instances against the number of nodes and the size of the
// configuration: while nothing changes, and for each change of one service. docs/CAPACITY.md is calculated from the results.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ nodes, services int }{{10, 10}, {25, 10}, {50, 10}, {50, 170}} {
		b.Run(fmt.Sprintf("nodes=%d/services=%d", size.nodes, size.services), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size.nodes, size.services)
			}
		})
	}
}

func measureFleet(b *testing.B, nodes, services int) {
	d := newDeployment(qt.New(b))
	d.startControls()
	client := d.client(d.leader())
	verdict := d.submit(client, configurationOf(services, 1))
	names := lo.Map(lo.RangeFrom(1, nodes), func(i, _ int) string { return fmt.Sprintf("n%d", i) })
	for i := 1; i <= nodes; i++ {
		d.startNode(i)
		d.startBackendOf(i, fmt.Sprintf("service-%d", i%services), "v1")
	}
	d.awaitCondition("all nodes are ready", 60*time.Second, func() bool { return lo.EveryBy(names, d.ready) })
	inForce := func(revision core.Revision) func() bool {
		return func() bool {
			status, err := d.status(client)
			return err == nil && status.Fleet.Nodes == nodes && status.Fleet.LowestInForce >= revision
		}
	}
	d.awaitCondition("all endpoints are known", 60*time.Second, func() bool {
		status, err := d.status(client)
		return err == nil && lo.Sum(lo.Values(status.Fleet.Endpoints)) == nodes
	})
	d.awaitCondition("the configuration is in force", 60*time.Second, inForce(verdict.Revision))

	before := lo.SliceToMap(names, func(name string) (string, usage) { return name, d.usage(name) })
	bytesBefore := lo.SumBy(names, func(name string) float64 { return d.distributionBytes(d.address(name + "-admin")) })
	began := time.Now()
	time.Sleep(measurementDuration) // no change is submitted in this time
	span := time.Since(began).Seconds()
	bytesAfter := lo.SumBy(names, func(name string) float64 { return d.distributionBytes(d.address(name + "-admin")) })
	cpuSeconds, maxResidentBytes := 0.0, int64(0)
	for _, name := range names {
		now := d.usage(name)
		cpuSeconds += (now.cpuTime - before[name].cpuTime).Seconds()
		maxResidentBytes = max(maxResidentBytes, now.residentBytes)
	}
	b.ReportMetric((bytesAfter-bytesBefore)/span/float64(nodes), "control-B/s/node")
	b.ReportMetric(cpuSeconds/span/float64(nodes)*100, "idle-%core/node")
	b.ReportMetric(float64(maxResidentBytes)/(1<<20), "max-node-MiB")
	b.ReportMetric(float64(d.usage("c1").residentBytes)/(1<<20), "control-MiB")

	bytesBefore = lo.SumBy(names, func(name string) float64 { return d.distributionBytes(d.address(name + "-admin")) })
	const changes = 10
	var slowest time.Duration
	for version := range changes {
		verdict = d.submit(client, serviceSubmission("service-0", core.RecordVersion(version+2)))
		slowest = max(slowest, d.awaitCondition("the change is in force", 14*time.Second, inForce(verdict.Revision)))
	}
	bytesAfter = lo.SumBy(names, func(name string) float64 { return d.distributionBytes(d.address(name + "-admin")) })
	b.ReportMetric(float64(slowest.Milliseconds()), "slowest-change-ms")
	b.ReportMetric((bytesAfter-bytesBefore)/changes/float64(nodes), "B/change/node")
	d.killAll()
}

// BenchmarkLeaderLoss measures the time from the kill or the planned stop of the leading control instance until the other
// instances accept a submission.
func BenchmarkLeaderLoss(b *testing.B) {
	b.Run("kill", func(b *testing.B) {
		measureLeaderLoss(b, func(d *deployment, name string) { d.kill(name) })
	})
	b.Run("stop", func(b *testing.B) {
		measureLeaderLoss(b, func(d *deployment, name string) { d.signal(name, syscall.SIGTERM) })
	})
}

func measureLeaderLoss(b *testing.B, stopLeader func(d *deployment, name string)) {
	d := newDeployment(qt.New(b))
	d.startControls()
	var longest, sum time.Duration
	rounds := 0
	for b.Loop() {
		leading := d.leader()
		others := lo.Without([]int{1, 2, 3}, leading)
		rounds++
		name := fmt.Sprintf("c%d", leading)
		process := d.processes[name]
		began := time.Now()
		stopLeader(d, name)
		d.submit(d.client(others...), serviceSubmission("after-loss", core.RecordVersion(rounds)))
		took := time.Since(began)
		longest, sum = max(longest, took), sum+took
		_ = process.Wait() // releases its addresses and its data folder
		d.startControl(leading)
	}
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
	b.ReportMetric(float64(sum.Milliseconds())/float64(rounds), "mean-ms")
	d.killAll()
}

// BenchmarkReconnect measures the time, CPU time and traffic of the control instances when all of them are killed and
// restarted and all nodes attach again.
func BenchmarkReconnect(b *testing.B) {
	for _, nodes := range []int{10, 25, 50, 100} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				measureReconnect(b, nodes)
			}
		})
	}
}

func measureReconnect(b *testing.B, nodes int) {
	d := newDeployment(qt.New(b))
	d.startControls()
	verdict := d.submit(d.client(d.leader()), configurationOf(170, 1))
	for i := 1; i <= nodes; i++ {
		d.startNode(i)
	}
	attached := func() bool {
		status, err := d.status(d.client())
		return err == nil && status.Current && status.Fleet.Nodes == nodes && status.Fleet.LowestInForce >= verdict.Revision
	}
	d.awaitCondition("all nodes are attached", 60*time.Second, attached)
	for i := 1; i <= controlCount; i++ {
		d.kill(fmt.Sprintf("c%d", i))
	}
	d.startControls()
	took := d.awaitCondition("all nodes are attached again", 60*time.Second, attached)
	cpuTime, sent := time.Duration(0), 0.0
	for i := 1; i <= controlCount; i++ {
		cpuTime += d.usage(fmt.Sprintf("c%d", i)).cpuTime
		sent += d.distributionBytes(d.operatorAddress(i))
	}
	b.ReportMetric(float64(took.Milliseconds()), "attached-ms")
	b.ReportMetric(float64(cpuTime.Milliseconds()), "control-cpu-ms")
	b.ReportMetric(sent/float64(nodes), "control-B/node")
	d.killAll()
}
