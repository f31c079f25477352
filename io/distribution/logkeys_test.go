package distribution

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"parsleyport/core"
)

// lineBuffer collects log lines of several processes.
type lineBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

// repeatedKey returns a key that a flat JSON object has more than once.
func repeatedKey(line string) string {
	decoder := json.NewDecoder(strings.NewReader(line))
	seen := make(map[string]bool)
	depth, isKey := 0, true
	for {
		token, err := decoder.Token()
		if err == io.EOF {
			return ""
		}
		switch token := token.(type) {
		case json.Delim:
			if token == '{' || token == '[' {
				depth++
			} else {
				depth--
			}
			isKey = depth == 1
			continue
		case string:
			if depth == 1 && isKey && seen[token] {
				return token
			}
			if depth == 1 && isKey {
				seen[token] = true
			}
		}
		isKey = depth == 1 && !isKey
	}
}

// Guards against log lines that have a key twice, for the process itself and for its peer: decoders keep one of them.
func TestLogLinesHaveEachKeyOnce(t *testing.T) {
	qt.Assert(t, repeatedKey(`{"a":"a","b":[1,2],"c":{"a":1},"a":2}`), qt.Equals, "a")
	qt.Assert(t, repeatedKey(`{"a":"b","b":[1,2],"c":{"a":1},"d":"a"}`), qt.Equals, "")
	runTest(t, func(c *qt.C, tc *cluster) {
		var log lineBuffer
		logger := func(key, id string) zerolog.Logger { return zerolog.New(&log).With().Str(key, id).Logger() }
		control := func(id, peer core.ControlID) {
			tc.sourceWith(id, func(o *SourceOptions) {
				o.Peers = []Peer{{ID: peer, Address: string(peer)}}
				o.Logger = logger("control", string(id))
			})
		}
		control("c1", "c2")
		control("c2", "c1")
		control("c3", "c1") // which refuses the link
		nodes := tc.startNodes(3, func(_ int, o *SubscriberOptions) {
			o.ControlAddresses = []string{"c1", "c2"}
			o.Logger = logger("node", string(o.ID))
		})
		tc.catalog.set(revision(3))
		tc.eventually(convergenceTimeout, "the change is in force", allAtRevision(nodes, 3))
		tc.stop("c1")
		time.Sleep(2 * linkTimeout)
		log.mu.Lock()
		defer log.mu.Unlock()
		lines := strings.Split(strings.TrimSpace(log.lines.String()), "\n")
		c.Assert(len(lines) > 10, qt.IsTrue)
		for _, line := range lines {
			c.Assert(repeatedKey(line), qt.Equals, "", qt.Commentf("%s", line))
		}
	})
}
