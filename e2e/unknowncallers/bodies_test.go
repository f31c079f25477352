package unknowncallers

import (
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// fullBodyBytes is the limit of a body that the platform's operators declare.
	fullBodyBytes = 64 << 20
	// veryLongBodyBytes is the length of a body of which crowdSize are far more than the memory of a process.
	veryLongBodyBytes = 16 << 20
	// bodyPatience lets a crowd send all its bodies.
	bodyPatience = 10 * time.Second
)

// generator returns bytes of a pseudo-random body, and their checksum when they have been read.
func generator(seed uint64, size int64) (io.Reader, func() string) {
	sum := crc32.NewIEEE()
	source := rand.NewChaCha8([32]byte{byte(seed)})
	return io.TeeReader(io.LimitReader(source, size), sum), func() string { return fmt.Sprintf("%d %x", size, sum.Sum32()) }
}

// Guards against a limit that a single body in calm meets although it is within the declared 64 MiB, and against bodies that arrive in
// part.
func TestFullBodiesInCalm(t *testing.T) {
	c := qt.New(t)
	startArchive(c)
	defer kill(farNode)
	checks := []*processCheck{newProcessCheck(c, node), newProcessCheck(c, farNode)}
	for i, test := range []struct {
		entry   string
		size    int64
		chunked bool
	}{
		{entry: node, size: fullBodyBytes},
		{entry: farNode, size: fullBodyBytes},
		{entry: node, size: fullBodyBytes, chunked: true},
		{entry: farNode, size: fullBodyBytes, chunked: true},
		{entry: node, size: 9 << 20},
		{entry: node, size: 2 << 20, chunked: true},
		{entry: node, size: 1 << 20},
	} {
		body, sum := generator(uint64(i), test.size)
		request, err := http.NewRequest(http.MethodPost, "http://"+address(test.entry, portCaller)+sumPath, body)
		c.Assert(err, qt.IsNil)
		if !test.chunked {
			request.ContentLength = test.size
		}
		comment := qt.Commentf("%+v", test)
		response, err := http.DefaultClient.Do(request)
		if !c.Check(err, qt.IsNil, comment) {
			continue
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		c.Check(err, qt.IsNil, comment)
		c.Check(response.StatusCode, qt.Equals, http.StatusOK, comment)
		c.Check(string(answer), qt.Equals, sum(), comment)
	}
	for _, check := range checks {
		check.finish(c)
	}
}

// bodyCrowds send bodies that are together far longer than the memory of a process.
func bodyCrowds() []crowd {
	return []crowd{
		{name: "very long bodies", size: crowdSize, patience: bodyPatience, stay: holdTime, script: func(r *rand.Rand, w io.Writer) error {
			if err := head(r, w, http.MethodPost, sumPath, veryLongBodyBytes, 0); err != nil {
				return err
			}
			return repeat(w, "x", veryLongBodyBytes)
		}},
		{name: "very long bodies in chunks", size: crowdSize, patience: bodyPatience, stay: holdTime, script: chunked(sumPath, "", "1000\r\n"+zeros(0x1000)+"\r\n")},
		{name: "very long bodies that stop", size: crowdSize, patience: bodyPatience, stay: holdTime, script: func(r *rand.Rand, w io.Writer) error {
			if err := head(r, w, http.MethodPost, sumPath, fullBodyBytes, 0); err != nil {
				return err
			}
			return repeat(w, "x", veryLongBodyBytes)
		}},
		{name: "callers that leave in a very long body", size: crowdSize, leave: true, patience: bodyPatience, script: func(r *rand.Rand, w io.Writer) error {
			if err := head(r, w, http.MethodPost, sumPath, fullBodyBytes, 0); err != nil {
				return err
			}
			return repeat(w, "x", veryLongBodyBytes/4)
		}},
	}
}

func zeros(size int) string { return string(make([]byte, size)) }

// Guards against long bodies that take more memory than a process has.
func TestLongBodiesOfOneNode(t *testing.T) { attackArchive(t, farNode, bodyCrowds()) }

func TestLongBodiesBetweenNodes(t *testing.T) { attackArchive(t, node, bodyCrowds()) }
