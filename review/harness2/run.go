package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// errNotRun is the value of a panic that ends a case which cannot be run.
type errNotRun string

func failf(format string, args ...any) { panic(errNotRun(fmt.Sprintf(format, args...))) }

// run is one run of a case: its record, its temporary folder, its addresses and the processes that it has started.
type run struct {
	trouble bool
	began   time.Time
	folder  string
	ports   ports
	network string // the first three numbers of all addresses
	site    site

	mu        sync.Mutex // guards the fields below
	record    *os.File
	processes []*process
	closed    bool
	addresses int
}

// site holds the settings in which the deployments of the cases differ.
type site struct {
	linkMbps   string
	memoryMB   int    // of a sidecar machine
	contracts  string // after the common ones
	bounds     string // further lines
	retrySlack int
}

// smallSite is like pamoja-mesh, and uploadSite like coralbay-lab-grown.
var (
	smallSite = site{
		linkMbps:   "1000.0",
		memoryMB:   284,
		contracts:  "rollout",
		retrySlack: 62,
	}
	uploadSite = site{
		linkMbps:   "11.0",
		memoryMB:   184,
		contracts:  "health,pool,rollout,tenants,quota",
		bounds:     "bounds.revocation-strict=false\nbounds.revocation=5000ms\nbounds.quota-window=5s\nbounds.quota-overshoot=0.1\nbounds.quota-slack=20\n",
		retrySlack: 210,
	}
)

// ports are the same on all machines of a run.
type ports struct {
	outbound, inbound, ready, control, application int
	firstInternal, lastInternal                    int
}

func newRun(record string, trouble bool) (*run, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	r := &run{
		trouble: trouble,
		began:   time.Now(),
		folder:  folder,
		network: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250)),
		record:  file,
		site:    smallSite,
	}
	first := 20_000 + rand.IntN(10_000)
	r.ports = ports{
		outbound:      first,
		inbound:       first + 1,
		ready:         first + 2,
		control:       first + 3,
		application:   first + 4,
		firstInternal: first + 10,
		lastInternal:  first + 25,
	}
	r.notef("trouble: %t", trouble)
	return r, nil
}

// notef writes a line to the record.
func (r *run) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (r *run) close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.closed = true
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	_ = os.RemoveAll(r.folder)
}

// machine is one machine of the platform with its process.
type machine struct {
	run      *run
	name     string
	role     string
	ip       string
	zone     string
	service  string // beside a node
	first    bool   // is-first-start
	seeds    []*machine
	settings string
	process  *process
	upstream *upstream
}

func (r *run) newMachine(name, role, zone, service string) *machine {
	r.mu.Lock()
	r.addresses++
	number := r.addresses
	r.mu.Unlock()
	m := &machine{
		run:     r,
		name:    name,
		role:    role,
		ip:      fmt.Sprintf("%s.%d", r.network, number),
		zone:    zone,
		service: service,
		first:   true,
	}
	if err := os.MkdirAll(filepath.Join(r.folder, name, "data"), 0o700); err != nil {
		failf("%v", err)
	}
	m.settings = filepath.Join(r.folder, name, "boot.conf")
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settingsText returns the settings file as DEPLOY.md describes it.
func (m *machine) settingsText() string {
	p := m.run.ports
	text := fmt.Sprintf("node-name=%s\nrole=%s\nip-address=%s\nzone=%s\nregion=nairobi\nzones.%s=nairobi\n", m.name, m.role, m.ip, m.zone, m.zone)
	if m.role == "control" {
		text += fmt.Sprintf("machine-class=core\nserves=control\nlisten-addresses.control=%s\ncounted-in-tolerance=true\ndata-directory=%s\n"+
			"limits.disk-mb=256\nlimits.memory-mb=280\nlimits.link-mbps=170.0\nlimits.file-descriptors=4096\n", m.address(p.control), filepath.Join(m.run.folder, m.name, "data"))
	} else {
		text += fmt.Sprintf("machine-class=sidecar\nserves=sidecar\nlisten-addresses.inbound=%s\nlisten-addresses.outbound=%s\nlisten-addresses.ready=%s\n"+
			"listen-addresses.control=%s\napplication-address=%s\nservice=%s\ncounted-in-tolerance=false\nlimits.disk-mb=0\nlimits.memory-mb=%d\n"+
			"limits.link-mbps=%s\nlimits.file-descriptors=4100\n", m.address(p.inbound), m.address(p.outbound), m.address(p.ready), m.address(p.control), m.address(p.application), m.service,
			m.run.site.memoryMB, m.run.site.linkMbps)
	}
	seeds := ""
	for i, seed := range m.seeds {
		if i > 0 {
			seeds += ","
		}
		seeds += seed.address(p.control)
	}
	return text + fmt.Sprintf("internal-port-range=%d,%d\nseeds=%s\nis-first-start=%t\n", p.firstInternal, p.lastInternal, seeds, m.first) +
		"limits.cpu-share=1\nlimits.cpu-cores=1\ndiscovery=local\nentry=local\nheartbeat-interval=1500ms\n" +
		"contracts=base,drain,config,cost,retry,recover," + m.run.site.contracts + "\nfault-tolerance.machines=1\nfault-tolerance.zones=0\nfault-tolerance.regions=0\n" +
		"bounds.seed-lag=3s\nbounds.address-reuse=2s\nbounds.touch=3000ms\nbounds.acknowledge-timeout=4000ms\nbounds.catch-up=4s\n" +
		"bounds.drain-timeout=2000ms\nbounds.grace=6s\nbounds.loss-slack=200ms\nbounds.configuration-apply=2000ms\nbounds.rollback-slack=250ms\n" +
		"bounds.max-stretch=5000ms\nbounds.retry-budget-ratio=0.2\nbounds.budget-window=10s\nbounds.retry-budget-slack=" + strconv.Itoa(m.run.site.retrySlack) + "\n" +
		"bounds.exposure-share=0.1\nbounds.exposure-slack=50\nbounds.rollback=5000ms\nbounds.recovery=15s\n" + m.run.site.bounds
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() {
	if err := os.WriteFile(m.settings, []byte(m.settingsText()), 0o600); err != nil {
		failf("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(m.run.folder, m.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		failf("%v", err)
	}
	command := exec.Command("target/parsleyport-platform", m.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PARSLEYPORT_NODE_FILE=" + m.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		failf("start %s: %v", m.name, err)
	}
	p := &process{
		command: command,
		ended:   make(chan struct{}),
	}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	m.process = p
	m.run.mu.Lock()
	m.run.processes = append(m.run.processes, p)
	m.run.mu.Unlock()
	m.first = false
	m.run.notef("%s started at %s", m.name, m.ip)
}

// process is a started process.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	select {
	case <-p.ended:
	case <-time.After(5 * time.Second):
	}
}

// deployment is a small deployment of control instances and nodes.
type deployment struct {
	run      *run
	controls []*machine
	nodes    []*machine
}

// startDeployment starts control instances, and one node for each of the services named.
func (r *run) startDeployment(controls int, services ...string) *deployment {
	d := &deployment{
		run: r,
	}
	for i := range controls {
		d.controls = append(d.controls, r.newMachine(fmt.Sprintf("core-zone-%d", i+1), "control", "zone", ""))
	}
	for i, service := range services {
		d.nodes = append(d.nodes, r.newMachine(fmt.Sprintf("sidecar-zone-%d", i+1), "node", "zone", service))
	}
	for _, m := range append(append([]*machine(nil), d.controls...), d.nodes...) {
		m.seeds = d.controls[:min(3, len(d.controls))]
		m.start()
	}
	return d
}

// awaitReady waits until all nodes answer the readiness check.
func (d *deployment) awaitReady() {
	for _, node := range d.nodes {
		d.run.await("readiness of "+node.name, 20*time.Second, func() bool {
			return getStatus("http://"+node.address(d.run.ports.ready)+"/parsleyport/readiness") == 200
		})
	}
}

// await polls a condition that must become true before the case goes on.
func (r *run) await(what string, limit time.Duration, condition func() bool) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	failf("%s: not within %s", what, limit)
}

func listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		failf("%v", err)
	}
	return listener
}
