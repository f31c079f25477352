package pipelinehttp

import (
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"parsleyport/core/memory"
)

// Defaults of Limits. Those of a head and of chunks are with headLimits and body.
const (
	defaultHeadTimeout        = 10 * time.Second
	defaultRequestTimeout     = time.Minute
	defaultIdleTimeout        = 2 * time.Minute
	defaultWriteTimeout       = 30 * time.Second
	defaultConcurrentRequests = 16
	defaultConnectionWaiting  = 256 << 10
	defaultWaiting            = 16 << 20
	defaultConnections        = 3 << 10 // if the descriptor limit is unknown
)

const (
	// memoryLimitShare is the part of the memory limit that the account may use. The rest is for garbage that has not been
	// collected yet, for the answers of backend servers and for the process itself.
	memoryLimitShare = 4
	// maxDeclaredHeadBytes bounds the limit of a head that a configuration can declare; as in net/http.
	maxDeclaredHeadBytes = 1 << 20
	// evictionInterval bounds the processor time for the search for connections that can be closed.
	evictionInterval = 50 * time.Millisecond
	// neighbourShare is the divisor of Limits.Connections for the part that only addresses with few connections can use, so that one
	// address cannot keep the callers of others out.
	neighbourShare = 16
	// fewConnectionsShare is the divisor of Limits.Connections for the connections up to which an address has few.
	fewConnectionsShare = 64
	// maxIdleCandidates is the number of idle connections that are kept from one search for the next ones to be closed.
	maxIdleCandidates = 64
)

// Causes of refusals and of connections that are closed.
const (
	CauseUnreadable  = "unreadable-request"   // not HTTP, or ambiguous
	CauseHead        = "head-too-large"       // over the limit of bytes or lines
	CauseEmptyLines  = "too-many-empty-lines" // over Limits.EmptyLines
	CauseChunkExtra  = "chunk-extra"          // over Limits.ChunkExtraBytes
	CauseMemory      = "no-memory"            // Limits.AccountBytes are in use
	CauseHeadTimeout = "head-timeout"         // over Limits.HeadTimeout
	CauseConnections = "connection-limit"     // over Limits.Connections
)

// Limits bounds what callers can make the server do. A zero value stands for the default.
type Limits struct {
	// HeadBytes bounds the head of a request; the default is Declared.HeadBytes, or 64 KiB if none is declared.
	HeadBytes int
	// HeadLines bounds the header lines of a request; by default, only HeadBytes and AccountBytes do.
	HeadLines int
	// EmptyLines bounds the empty lines before a request; the default is 16.
	EmptyLines int
	// ChunkExtraBytes bounds the chunk extensions and trailers of a request; the default is 8 KiB.
	ChunkExtraBytes int
	// HeadTimeout limits the time from the first byte of a head to its end, and from the accept of a connection to the first byte;
	// the default is 10 s. For a head, Declared.HeadTimeout replaces the default.
	HeadTimeout time.Duration
	// RequestTimeout limits the time to read a head and a body; the default is 1 min, unless the handler sets a read deadline.
	RequestTimeout time.Duration
	// IdleTimeout is how long a connection without requests stays open; the default is 2 min, or Declared.IdleTimeout if that is
	// longer.
	IdleTimeout time.Duration
	// WriteTimeout limits a write to the caller for which the handler has set no deadline; the default is 30 s.
	WriteTimeout time.Duration
	// ConcurrentRequests bounds the requests of a connection that are running or waiting for their answer to be written; the
	// default is 16.
	ConcurrentRequests int
	// ConnectionWaitingBytes and WaitingBytes bound the answers of a connection and of all connections that wait for an earlier
	// answer; the defaults are 256 KiB and 16 MiB.
	ConnectionWaitingBytes int64
	WaitingBytes           int64
	// AccountBytes bounds the memory for heads, parsed headers, request bodies and waiting answers; the default is a quarter of
	// the memory limit of the process (GOMEMLIMIT), or 64 MiB if that is unknown.
	AccountBytes int64
	// Connections bounds the open connections; the default is 3/4 of the limit of descriptors.
	Connections int
}

// Declared holds the limits that the configuration in force states for callers. Zero stands for none. A limit of Limits that is set
// applies if it is lower.
type Declared struct {
	HeadBytes   int
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// AccountShare returns the size of the account for a memory limit of the process.
func AccountShare(memoryLimit int64) int64 { return memoryLimit / memoryLimitShare }

// ConnectionShare returns the limit of connections for a limit of descriptors. The rest is for connections to other processes.
func ConnectionShare(descriptors int) int { return descriptors / 4 * 3 }

func (l *Limits) setDefaults() {
	setDefault(&l.HeadBytes, defaultMaxHeadBytes)
	setDefault(&l.EmptyLines, defaultMaxEmptyLines)
	setDefault(&l.ChunkExtraBytes, defaultMaxChunkExtra)
	setDefault(&l.HeadTimeout, defaultHeadTimeout)
	setDefault(&l.RequestTimeout, defaultRequestTimeout)
	setDefault(&l.IdleTimeout, defaultIdleTimeout)
	setDefault(&l.WriteTimeout, defaultWriteTimeout)
	setDefault(&l.ConcurrentRequests, defaultConcurrentRequests)
	setDefault(&l.ConnectionWaitingBytes, defaultConnectionWaiting)
	setDefault(&l.WaitingBytes, defaultWaiting)
	setDefault(&l.AccountBytes, memory.Share(memoryLimitShare, defaultAccountBytes))
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err == nil && descriptors.Cur < math.MaxInt32 {
		setDefault(&l.Connections, ConnectionShare(int(descriptors.Cur)))
	}
	setDefault(&l.Connections, defaultConnections)
}

func setDefault[T int | int64 | time.Duration](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

// headLimits returns the limits of a head that are in force.
func (s *Server) headLimits() (headLimits, time.Duration) {
	declared := s.options.Declared()
	return headLimits{
		bytes:      declaredOr(min(declared.HeadBytes, maxDeclaredHeadBytes), s.options.Limits.HeadBytes, s.limits.HeadBytes),
		lines:      s.limits.HeadLines,
		emptyLines: s.limits.EmptyLines,
	}, declaredOr(declared.HeadTimeout, s.options.Limits.HeadTimeout, s.limits.HeadTimeout)
}

// idleTimeout returns the idle timeout that is in force. A lower declared one does not apply: a connection that is closed earlier than
// its caller expects may meet a request.
func (s *Server) idleTimeout() time.Duration {
	if s.options.Limits.IdleTimeout > 0 {
		return s.limits.IdleTimeout
	}
	return max(s.limits.IdleTimeout, s.options.Declared().IdleTimeout)
}

// declaredOr returns the declared limit, or the limit in its place if none is declared. A limit that was set applies if it is lower.
func declaredOr[T int | time.Duration](declared, set, limit T) T {
	if declared <= 0 {
		return limit
	}
	if set > 0 {
		return min(declared, set)
	}
	return declared
}

// Reserve takes bytes of the server's account for a request until it has been answered. It returns false if the account is used up.
func Reserve(w http.ResponseWriter, bytes int64) bool {
	r, ok := w.(*response)
	return !ok || r.memory.reserve(bytes, r.alone)
}

// AccountedBytes returns the bytes of the account that are in use.
func (s *Server) AccountedBytes() int64 { return s.account.inUse() }

// reserveRequest takes the bytes for a parsed head. A request that would run beside others waits until it is alone if there is no
// memory for that; waitedSince is the time when it was read then. It returns false if there is none for it alone, either.
func (c *connection) reserveRequest(held *holding, head *headCounter) (alone bool, waitedSince time.Time, ok bool) {
	bytes := int64(head.endAt - head.beginAt + memory.HeaderLineBytes*head.lines)
	c.mu.Lock()
	alone = len(c.order.entries) == 0
	c.mu.Unlock()
	if !alone {
		// The output buffer of an answer that may have to wait is not counted again.
		if held.reserve(bytes+outputBytes, false) {
			return false, time.Time{}, true
		}
		waitedSince = time.Now()
		if !c.watch(0, func() bool { return len(c.order.entries) == 0 }) {
			return true, waitedSince, false
		}
	}
	if held.reserve(bytes, true) {
		return true, waitedSince, true
	}
	c.server.evictHeads(c)
	return true, waitedSince, held.reserve(bytes, true)
}

// reserveBuffer takes the bytes by which the read buffer grows.
func (c *connection) reserveBuffer(bytes int) bool {
	reserve := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.evicted && c.growth.reserve(int64(bytes), len(c.order.entries) == 0)
	}
	if reserve() {
		return true
	}
	c.server.evictHeads(c)
	return reserve()
}

// evictHeads closes connections in the middle of a long head, those first that have begun it first, until half of the account is free.
func (s *Server) evictHeads(except *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.evictedAt) < evictionInterval {
		return
	}
	s.evictedAt = now
	type candidate struct {
		c     *connection
		since time.Time
	}
	var candidates []candidate
	for c := range s.connections {
		if c == except {
			continue
		}
		c.mu.Lock()
		if c.growth.bytes > 0 && len(c.order.entries) == 0 {
			candidates = append(candidates, candidate{
				c:     c,
				since: c.headSince,
			})
		}
		c.mu.Unlock()
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.since.Compare(b.since) })
	for _, each := range candidates {
		if s.account.inUse() <= s.limits.AccountBytes/2 {
			return
		}
		each.c.mu.Lock()
		if len(each.c.order.entries) == 0 {
			each.c.evicted = true
			each.c.growth.release()
			each.c.fail()
			s.options.OnLimit(CauseMemory)
		}
		each.c.mu.Unlock()
	}
}

// admit makes room for a new connection. If there are too many, it closes an idle one, those first that have never had a request,
// and then the one that has been idle for the longest time. It is called by Serve only. It returns false if none is idle.
func (s *Server) admit(remote net.Addr) bool {
	if s.hasRoomFor(remote) {
		return true
	}
	for range 2 {
		for len(s.idleCandidates) > 0 {
			c := s.idleCandidates[0]
			s.idleCandidates = s.idleCandidates[1:]
			c.mu.Lock()
			ended := !c.ended && c.endIfIdle()
			c.mu.Unlock()
			if ended {
				s.options.OnLimit(CauseConnections)
				return true
			}
		}
		if time.Since(s.searchedAt) < evictionInterval {
			return false
		}
		s.searchedAt = time.Now()
		s.idleCandidates = s.findIdle()
	}
	return false
}

// hasRoomFor reports whether a connection from an address can be added.
func (s *Server) hasRoomFor(remote net.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.limits.Connections
	if few := max(1, limit/fewConnectionsShare); s.byAddress[addressOf(remote)] >= few {
		limit -= limit / neighbourShare
	}
	return len(s.connections) < limit
}

// addressOf returns the IP address of a caller, or the zero address if the connection is no socket.
func addressOf(remote net.Addr) netip.Addr {
	if tcp, ok := remote.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.Addr{}
}

// findIdle returns the idle connections that are closed first.
func (s *Server) findIdle() []*connection {
	type candidate struct {
		c        *connection
		answered bool
		since    time.Time
	}
	var candidates []candidate
	s.count(func(c *connection) bool {
		if c.idle() && !c.ended {
			candidates = append(candidates, candidate{
				c:        c,
				answered: c.answered,
				since:    c.idleSince,
			})
		}
		return false
	})
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.answered != b.answered {
			if b.answered {
				return -1
			}
			return 1
		}
		return a.since.Compare(b.since)
	})
	var idle []*connection
	for _, each := range candidates[:min(len(candidates), maxIdleCandidates)] {
		idle = append(idle, each.c)
	}
	return idle
}

// refusalCause returns the cause of a refusal of the server itself.
func refusalCause(status int, head *headCounter) string {
	switch {
	case status == http.StatusRequestHeaderFieldsTooLarge:
		return CauseHead
	case status == http.StatusServiceUnavailable:
		return CauseMemory
	case head.empty > head.limits.emptyLines:
		return CauseEmptyLines
	}
	return CauseUnreadable
}

// ignoreRefusal and ignoreLimit stand for hooks that are not set.
func ignoreRefusal(net.Addr, int, string) {}

func ignoreLimit(string) {}

// declareNothing stands for Options.Declared if that is not set.
func declareNothing() Declared { return Declared{} }
