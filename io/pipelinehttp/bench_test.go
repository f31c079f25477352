package pipelinehttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"parsleyport/io/pipelinehttp"
)

// benchHandler answers with a body of a known length, as most backend servers do, and uses write deadlines as io/callerhttp does.
type benchHandler struct{ body []byte }

func (h benchHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(benchDeadline())
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(h.body))}
	w.Header()["Content-Type"] = []string{"application/json"}
	if r.ContentLength > 0 {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(h.body)
	_ = controller.SetWriteDeadline(noDeadline)
}

func (benchHandler) Concurrent(*http.Request) bool { return true }

// BenchmarkRequest measures one request after the other on a connection, with this package and with net/http. Compare the
// processor time: the callers and the server share the machine.
func BenchmarkRequest(b *testing.B) {
	for name, request := range map[string]string{
		"get":  "GET /orders/17?page=2 HTTP/1.1\r\nHost: orders.example.com\r\nUser-Agent: shop/1.2\r\nAccept: */*\r\nAccept-Encoding: gzip\r\nX-Request-Id: 0123456789abcdef\r\n\r\n",
		"post": "POST /orders HTTP/1.1\r\nHost: orders.example.com\r\nUser-Agent: shop/1.2\r\nContent-Length: 2000\r\nContent-Type: application/json\r\n\r\n" + strings.Repeat("x", 2000),
	} {
		for _, server := range []string{"net/http", "pipelinehttp"} {
			b.Run(name+"/"+server, func(b *testing.B) {
				address := startBench(b, server, benchHandler{body: []byte(strings.Repeat("y", 5000))})
				connection, err := net.Dial("tcp", address)
				if err != nil {
					b.Fatal(err)
				}
				b.Cleanup(func() { _ = connection.Close() })
				answers, text := bufio.NewReaderSize(connection, 16<<10), []byte(request)
				b.ReportAllocs()
				b.ResetTimer()
				before := processorTime()
				for range b.N {
					if _, err := connection.Write(text); err != nil {
						b.Fatal(err)
					}
					skipAnswer(b, answers)
				}
				b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

// skipAnswer reads an answer with a Content-Length, at less cost than http.ReadResponse.
func skipAnswer(b *testing.B, answers *bufio.Reader) {
	length := 0
	for {
		line, err := answers.ReadSlice('\n')
		if err != nil {
			b.Fatal(err)
		}
		if len(line) <= 2 {
			break
		}
		if value, found := strings.CutPrefix(string(line), "Content-Length: "); found {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
	}
	if _, err := answers.Discard(length); err != nil {
		b.Fatal(err)
	}
}

// processorTime returns the nanoseconds of processor time that the process has used.
func processorTime() int64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // fails only for unknown targets
	return usage.Utime.Nano() + usage.Stime.Nano()
}

const benchTimeout = time.Minute

var noDeadline time.Time

func benchDeadline() time.Time { return time.Now().Add(time.Second) }

func startBench(b *testing.B, server string, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	if server == "net/http" {
		s := &http.Server{Handler: handler, ReadHeaderTimeout: benchTimeout, ReadTimeout: benchTimeout, IdleTimeout: benchTimeout}
		go func() { _ = s.Serve(listener) }()
		b.Cleanup(func() { _ = s.Close() })
	} else {
		s := pipelinehttp.New(pipelinehttp.Options{Handler: handler})
		go func() { _ = s.Serve(listener) }()
		b.Cleanup(func() { _ = s.Close() })
	}
	return listener.Addr().String()
}

// BenchmarkIdleConnection measures the memory of a connection that has served a request, including that of the socket at the caller.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 500
	for _, server := range []string{"net/http", "pipelinehttp"} {
		b.Run(server, func(b *testing.B) {
			for range b.N {
				address := startBench(b, server, benchHandler{body: []byte("answer")})
				before, open := memory(), make([]net.Conn, 0, connections)
				for range connections {
					connection, err := net.Dial("tcp", address)
					if err != nil {
						b.Fatal(err)
					}
					open = append(open, connection)
					answers := bufio.NewReader(connection)
					_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: n\r\n\r\n")
					skipAnswer(b, answers)
				}
				b.ReportMetric(float64(memory()-before)/connections, "B/connection")
				for _, connection := range open {
					_ = connection.Close()
				}
			}
		})
	}
}

// memory returns the bytes of the heap and of stacks that are in use after a garbage collection.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
