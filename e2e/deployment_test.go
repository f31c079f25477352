package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// programs holds the paths of the binaries, which are built once for all tests.
var programs struct {
	parsleyport string
	standin     string
}

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "parsleyport-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	programs.parsleyport = filepath.Join(folder, "parsleyport")
	programs.standin = filepath.Join(folder, "standin")
	for program, source := range map[string]string{programs.parsleyport: "parsleyport", programs.standin: "parsleyport/standin"} {
		if output, err := exec.Command("go", "build", "-o", program, source).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", source, err, output)
			return 1
		}
	}
	return m.Run()
}

// controlCount is the number of control instances of a deployment.
const controlCount = 3

// nextPort starts at a random port, so that concurrent test runs rarely try the same ports.
var nextPort = func() *atomic.Uint32 {
	port := &atomic.Uint32{}
	port.Store(rand.Uint32N(20_000))
	return port
}()

// deployment is a set of processes on loopback addresses, which are killed at the end of the test.
type deployment struct {
	c         *qt.C
	folder    string
	addresses map[string]string
	processes map[string]*exec.Cmd
	tokenFile string         // of the control instances; empty for none
	limits    map[string]int // "limits" in the settings of the control instances; nil for the defaults
}

func newDeployment(c *qt.C) *deployment {
	d := &deployment{
		c:         c,
		folder:    c.TempDir(),
		addresses: make(map[string]string),
		processes: make(map[string]*exec.Cmd),
	}
	c.Cleanup(d.killAll)
	return d
}

// killAll kills all processes and, if the test has failed, logs the last lines of each process's output.
func (d *deployment) killAll() {
	for name := range d.processes {
		d.kill(name)
	}
	if d.c.Failed() {
		d.logTails()
	}
}

func (d *deployment) logTails() {
	files, _ := filepath.Glob(filepath.Join(d.folder, "*.log"))
	for _, file := range files {
		content, _ := os.ReadFile(file)
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		d.c.Logf("%s:\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-8):], "\n"))
	}
}

// address returns the loopback address that belongs to a name. The first call for a name picks a free one.
func (d *deployment) address(name string) string {
	if known, exists := d.addresses[name]; exists {
		return known
	}
	for {
		// The port is below the ephemeral range of the operating system, so that no outgoing connection takes it.
		address := fmt.Sprintf("127.0.0.1:%d", 10_000+nextPort.Add(1)%20_000)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		d.addresses[name] = address
		return address
	}
}

func dataCentre(i int) string {
	return fmt.Sprintf("dc-%c", 'a'+(i-1)%3)
}

func (d *deployment) writeSettings(name string, settings map[string]any) string {
	text, err := json.Marshal(settings)
	d.c.Assert(err, qt.IsNil)
	path := filepath.Join(d.folder, name+".jsonc")
	d.c.Assert(os.WriteFile(path, text, 0o600), qt.IsNil)
	return path
}

func (d *deployment) startControl(i int) {
	var members []map[string]any
	for m := 1; m <= controlCount; m++ {
		members = append(members, map[string]any{
			"id":               fmt.Sprintf("c%d", m),
			"data-centre":      dataCentre(m),
			"operator-address": d.operatorAddress(m),
			"peer-address":     d.address(fmt.Sprintf("c%d-peer", m)),
			"node-address":     d.address(fmt.Sprintf("c%d-node", m)),
		})
	}
	settings := map[string]any{
		"data-folder": d.dataFolder(i),
		"bootstrap":   true,
		"members":     members,
		"token-file":  d.tokenFile,
	}
	if d.limits != nil {
		settings["limits"] = d.limits
	}
	for key, value := range members[i-1] {
		settings[key] = value
	}
	name := fmt.Sprintf("c%d", i)
	d.start(name, programs.parsleyport, "control", "--settings", d.writeSettings(name, settings))
}

func (d *deployment) startControls() {
	for i := 1; i <= controlCount; i++ {
		d.startControl(i)
	}
}

func (d *deployment) dataFolder(i int) string {
	return filepath.Join(d.folder, fmt.Sprintf("data-%d", i))
}

func (d *deployment) operatorAddress(i int) string {
	return d.address(fmt.Sprintf("c%d-operator", i))
}

func (d *deployment) startNode(i int) {
	var controlAddresses []string
	for m := 1; m <= controlCount; m++ {
		controlAddresses = append(controlAddresses, d.address(fmt.Sprintf("c%d-node", m)))
	}
	name := fmt.Sprintf("n%d", i)
	d.start(name, programs.parsleyport, "node", "--settings", d.writeSettings(name, map[string]any{
		"id":                name,
		"data-centre":       dataCentre(i),
		"caller-address":    d.address(name + "-caller"),
		"peer-address":      d.address(name + "-peer"),
		"relay-address":     d.address(name + "-relay"),
		"backend-address":   d.address(name + "-backend"),
		"admin-address":     d.address(name + "-admin"),
		"control-addresses": controlAddresses,
	}))
}

func (d *deployment) startBackend(i int, release string) {
	d.startBackendOf(i, "transcripts", release)
}

func (d *deployment) startBackendOf(i int, service, release string) {
	name := fmt.Sprintf("b%d", i)
	d.start(name, programs.standin, "backend",
		"--listen", d.address(name), "--announce", d.address(fmt.Sprintf("n%d-backend", i)),
		"--service", service, "--release", release,
		"--run-log", filepath.Join(d.folder, "runs-"+name+".runs"))
}

func (d *deployment) start(name, program string, args ...string) {
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.c.Assert(err, qt.IsNil)
	defer log.Close()
	process := exec.Command(program, args...)
	process.Stdout, process.Stderr = log, log
	d.c.Assert(process.Start(), qt.IsNil)
	d.processes[name] = process
}

// kill ends a process without notice, as a power failure would.
func (d *deployment) kill(name string) {
	process := d.processes[name]
	delete(d.processes, name)
	_ = process.Process.Kill()
	_ = process.Wait()
}

func (d *deployment) signal(name string, signal syscall.Signal) {
	d.c.Assert(d.processes[name].Process.Signal(signal), qt.IsNil)
}

// stop sends SIGTERM and checks that the process exits with status 0.
func (d *deployment) stop(name string) {
	process := d.processes[name]
	d.signal(name, syscall.SIGTERM)
	delete(d.processes, name)
	d.c.Assert(process.Wait(), qt.IsNil, qt.Commentf("%s did not stop with status 0", name))
}

// awaitCondition polls until the condition holds and returns the time that this took. It fails the test at the limit.
func (d *deployment) awaitCondition(description string, limit time.Duration, condition func() bool) time.Duration {
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			d.c.Fatalf("not met within %v: %s", limit, description)
		}
		time.Sleep(10 * time.Millisecond) // polling interval
	}
	return time.Since(began)
}

func (d *deployment) get(url string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	d.c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, bytes.TrimSpace(body)
}

func (d *deployment) ready(node string) bool {
	status, _ := d.get("http://" + d.address(node+"-admin") + "/ready")
	return status == http.StatusOK
}
