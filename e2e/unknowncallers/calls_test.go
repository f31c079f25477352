package unknowncallers

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"
)

const (
	// fullHeadBytes is just below the limit of a head that the platform's operators declare, which is 16 KiB.
	fullHeadBytes = 16<<10 - 512
	// pipelinedRequests is the default limit of a connection.
	pipelinedRequests = 16
	// longBodyBytes is the length of a body that no process should keep as a whole for each of many callers.
	longBodyBytes = endlessBytes
	// distinctRequests is the number of requests of one client that differ in everything that a caller can choose.
	distinctRequests = 1400
	// distinctPatience lets a crowd send them all.
	distinctPatience = 30 * time.Second
	// distinctStay lets the processes answer most of them.
	distinctStay = 15 * time.Second
)

// head writes a complete head with a body's length, and as many lines as fit in its size.
func head(r *rand.Rand, w io.Writer, method, path string, bodyBytes, size int) error {
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: crowd.example\r\nContent-Length: %d\r\n", method, path, bodyBytes); err != nil {
		return err
	}
	if err := writeLines(r, w, size); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

func full(path string) func(*rand.Rand, io.Writer) error {
	return func(r *rand.Rand, w io.Writer) error { return head(r, w, http.MethodGet, path, 0, fullHeadBytes) }
}

// pipelined writes as many requests as a connection may have in progress.
func pipelined(script func(*rand.Rand, io.Writer) error) func(*rand.Rand, io.Writer) error {
	return func(r *rand.Rand, w io.Writer) error {
		for range pipelinedRequests {
			if err := script(r, w); err != nil {
				return err
			}
		}
		return nil
	}
}

func get(path string) func(*rand.Rand, io.Writer) error {
	return func(_ *rand.Rand, w io.Writer) error {
		_, err := io.WriteString(w, "GET "+path+" HTTP/1.1\r\nHost: crowd.example\r\n\r\n")
		return err
	}
}

// callCrowds send complete requests of legal size, which stay in progress, and leave or do not read their answers.
func callCrowds() []crowd {
	return []crowd{
		{name: "full heads at a slow backend server", size: crowdSize, stay: 3 * holdTime, script: full(holdPath)},
		{name: "one name in full heads", size: crowdSize, stay: 3 * holdTime, script: func(_ *rand.Rand, w io.Writer) error {
			const line = "x-forwarded-for: 1\r\n"
			_, err := io.WriteString(w, "GET "+holdPath+" HTTP/1.1\r\nHost: crowd.example\r\n"+strings.Repeat(line, fullHeadBytes/len(line))+"\r\n")
			return err
		}},
		{name: "pipelined full heads", size: crowdSize, stay: 3 * holdTime, script: pipelined(full(holdPath))},
		{name: "long bodies", size: crowdSize, stay: 3 * holdTime, script: func(r *rand.Rand, w io.Writer) error {
			if err := head(r, w, http.MethodPost, writeHoldPath, longBodyBytes, fullHeadBytes); err != nil {
				return err
			}
			return repeat(w, "x", longBodyBytes)
		}},
		{name: "long bodies that stop", size: crowdSize, stay: holdTime, script: func(r *rand.Rand, w io.Writer) error {
			if err := head(r, w, http.MethodPost, writeHoldPath, longBodyBytes, 0); err != nil {
				return err
			}
			return repeat(w, "x", longBodyBytes-1<<10)
		}},
		{name: "answers that are not read", size: crowdSize, stay: 3 * holdTime, unread: true, script: pipelined(get(longPath))},
		{name: "callers that leave", size: crowdSize, leave: true, script: func(r *rand.Rand, w io.Writer) error {
			if err := pipelined(get(longPath))(r, w); err != nil {
				return err
			}
			return beginHead(r, w, longPath)
		}},
		{name: "callers that leave full heads", size: crowdSize, leave: true, script: pipelined(full(holdPath))},
	}
}

// answerHeadCrowds get answers whose heads have many lines.
func answerHeadCrowds() []crowd {
	return []crowd{
		{name: "answers with full heads", size: crowdSize, stay: 3 * holdTime, script: pipelined(get(fullHeadPath))},
		{name: "answers with full heads that are not read", size: crowdSize, stay: 3 * holdTime, unread: true, script: pipelined(get(fullHeadPath))},
		{name: "answers with very many lines", size: crowdSize, stay: 3 * holdTime, script: pipelined(get(linesPath))},
		{name: "answers with very many lines that are not read", size: crowdSize, stay: 3 * holdTime, unread: true, script: pipelined(get(linesPath))},
	}
}

// workCrowds make a process that handles a head in quadratic time work for minutes.
func workCrowds() []crowd {
	return []crowd{
		{name: "full heads in small pieces", size: crowdSize, patience: distinctPatience, script: func(r *rand.Rand, w io.Writer) error {
			return head(r, pieces{w}, http.MethodGet, quickPath, 0, fullHeadBytes)
		}},
		{name: "names of connection options", size: crowdSize, patience: distinctPatience, script: pipelined(func(r *rand.Rand, w io.Writer) error {
			lines, positions := numberedLines()
			names := lines[:positions[sort.SearchInts(positions, fullHeadBytes/2)]]
			_, err := io.WriteString(w, "GET "+quickPath+" HTTP/1.1\r\nHost: crowd.example\r\nConnection: "+strings.ReplaceAll(names, ":\r\n", ",")+"z\r\n"+names+"\r\n")
			return err
		})},
		{name: "lists of credentials", size: crowdSize, patience: distinctPatience, script: pipelined(func(_ *rand.Rand, w io.Writer) error {
			const line = "authorization: Bearer x\r\n"
			_, err := io.WriteString(w, "GET "+quickPath+" HTTP/1.1\r\nHost: crowd.example\r\n"+strings.Repeat(line, fullHeadBytes/len(line))+"\r\n")
			return err
		})},
		{name: "segments of a path", size: crowdSize, patience: distinctPatience, script: pipelined(func(_ *rand.Rand, w io.Writer) error {
			_, err := io.WriteString(w, "GET "+quickPath+strings.Repeat("/a", fullHeadBytes/2-200)+" HTTP/1.1\r\nHost: crowd.example\r\n\r\n")
			return err
		})},
		{name: "chunks of one byte", size: crowdSize, patience: distinctPatience, script: chunkedBody(writePath, "1\r\nx\r\n", endlessBytes)},
	}
}

// pieces writes a few bytes at a time.
type pieces struct{ io.Writer }

func (w pieces) Write(data []byte) (int, error) {
	for rest := data; len(rest) > 0; {
		n, err := w.Writer.Write(rest[:min(len(rest), 7)])
		if err != nil {
			return len(data) - len(rest) + n, err
		}
		rest = rest[n:]
	}
	return len(data), nil
}

// chunkedBody writes a complete chunked body.
func chunkedBody(path, chunk string, size int) func(*rand.Rand, io.Writer) error {
	return func(r *rand.Rand, w io.Writer) error {
		if err := chunked(path, "", strings.Repeat(chunk, size/len(chunk)))(r, w); err != nil {
			return err
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
}

// Guards against requests whose handling takes a time that grows with the square of their size, at both nodes of a call.
func TestWorkGrowsWithTheSize(t *testing.T) { attackArchive(t, node, workCrowds()) }

// Guards against complete requests that take more memory than a process has, at the node beside the backend server.
func TestCallsOfOneNode(t *testing.T) { attackArchive(t, farNode, callCrowds()) }

// Guards against the same at both nodes of calls that cross from one to the other.
func TestCallsBetweenNodes(t *testing.T) { attackArchive(t, node, callCrowds()) }

// Guards against heads of answers that take more memory than a process has, likewise.
func TestAnswerHeadsOfOneNode(t *testing.T) { attackArchive(t, farNode, answerHeadCrowds()) }

func TestAnswerHeadsBetweenNodes(t *testing.T) { attackArchive(t, node, answerHeadCrowds()) }

// Guards against what callers choose and a process remembers: names of routes, callers, sessions and keys.
func TestDistinctCalls(t *testing.T) {
	distinct := func(method, path string) func(*rand.Rand, io.Writer) error {
		return func(r *rand.Rand, w io.Writer) error {
			for range distinctRequests {
				name := strings.Repeat(fmt.Sprintf("%016x", r.Uint64()), 15)
				if _, err := fmt.Fprintf(w, "%s %s/%s?%s HTTP/1.1\r\nHost: crowd.example\r\nParsleyport-Call-Id: %.128s\r\nParsleyport-Session: %s\r\n"+
					"Parsleyport-Tenant: %.128s\r\nIdempotency-Key: %s\r\nContent-Length: 0\r\n\r\n", method, path, name, name, name, name, name, name); err != nil {
					return err
				}
			}
			return nil
		}
	}
	attackArchive(t, node, []crowd{
		{name: "unknown routes", size: crowdSize, patience: distinctPatience, script: func(r *rand.Rand, w io.Writer) error {
			for range distinctRequests {
				name := fmt.Sprintf("%016x", r.Uint64())
				if _, err := fmt.Fprintf(w, "%.8s /%s HTTP/1.1\r\nHost: %s.example\r\n\r\n", strings.ToUpper(name), name, name); err != nil {
					return err
				}
			}
			return nil
		}},
		{name: "reads", size: crowdSize, patience: distinctPatience, stay: distinctStay, script: distinct(http.MethodGet, quickPath)},
		{name: "writes with keys", size: crowdSize, patience: distinctPatience, stay: distinctStay, script: distinct(http.MethodPost, writePath)},
	})
}

// Guards against one address whose connections leave no place for the callers of others.
func TestNeighbourConnections(t *testing.T) {
	attackBesideNeighbour(t, []crowd{
		{name: "connections with a part of a head", size: connectionCrowdSize, script: func(_ *rand.Rand, w io.Writer) error {
			_, err := io.WriteString(w, "GET "+quickPath+" HTTP/1.1\r\n")
			return err
		}},
	})
}

// Guards against one address whose requests leave no memory or slots for the callers of others.
func TestNeighbourRequests(t *testing.T) {
	attackBesideNeighbour(t, []crowd{
		{name: "connections with a part of a body", size: connectionCrowdSize, script: func(r *rand.Rand, w io.Writer) error {
			if err := head(r, w, http.MethodPost, writeHoldPath, longBodyBytes, 0); err != nil {
				return err
			}
			return repeat(w, "x", 4<<10)
		}},
		{name: "long heads, held", size: crowdSize, script: func(r *rand.Rand, w io.Writer) error {
			if err := beginHead(r, w, quickPath); err != nil {
				return err
			}
			return writeLines(r, w, shortHeadBytes)
		}},
		{name: "full heads at a slow backend server", size: crowdSize, script: pipelined(full(holdPath))},
		{name: "long bodies", size: crowdSize, script: func(r *rand.Rand, w io.Writer) error {
			if err := head(r, w, http.MethodPost, writeHoldPath, longBodyBytes, fullHeadBytes); err != nil {
				return err
			}
			return repeat(w, "x", longBodyBytes-1<<10)
		}},
		{name: "very long bodies that stop", size: crowdSize, patience: bodyPatience, script: func(r *rand.Rand, w io.Writer) error {
			if err := head(r, w, http.MethodPost, sumPath, fullBodyBytes, 0); err != nil {
				return err
			}
			return repeat(w, "x", veryLongBodyBytes)
		}},
	})
}

// attackBesideNeighbour expects an answer to a caller of another address while each crowd keeps its connections.
func attackBesideNeighbour(t *testing.T, crowds []crowd) {
	for i := range crowds {
		crowds[i].neighbour = func() bool { return answersThrough(neighbourClient(), archiveRequest(node)) }
	}
	attackArchive(t, node, crowds)
}

// platformCallerPort is the callers' port of the platform's node, which has no backend server.
func platformCallerPort() target {
	at := address(platformNode, portCaller)
	_, port, _ := net.SplitHostPort(at)
	return target{
		process: platformNode,
		address: at,
		start:   startPlatform,
		request: func() bool {
			request := newRequest(http.MethodGet, "http://"+at+"/get/1", "")
			request.Host = "shop.example:" + port
			return answers(request, http.StatusOK, http.StatusServiceUnavailable, http.StatusNotFound)
		},
	}
}

// Guards against the same clients as the tests of the product's callers' port, at that of the platform's node.
func TestPlatformCallers(t *testing.T) {
	crowds := append(headCrowds("/get/1"), oddCrowds("/get/1")...)
	attack(t, platformCallerPort(), append(crowds, connectionCrowds("/get/1")...))
}

// Guards against complete requests that wait at the platform's node until a backend server is known.
func TestPlatformCalls(t *testing.T) {
	waiting := func(bodyBytes int) func(*rand.Rand, io.Writer) error {
		return func(r *rand.Rand, w io.Writer) error {
			if _, err := fmt.Fprintf(w, "POST /get/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n", bodyBytes); err != nil {
				return err
			}
			if err := writeLines(r, w, fullHeadBytes); err != nil {
				return err
			}
			if _, err := io.WriteString(w, "\r\n"); err != nil {
				return err
			}
			return repeat(w, "x", bodyBytes)
		}
	}
	attack(t, platformCallerPort(), []crowd{
		{name: "full heads that wait", size: crowdSize, stay: holdTime, script: waiting(0)},
		{name: "full heads that wait on many connections", size: connectionCrowdSize, stay: holdTime, script: waiting(0)},
		{name: "bodies that wait", size: crowdSize, stay: holdTime, script: waiting(1 << 20)},
	})
}
