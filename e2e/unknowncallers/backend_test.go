package unknowncallers

import (
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core"
)

const (
	// holdTime is how long the backend server works on a request for holdPath.
	holdTime = time.Second
	// archiveSlots is below crowdSize, so that some requests of a crowd run and the others wait.
	archiveSlots = 48
	// longAnswerBytes is far above the buffers between a backend server and a caller.
	longAnswerBytes = 4 << 20
	// longAnswerHeadBytes is the size of the head of an answer with very many lines.
	longAnswerHeadBytes = 250 << 10
	announceInterval    = 500 * time.Millisecond
)

// Paths of the backend server of this test.
const (
	quickPath     = "/archive/quick"
	holdPath      = "/archive/hold"
	longPath      = "/archive/long"
	fullHeadPath  = "/archive/full-head"
	linesPath     = "/archive/lines"
	writePath     = "/archive-write/quick"
	writeHoldPath = "/archive-write/hold"
	sumPath       = "/archive-upload/sum"
)

// archive is the backend server of the second node. It runs in the test's process.
var archive = sync.OnceValues(func() (*http.Server, error) {
	listener, err := net.Listen("tcp", address(farNode, portApplication))
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(serveArchive)}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for range time.Tick(announceInterval) {
			announceArchive()
		}
	}()
	return server, nil
})

func announceArchive() {
	body := fmt.Sprintf(`{"service":"archive","release":"v1","address":%q,"slots":%d,"state":"ready","run":"r1"}`, address(farNode, portApplication), archiveSlots)
	request := newRequest(http.MethodPut, "http://"+address(farNode, portBackend)+"/v1/backend", body)
	request.Header.Set("Content-Type", "application/json")
	_ = answers(request)
}

// answerHead returns an answer without a body, with as many short header lines as fit in a size.
func answerHead(size int) string {
	lines, positions := numberedLines()
	return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + lines[:positions[sort.SearchInts(positions, size)]] + "\r\n"
}

func serveArchive(w http.ResponseWriter, r *http.Request) {
	sum := crc32.NewIEEE()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	countRun(r)
	switch r.URL.Path {
	case holdPath, writeHoldPath:
		select {
		case <-time.After(holdTime):
		case <-r.Context().Done():
		}
	case sumPath:
		fmt.Fprintf(w, "%d %x", n, sum.Sum32())
	case longPath:
		w.Header().Set("Content-Length", fmt.Sprint(longAnswerBytes))
		_ = repeat(w, "x", longAnswerBytes)
	case fullHeadPath:
		writeRaw(w, answerHead(fullHeadBytes))
	case linesPath:
		writeRaw(w, answerHead(longAnswerHeadBytes))
	}
}

// writeRaw writes an answer that net/http would not write, and closes the connection.
func writeRaw(w http.ResponseWriter, answer string) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return // the node has closed the connection
	}
	defer connection.Close()
	_, _ = io.WriteString(connection, answer)
}

// startArchive starts a second node with its backend server, unless they run. Calls to the first node cross to it.
func startArchive(c *qt.C) {
	startProduct(c)
	if _, err := archive(); err != nil {
		c.Fatal(err)
	}
	if start(c, farNode, "parsleyport", "node", "--settings", writeSettings(c, farNode, map[string]any{
		"id": "n2", "data-centre": "dc-a", "caller-address": address(farNode, portCaller), "peer-address": address(farNode, portPeer),
		"relay-address": address(farNode, portRelay), "backend-address": address(farNode, portBackend), "admin-address": address(farNode, portAdmin),
		"control-addresses": []string{address(control, portControlNode)},
	})) {
		submit(c, "archive-1",
			newRecord(core.KindService, "archive", `{"tenant":"platform"}`),
			newRecord(core.KindUpstream, "archive-v1", fmt.Sprintf(`{"service":"archive","release":"v1","slots":%d}`, archiveSlots)),
			newRecord(core.KindPolicy, "archive", `{"service":"archive","weights":[{"upstream":"archive-v1","per-mille":1000}]}`),
			newRecord(core.KindRoute, "archive-read", `{"path-prefix":"/archive","methods":["GET"],"service":"archive","idempotent":true,"timeout-ms":5000}`),
			newRecord(core.KindRoute, "archive-write", `{"path-prefix":"/archive-write","methods":["POST"],"service":"archive","timeout-ms":5000}`),
			newRecord(core.KindRoute, "archive-upload", `{"path-prefix":"/archive-upload","methods":["POST"],"service":"archive","timeout-ms":60000}`))
	}
	await(c, "the second node serves", func() bool { return answers(archiveRequest(farNode)) })
	await(c, "the first node reaches the second one", func() bool { return answers(archiveRequest(node)) })
}

func archiveRequest(entry string) *http.Request {
	return newRequest(http.MethodGet, "http://"+address(entry, portCaller)+quickPath, "")
}

// attackArchive runs crowds against the callers' port of a node, for calls that the second node's backend server runs. It stops the
// second node afterwards, since a control instance directs further nodes to it.
func attackArchive(t *testing.T, entry string, crowds []crowd) {
	defer func() {
		if _, running := deployment.processes[farNode]; running {
			kill(farNode)
		}
	}()
	attack(t, archivePort(entry), crowds)
}

// archivePort is the callers' port of a node, for calls that the second node's backend server runs.
func archivePort(entry string) target {
	return target{
		process: entry,
		address: address(entry, portCaller),
		watched: []string{node, farNode},
		start:   startArchive,
		request: func() bool { return answers(archiveRequest(entry)) },
	}
}
