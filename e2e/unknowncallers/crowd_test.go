package unknowncallers

import (
	"bytes"
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
}

// attack runs crowds against a port, one after the other, and checks the process after each of them.
func attack(t *testing.T, at target, crowds []crowd) {
	for i, each := range crowds {
		t.Run(strings.ReplaceAll(each.name, " ", "-"), func(t *testing.T) {
			c := qt.New(t)
			if at.process == node || at.process == control {
				startProduct(c)
			} else {
				startPlatform(c)
			}
			p := deployment.processes[at.process]
			defer func() {
				if t.Failed() {
					t.Logf("%s", logTail(at.process))
					kill(at.process) // so that the next case starts with a sound process
				}
			}()
			p.resetPeak(c)
			before, _ := p.memory(c)
			descriptorsBefore := p.descriptors(c)
			clients := each.run(at.address, uint64(i+1))
			settle(at.address)
			c.Assert(p.alive(), qt.IsTrue, qt.Commentf("the process has ended"))
			descriptors := p.descriptors(c)
			answeredWhileOpen := !each.requestWhileOpen || answered(at.request)
			clients.close()
			c.Assert(p.alive(), qt.IsTrue, qt.Commentf("the process has ended"))
			answeredAfterwards := answered(at.request)
			c.Assert(p.alive(), qt.IsTrue, qt.Commentf("the process has ended"))
			descriptors = max(descriptors, p.descriptors(c))
			after, peak := p.memory(c)
			t.Logf("resident %d MiB before, %d MiB at the peak, %d MiB after; descriptors %d before, %d at most; %d of %d connections closed by the process",
				before>>20, peak>>20, after>>20, descriptorsBefore, descriptors, clients.closedByServer, each.size)
			c.Check(peak <= residentBound, qt.IsTrue, qt.Commentf("resident set size %d MiB, bound %d MiB", peak>>20, residentBound>>20))
			c.Check(descriptors <= descriptorBound, qt.IsTrue, qt.Commentf("%d descriptors, bound %d", descriptors, descriptorBound))
			c.Check(answeredWhileOpen, qt.IsTrue, qt.Commentf("ordinary request while the connections are open"))
			c.Check(answeredAfterwards, qt.IsTrue, qt.Commentf("ordinary request after the connections were closed"))
		})
	}
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
			all.add(connection)
			_ = connection.SetWriteDeadline(time.Now().Add(scriptTimeout))
			if err := each.script(rand.New(rand.NewPCG(seed, uint64(i))), connection); err == nil && each.halfClose {
				_ = connection.(*net.TCPConn).CloseWrite()
			}
		})
	}
	scripts.Wait()
	return all
}

// add keeps a connection open and reads what the server sends, so that the server is not blocked.
func (all *clients) add(connection net.Conn) {
	all.mu.Lock()
	defer all.mu.Unlock()
	all.connections = append(all.connections, connection)
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

// answers reports whether a request on a new connection gets an expected status.
func answers(request *http.Request, expected ...int) bool {
	if len(expected) == 0 {
		expected = []int{http.StatusOK}
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	request.Close = true
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
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
