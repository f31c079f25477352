package unknowncallers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/io/operatorhttp"
)

// The limits of each process under test, and what follows from them.
const (
	// goMemoryLimit is the soft memory limit (GOMEMLIMIT) of a process of the product. The platform's settings state residentBound.
	goMemoryLimit = 64 << 20
	// residentBound adds 32 MiB for what the soft limit does not cover, mainly the pages of the program file.
	residentBound = goMemoryLimit + 32<<20
	// descriptorLimit is the number of file descriptors that a process may open.
	descriptorLimit = 512
	// descriptorBound leaves descriptors for files and for the connections that a process opens itself.
	descriptorBound = descriptorLimit / 8 * 7

	startTimeout = 20 * time.Second
	pollInterval = 10 * time.Millisecond
)

// programs holds the folder of the binaries, which are built once for all tests.
var programs string

// deployment is shared by all tests, which run one at a time.
var deployment struct {
	folder    string
	network   int // second byte of the loopback addresses
	ports     int // first port
	processes map[string]*process
	broken    bool // it could not be started, so that no further test waits for it
}

// process is a running process. exited is closed at its end.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
}

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "parsleyport-unknown-callers-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	programs = folder
	for _, source := range []string{"parsleyport", "parsleyport/standin", "parsleyport/platform/cmd/parsleyport-platform"} {
		if output, err := exec.Command("go", "build", "-o", folder+"/", source).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", source, err, output)
			return 1
		}
	}
	deployment.folder = folder
	deployment.network = 1 + rand.IntN(250)
	deployment.ports = 10_000 + rand.IntN(18_000) // below the ephemeral range, so that no outgoing connection takes one
	deployment.processes = make(map[string]*process)
	defer func() {
		for name := range deployment.processes {
			kill(name)
		}
	}()
	return m.Run()
}

// Ports as offsets. The first ones are those of platform/ports.go.
const (
	portRaft = iota
	portControlNode
	portOperator
	_
	portPeer
	portRelay
	portCaller
	portBackend
	portAdmin
	portHeartbeat
	portReadiness
	portApplication
)

// Processes.
const (
	control         = "control"
	node            = "node"
	backend         = "backend"
	platformControl = "platform-control"
	platformNode    = "platform-node"
	farNode         = "far-node"
	neighbour       = "neighbour" // no process, only an address
)

var hosts = map[string]int{control: 1, node: 2, backend: 3, platformControl: 4, platformNode: 5, farNode: 6, neighbour: 7}

func host(process string) string {
	return fmt.Sprintf("127.%d.0.%d", deployment.network, hosts[process])
}

func address(process string, port int) string {
	return net.JoinHostPort(host(process), strconv.Itoa(deployment.ports+port))
}

// startProduct starts a control instance, a node and its backend server, unless they run.
func startProduct(c *qt.C) {
	member := map[string]any{
		"id": "c1", "data-centre": "dc-a", "operator-address": address(control, portOperator),
		"peer-address": address(control, portRaft), "node-address": address(control, portControlNode),
	}
	settings := map[string]any{"data-folder": filepath.Join(deployment.folder, "data"), "bootstrap": true, "members": []any{member}}
	for key, value := range member {
		settings[key] = value
	}
	isNew := start(c, control, "parsleyport", "control", "--settings", writeSettings(c, control, settings))
	await(c, "the control instance leads", func() bool { return answers(operatorRequest()) })
	if isNew {
		submitRoute(c)
	}
	start(c, node, "parsleyport", "node", "--settings", writeSettings(c, node, map[string]any{
		"id": "n1", "data-centre": "dc-a", "caller-address": address(node, portCaller), "peer-address": address(node, portPeer),
		"relay-address": address(node, portRelay), "backend-address": address(node, portBackend), "admin-address": address(node, portAdmin),
		"control-addresses": []string{address(control, portControlNode)},
	}))
	start(c, backend, "standin", "backend", "--listen", address(backend, portApplication), "--announce", address(node, portBackend),
		"--service", "transcripts", "--release", "v1", "--run-log", filepath.Join(deployment.folder, "runs"))
	await(c, "the node serves", func() bool { return answers(callerRequest()) })
}

// submitRoute submits one service with one route.
func submitRoute(c *qt.C) {
	submit(c, "transcripts-1",
		newRecord(core.KindService, "transcripts", `{"tenant":"platform"}`),
		newRecord(core.KindUpstream, "transcripts-v1", `{"service":"transcripts","release":"v1","slots":9}`),
		newRecord(core.KindPolicy, "transcripts", `{"service":"transcripts","weights":[{"upstream":"transcripts-v1","per-mille":1000}]}`),
		newRecord(core.KindRoute, "read", `{"path-prefix":"/transcripts","methods":["GET"],"service":"transcripts","idempotent":true,"timeout-ms":2000}`))
}

func newRecord(kind core.Kind, name, body string) core.Record {
	return core.Record{Kind: kind, Name: name, SchemaVersion: 1, Version: 1, Body: json.RawMessage(body)}
}

// submit submits records, which must be accepted.
func submit(c *qt.C, id core.SubmissionID, records ...core.Record) {
	client := operatorhttp.NewClient(operatorhttp.ClientOptions{Servers: []string{address(control, portOperator)}})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	verdict, err := client.Submit(ctx, core.Submission{
		ID:       id,
		Operator: "test",
		Records:  records,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Result, qt.Equals, catalog.Accepted, qt.Commentf("%+v", verdict))
}

// platformConfiguration is accepted once and acknowledged again afterwards.
const platformConfiguration = `{"version":1,"base-version":0,"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"3000ms","idle-timeout":"15000ms"},
"listeners":[{"host":"shop.example","rule-set":[{"name":"get","route-kind":"safe","target-latency":"300ms","priority":2,"match":{"path-prefix":"/get/"},
"action":{"traffic-split":[{"service":"orders","weight":1}],"timeout":"2s","attempts":2}}]}],
"clusters":[{"name":"orders","health-check-path":"/health","max-connections":130,"protocol":"h1","tls":false}]}`

// startPlatform starts the platform's control instance and node, unless they run.
func startPlatform(c *qt.C) {
	for role, name := range map[string]string{"control": platformControl, "node": platformNode} {
		listen := portOperator + 10
		if role == "node" {
			listen = portHeartbeat
		}
		text := fmt.Sprintf("node-name=%s\nip-address=%s\nzone=zone-1\nlisten-addresses.control=%s\nlisten-addresses.metrics=%s\n"+
			"internal-port-range=%d,%d\nseeds=%s\nis-first-start=true\nheartbeat-interval=300ms\nfault-tolerance.machines=0\nbounds.grace=4s\n"+
			"bounds.retry-budget-ratio=0.2\nbounds.budget-window=10s\nbounds.retry-budget-slack=62\nlimits.memory-mb=%d\nlimits.file-descriptors=%d\n",
			name, host(name), address(name, listen), address(name, portAdmin), deployment.ports, deployment.ports+portRelay, address(platformControl, portOperator+10),
			residentBound>>20, descriptorLimit)
		if role == "control" {
			text += "data-directory=" + filepath.Join(deployment.folder, "platform-data") + "\n"
		} else {
			text += fmt.Sprintf("listen-addresses.ready=%s\nlisten-addresses.outbound=%s\napplication-address=%s\nservice=orders\n",
				address(name, portReadiness), address(name, portCaller), address(name, portApplication))
		}
		path := filepath.Join(deployment.folder, name+".conf")
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		start(c, name, "parsleyport-platform", role)
	}
	await(c, "the platform's configuration is accepted", func() bool {
		return answers(newRequest(http.MethodPost, "http://"+address(platformControl, portOperator+10)+"/parsleyport/Configuration.Put", platformConfiguration))
	})
	await(c, "the platform's node listens", func() bool { return answers(readinessRequest(), http.StatusOK, http.StatusServiceUnavailable) })
}

func writeSettings(c *qt.C, name string, settings map[string]any) string {
	text, err := json.Marshal(settings)
	c.Assert(err, qt.IsNil)
	path := filepath.Join(deployment.folder, name+".jsonc")
	c.Assert(os.WriteFile(path, text, 0o600), qt.IsNil)
	return path
}

// start starts a process with the limits of the test, and returns false if it runs already.
func start(c *qt.C, name, program string, args ...string) bool {
	if _, running := deployment.processes[name]; running {
		return false
	}
	log, err := os.OpenFile(logFile(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Assert(err, qt.IsNil)
	defer log.Close()
	limited := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, descriptorLimit), "sh", filepath.Join(programs, program)}, args...)
	command := exec.Command("sh", limited...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "PARSLEYPORT_NODE_FILE="+filepath.Join(deployment.folder, name+".conf"))
	if program == "parsleyport" { // the platform's program gets its limits from its settings
		command.Env = append(command.Env, fmt.Sprintf("GOMEMLIMIT=%d", goMemoryLimit))
	}
	c.Assert(command.Start(), qt.IsNil)
	p := &process{command: command, exited: make(chan struct{})}
	deployment.processes[name] = p
	go func() {
		defer close(p.exited)
		_ = command.Wait()
	}()
	return true
}

func logFile(name string) string {
	return filepath.Join(deployment.folder, name+".log")
}

func kill(name string) {
	p := deployment.processes[name]
	delete(deployment.processes, name)
	_ = p.command.Process.Kill()
	<-p.exited
}

func logTail(name string) string {
	content, _ := os.ReadFile(logFile(name))
	lines := bytes.Split(bytes.TrimSpace(content), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-5):], []byte("\n")))
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// resetPeak sets the peak of the resident set size to its present value.
func (p *process) resetPeak(c *qt.C) {
	c.Assert(os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.command.Process.Pid), []byte("5"), 0), qt.IsNil)
}

// memory returns the present resident set size and its peak since resetPeak, in bytes.
func (p *process) memory(c *qt.C) (present, peak int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	c.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(status)) {
		_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &present)
		_, _ = fmt.Sscanf(line, "VmHWM: %d kB", &peak)
	}
	c.Assert(present > 0 && peak > 0, qt.IsTrue, qt.Commentf("%s", status))
	return present << 10, peak << 10
}

// descriptors returns the number of open file descriptors.
func (p *process) descriptors(c *qt.C) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	c.Assert(err, qt.IsNil)
	return len(entries)
}

func await(c *qt.C, description string, condition func() bool) {
	c.Helper()
	c.Assert(deployment.broken, qt.IsFalse, qt.Commentf("the processes could not be started before"))
	for deadline := time.Now().Add(startTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			for name := range deployment.processes {
				c.Logf("%s:\n%s", name, logTail(name))
			}
			deployment.broken = true
			c.Fatalf("not met within %v: %s", startTimeout, description)
		}
	}
}
