package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core/memory"
)

// Guards against heads beyond a limit that are passed on, and against heads within all limits that are refused.
func TestHeadLimits(t *testing.T) {
	line := "GET / HTTP/1.1\r\n"
	for name, test := range map[string]struct {
		head string
		want error
	}{
		"ordinary":           {head: line + "Host: n\r\n\r\n"},
		"bare line feeds":    {head: "GET / HTTP/1.1\nHost: n\n\n"},
		"full of lines":      {head: line + strings.Repeat("a:\r\n", (maxHeadBytes-len(line)-2)/4) + "\r\n"},
		"most bytes":         {head: line + strings.Repeat("a", maxHeadBytes-len(line)-4) + "\r\n\r\n"},
		"too many bytes":     {head: line + strings.Repeat("a", maxHeadBytes-len(line)+1), want: errHeadTooLong},
		"most empty lines":   {head: strings.Repeat("\r\n", maxEmptyLines) + line + "\r\n"},
		"too many empty":     {head: strings.Repeat("\r\n", maxEmptyLines+1), want: errTooManyEmpties},
		"returns in a line":  {head: strings.Repeat("\r", maxHeadBytes+1), want: errHeadTooLong},
		"lines of the body":  {head: line + "\r\n" + strings.Repeat("\n", 10_000)},
		"empty request line": {head: "\r\n" + line + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var counter headCounter
			_, err := counter.count([]byte(test.head))
			qt.Assert(t, err, qt.Equals, test.want)
			qt.Assert(t, counter.ended, qt.Equals, test.want == nil)
		})
	}
}

// FuzzHeadCounter guards against a head whose end or refusal depends on how it is split into reads, and against one that takes more memory
// than it reserves. The model splits the text into lines.
func FuzzHeadCounter(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: n\r\n\r\nbody\n"), uint64(1))
	f.Add([]byte(strings.Repeat("\r\n", maxEmptyLines+1)), uint64(2))
	f.Add([]byte("x"+strings.Repeat("a:\n", freeLines+2)), uint64(3))
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		var whole, parts headCounter
		wantCount, wantErr := whole.count(text)
		count, err := 0, error(nil)
		for rest := text; len(rest) > 0 && err == nil; {
			n := 1 + random.IntN(len(rest))
			var counted int
			counted, err = parts.count(rest[:n])
			count += counted
			rest = rest[n:]
		}
		if count != wantCount || !errors.Is(err, wantErr) || parts != whole {
			t.Fatalf("%d bytes and error %v in parts, %d and %v at once", count, err, wantCount, wantErr)
		}
		lines, isEmptyPossible := 0, true
		for each := range bytes.Lines(text[:wantCount]) {
			if len(bytes.ReplaceAll(bytes.TrimSuffix(each, []byte("\n")), []byte("\r"), nil)) > 0 {
				lines++
				isEmptyPossible = false
			}
		}
		reserved := int(whole.reservation()) / memory.HeaderLineBytes
		if lines > freeLines+reserved+1 || reserved > max(0, lines-freeLines+lineReservation) || wantCount > maxHeadBytes || whole.ended && isEmptyPossible {
			t.Fatalf("%d lines and %d bytes are in the limits, %d lines are reserved", lines, wantCount, reserved)
		}
	})
}

// serve starts a server that answers with the length of the request's body.
func serve(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	c.Cleanup(Serve(&http.Server{Handler: handler}, listener, "test", time.Second, zerolog.Nop()))
	return listener.Addr().String()
}

func dial(c *qt.C, address string) (net.Conn, *bufio.Reader) {
	connection, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = connection.Close() })
	return connection, bufio.NewReader(connection)
}

// request sends a request and returns the status of its answer.
func request(c *qt.C, connection net.Conn, reader *bufio.Reader, text string) int {
	_, err := io.WriteString(connection, text)
	c.Assert(err, qt.IsNil)
	answer, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, answer.Body)
	c.Assert(err, qt.IsNil)
	return answer.StatusCode
}

const ordinary = "GET / HTTP/1.1\r\nHost: n\r\n\r\n"

var (
	post    = "POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("\n", 5000)
	tooLong = strings.TrimSuffix(ordinary, "\r\n") + strings.Repeat("a:\r\n", maxHeadBytes/4)
)

// Guards against clients that get no answer to a head beyond a limit, and against a refusal of later requests on a connection because of
// the bytes of earlier ones.
func TestLimitsOnAConnection(t *testing.T) {
	c := qt.New(t)
	address := serve(c)
	connection, reader := dial(c, address)
	for range 20 {
		c.Assert(request(c, connection, reader, ordinary), qt.Equals, http.StatusOK)
		c.Assert(request(c, connection, reader, post+ordinary), qt.Equals, http.StatusOK)
		c.Assert(request(c, connection, reader, ""), qt.Equals, http.StatusOK)
	}
	c.Assert(request(c, connection, reader, ordinary), qt.Equals, http.StatusOK)
	c.Assert(request(c, connection, reader, tooLong), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	_, err := reader.ReadByte()
	c.Assert(err, qt.IsNotNil)

	connection, reader = dial(c, address)
	c.Assert(request(c, connection, reader, strings.Repeat("\r\n", 100)), qt.Equals, http.StatusBadRequest)
}

// Guards against a head that evades the limits because the server has received a part of it together with the request before it. The
// client of such a head got no answer.
func TestLimitsOfHeadsReadAhead(t *testing.T) {
	full := strings.TrimSuffix(ordinary, "\r\n") + strings.Repeat("a:\r\n", 4000) + "\r\n"
	for name, test := range map[string]struct {
		text string
		want []int
	}{
		"body":           {text: post + tooLong, want: []int{http.StatusOK, http.StatusRequestHeaderFieldsTooLarge}},
		"no body":        {text: ordinary + tooLong, want: []int{http.StatusOK, http.StatusRequestHeaderFieldsTooLarge}},
		"whole requests": {text: ordinary + post + ordinary + tooLong, want: []int{200, 200, 200, http.StatusRequestHeaderFieldsTooLarge}},
		"empty lines":    {text: post + strings.Repeat("\r\n", 2*maxEmptyLines), want: []int{http.StatusOK, http.StatusBadRequest}},
		"within limits":  {text: post + full + post + full, want: []int{200, 200, 200, 200}},
		"asterisk":       {text: "OPTIONS * HTTP/1.1\r\nHost: n\r\n\r\n", want: []int{http.StatusOK}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, first := range []int{0, 1, 100, 4096, len(test.text)} { // bytes that arrive first
				c := qt.New(t)
				connection, reader := dial(c, serve(c))
				first = min(first, len(test.text))
				_, err := io.WriteString(connection, test.text[:first])
				c.Assert(err, qt.IsNil)
				time.Sleep(5 * time.Millisecond)
				var got []int
				for i := range test.want {
					rest := ""
					if i == 0 {
						rest = test.text[first:]
					}
					got = append(got, request(c, connection, reader, rest))
				}
				c.Assert(got, qt.DeepEquals, test.want, qt.Commentf("%d bytes first", first))
			}
		})
	}
}

// Guards against a whole head that was read ahead and is passed on although other heads use up the memory for lines.
func TestHeadReadAheadIsRefusedWithoutMemory(t *testing.T) {
	c := qt.New(t)
	address := serve(c)
	lines := strings.TrimSuffix(ordinary, "\r\n") + strings.Repeat("a:\r\n", 500)
	for range 40 {
		connection, _ := dial(c, address)
		_, err := io.WriteString(connection, lines)
		c.Assert(err, qt.IsNil)
	}
	status := http.StatusOK
	for deadline := time.Now().Add(5 * time.Second); status == http.StatusOK && time.Now().Before(deadline); { // until the memory is used up
		connection, reader := dial(c, address)
		c.Assert(request(c, connection, reader, ordinary+lines+"\r\n"), qt.Equals, http.StatusOK)
		if status = request(c, connection, reader, ""); status != http.StatusOK {
			_, err := reader.ReadByte()
			c.Assert(err, qt.IsNotNil)
		}
	}
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against a head that evades the limits because it is unknown where the body before it ended.
func TestConnectionClosesAfterBodyWithoutLength(t *testing.T) {
	c := qt.New(t)
	connection, reader := dial(c, serve(c))
	_, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	c.Assert(err, qt.IsNil)
	answer, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(answer.Close, qt.IsTrue)
}

// Guards against heads of many lines that take more memory than the port has, also after a request with a body, against ordinary heads
// that are refused beside them, and against memory that is not released.
func TestHeadBudget(t *testing.T) {
	c := qt.New(t)
	address := serve(c)
	full := strings.TrimSuffix(ordinary, "\r\n") + strings.Repeat("a:\r\n", 4000)
	for _, before := range []string{"", post} {
		refused := 0
		var held []net.Conn
		for range 10 {
			connection, reader := dial(c, address)
			held = append(held, connection)
			if before != "" {
				c.Assert(request(c, connection, reader, before), qt.Equals, http.StatusOK)
			}
			_, err := io.WriteString(connection, full)
			c.Assert(err, qt.IsNil)
			_ = connection.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			if answer, err := http.ReadResponse(reader, nil); err == nil {
				c.Assert(answer.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				refused++
			}
			other, otherReader := dial(c, address)
			c.Assert(request(c, other, otherReader, ordinary), qt.Equals, http.StatusOK)
		}
		c.Assert(refused >= 7 && refused < 10, qt.IsTrue, qt.Commentf("%d of 10 refused", refused))
		for _, each := range held {
			_ = each.Close()
		}
		c.Assert(awaitStatus(address, full+"\r\n", http.StatusOK), qt.IsTrue)
	}
}

// awaitStatus repeats a request on new connections until it gets a status, for some seconds.
func awaitStatus(address, text string, status int) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		_, _ = io.WriteString(connection, text)
		answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
		_ = connection.Close()
		if err == nil && answer.StatusCode == status {
			return true
		}
	}
	return false
}

// Guards against connections without a request that keep others out, and against requests in progress that are cut off by new
// connections.
func TestOldestIdleConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	address := serve(c)
	busy, busyReader := dial(c, address)
	_, err := io.WriteString(busy, "POST / HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	c.Assert(err, qt.IsNil)
	interim, err := http.ReadResponse(busyReader, nil) // the handler reads the body
	c.Assert(err, qt.IsNil)
	c.Assert(interim.StatusCode, qt.Equals, http.StatusContinue)
	oldest, oldestReader := dial(c, address)
	c.Assert(request(c, oldest, oldestReader, ordinary), qt.Equals, http.StatusOK)
	for range connectionLimit() {
		connection, reader := dial(c, address)
		c.Assert(request(c, connection, reader, ordinary), qt.Equals, http.StatusOK)
	}
	_, err = oldestReader.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(request(c, busy, busyReader, "x"), qt.Equals, http.StatusOK)
}

// Guards against bodies of concurrent requests that take more memory than the budget, and against bytes that are not returned to it.
func TestBodyBudget(t *testing.T) {
	c := qt.New(t)
	budget := NewBodyBudget("test", 2*maxBodyRead)
	read := func(size int, next func()) (err error) {
		budget.Limit(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, err = io.Copy(io.Discard, r.Body)
			next()
		})).ServeHTTP(nil, &http.Request{Body: io.NopCloser(strings.NewReader(strings.Repeat("x", size)))})
		return err
	}
	for range 3 {
		err := read(maxBodyRead/2, func() {
			c.Assert(read(2*maxBodyRead, func() {}), qt.Equals, ErrBodiesFull)
			c.Assert(read(maxBodyRead/4, func() {}), qt.IsNil)
		})
		c.Assert(err, qt.IsNil)
		c.Assert(budget.memory.Left(), qt.Equals, int64(2*maxBodyRead))
	}
}
