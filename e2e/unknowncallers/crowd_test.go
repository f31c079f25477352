package unknowncallers

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// answerTimeout is the time in which an ordinary request must be answered, attempts included.
	answerTimeout = 5 * time.Second
	// scriptTimeout ends a client whose server neither reads nor closes the connection.
	scriptTimeout = 3 * time.Second
	// settleTimeout bounds the wait until a process has read what the clients have sent.
	settleTimeout = 2 * time.Second
)

// target is a listening port of a process.
type target struct {
	process string
	address string
	// watched lists the processes that are checked; nil means only process.
	watched []string
	// start starts the processes, unless they run.
	start func(c *qt.C)
	// request is the port's ordinary request, which must be answered.
	request func() bool
}

// crowd is a set of clients that run the same script with different random values.
type crowd struct {
	name string
	size int
	// script writes to one connection, and returns after an error or when it has written everything. It keeps the connection open.
	script func(r *rand.Rand, w io.Writer) error
	// halfClose ends the client's side of each connection after the script.
	halfClose bool
	// requestWhileOpen expects an answer to the ordinary request while the clients keep their connections.
	requestWhileOpen bool
	// neighbour, if it is not nil, is a request of a client with another address that must be answered while the clients keep their
	// connections.
	neighbour func() bool
	// unread clients never read.
	unread bool
	// leave makes each client close its connection after the script, without waiting for the others.
	leave bool
	// stay is how long the clients keep their connections after their scripts.
	stay time.Duration
	// patience bounds the time for a script; zero stands for scriptTimeout.
	patience time.Duration
}

// attack runs crowds against a port, one after the other, and checks the processes after each of them.
func attack(t *testing.T, at target, crowds []crowd) {
	watched := at.watched
	if watched == nil {
		watched = []string{at.process}
	}
	for i, each := range crowds {
		t.Run(strings.ReplaceAll(each.name, " ", "-"), func(t *testing.T) {
			c := qt.New(t)
			at.start(c)
			checks := make(map[string]*processCheck)
			defer func() {
				if !t.Failed() {
					return
				}
				for _, name := range watched {
					t.Logf("%s: %s", name, logTail(name))
					kill(name) // so that the next case starts with a sound process
				}
			}()
			for _, name := range watched {
				checks[name] = newProcessCheck(c, name)
			}
			clients := each.run(at.address, uint64(i+1))
			settle(at.address)
			time.Sleep(each.stay)
			for _, check := range checks {
				check.observe(c)
			}
			answeredWhileOpen := !each.requestWhileOpen || answered(at.request)
			neighbourAnswered := each.neighbour == nil || answered(each.neighbour)
			clients.close()
			answeredAfterwards := answered(at.request)
			t.Logf("%d of %d connections closed by the process", clients.closedByServer, each.size)
			for _, check := range checks {
				check.finish(c)
			}
			c.Check(answeredWhileOpen, qt.IsTrue, qt.Commentf("ordinary request while the connections are open"))
			c.Check(neighbourAnswered, qt.IsTrue, qt.Commentf("request of another address while the connections are open"))
			c.Check(answeredAfterwards, qt.IsTrue, qt.Commentf("ordinary request after the connections were closed"))
		})
	}
}

// processCheck checks that a process lives and stays within its memory and descriptors.
type processCheck struct {
	name                           string
	process                        *process
	before                         int
	descriptorsBefore, descriptors int
}

func newProcessCheck(c *qt.C, name string) *processCheck {
	p := deployment.processes[name]
	p.resetPeak(c)
	before, _ := p.memory(c)
	descriptors := p.descriptors(c)
	return &processCheck{name: name, process: p, before: before, descriptorsBefore: descriptors, descriptors: descriptors}
}

// observe notes the present number of descriptors.
func (check *processCheck) observe(c *qt.C) {
	c.Assert(check.process.alive(), qt.IsTrue, qt.Commentf("%s has ended", check.name))
	check.descriptors = max(check.descriptors, check.process.descriptors(c))
}

func (check *processCheck) finish(c *qt.C) {
	check.observe(c)
	after, peak := check.process.memory(c)
	c.Logf("%s: resident %d MiB before, %d MiB at the peak, %d MiB after; descriptors %d before, %d at most",
		check.name, check.before>>20, peak>>20, after>>20, check.descriptorsBefore, check.descriptors)
	c.Check(peak <= residentBound, qt.IsTrue, qt.Commentf("%s: resident set size %d MiB, bound %d MiB", check.name, peak>>20, residentBound>>20))
	c.Check(check.descriptors <= descriptorBound, qt.IsTrue, qt.Commentf("%s: %d descriptors, bound %d", check.name, check.descriptors, descriptorBound))
}

// clients are the connections of a crowd.
type clients struct {
	mu             sync.Mutex
	connections    []net.Conn
	closedByServer int
	readers        sync.WaitGroup
	closing        bool
}

// run connects all clients and returns when their scripts have ended.
func (each crowd) run(address string, seed uint64) *clients {
	all := &clients{}
	var scripts sync.WaitGroup
	for i := range each.size {
		scripts.Go(func() {
			connection, err := net.DialTimeout("tcp", address, scriptTimeout)
			if err != nil {
				return // refusing is a limit too
			}
			if each.leave {
				defer connection.Close()
			} else {
				all.add(connection, !each.unread)
			}
			_ = connection.SetWriteDeadline(time.Now().Add(cmp.Or(each.patience, scriptTimeout)))
			if err := each.script(rand.New(rand.NewPCG(seed, uint64(i))), connection); err == nil && each.halfClose {
				_ = connection.(*net.TCPConn).CloseWrite()
			}
		})
	}
	scripts.Wait()
	return all
}

// add keeps a connection open. Unless the client never reads, it reads what the server sends, so that the server is not blocked.
func (all *clients) add(connection net.Conn, reads bool) {
	all.mu.Lock()
	defer all.mu.Unlock()
	all.connections = append(all.connections, connection)
	if !reads {
		return
	}
	all.readers.Go(func() {
		_, _ = io.Copy(io.Discard, connection)
		all.mu.Lock()
		defer all.mu.Unlock()
		if !all.closing {
			all.closedByServer++
		}
	})
}

func (all *clients) close() {
	all.mu.Lock()
	all.closing = true
	for _, connection := range all.connections {
		_ = connection.Close()
	}
	all.mu.Unlock()
	all.readers.Wait()
}

// settle waits until the process has read everything that was sent to one of its ports. A process that stops reading is not waited for
// beyond settleTimeout.
func settle(address string) {
	for deadline := time.Now().Add(settleTimeout); unreadBytes(address) > 0 && time.Now().Before(deadline); {
		time.Sleep(pollInterval)
	}
}

// unreadBytes returns the number of bytes in the receive queues of the established connections of a listening port.
func unreadBytes(address string) (sum uint64) {
	const established, closeWait = "01", "08"
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip, port, _ := net.SplitHostPort(address)
	bytes4 := net.ParseIP(ip).To4()
	number, _ := strconv.Atoi(port)
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", bytes4[3], bytes4[2], bytes4[1], bytes4[0], number)
	for line := range bytes.Lines(table) {
		fields := strings.Fields(string(line))
		if len(fields) < 5 || fields[1] != local || fields[3] != established && fields[3] != closeWait {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		size, _ := strconv.ParseUint(queue, 16, 64)
		sum += size
	}
	return sum
}

// answered repeats a request until it is answered, for as long as answerTimeout.
func answered(request func() bool) bool {
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if request() {
			return true
		}
	}
	return false
}

// neighbourClient sends from an address that no client of a crowd has.
var neighbourClient = sync.OnceValue(func() *http.Client {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host(neighbour))}}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
})

// answers reports whether a request on a new connection gets an expected status.
func answers(request *http.Request, expected ...int) bool {
	return answersThrough(http.DefaultClient, request, expected...)
}

func answersThrough(client *http.Client, request *http.Request, expected ...int) bool {
	if len(expected) == 0 {
		expected = []int{http.StatusOK}
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	request.Close = true
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false
	}
	for _, status := range expected {
		if response.StatusCode == status {
			return true
		}
	}
	return false
}

func newRequest(method, url, body string) *http.Request {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err) // the URLs are constants of the test
	}
	return request
}

func callerRequest() *http.Request {
	return newRequest(http.MethodGet, "http://"+address(node, portCaller)+"/transcripts/1", "")
}

func operatorRequest() *http.Request {
	return newRequest(http.MethodGet, "http://"+address(control, portOperator)+"/ready", "")
}

func readinessRequest() *http.Request {
	return newRequest(http.MethodGet, "http://"+address(platformNode, portReadiness)+"/parsleyport/readiness", "")
}
