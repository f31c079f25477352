package nodepeer

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	pingInterval   = 500 * time.Millisecond
	silenceTimeout = 1500 * time.Millisecond
	checkInterval  = 250 * time.Millisecond

	// streamSilenceTimeout is the silence of a sender after which its streamed bodies end, which hold slots of the backend. A sender that
	// is alive sends a ping every pingInterval.
	streamSilenceTimeout = 5 * time.Second

	// writeTimeout bounds one write, including the wait for other senders on a busy connection. Pings detect a silent peer
	// much earlier.
	writeTimeout = 10 * time.Second
	// goawayTimeout bounds the wait of a planned stop for dialers that do not read.
	goawayTimeout = 500 * time.Millisecond
	// idleTimeout is the time after its latest call or request at which the dialer closes a connection (clientConn.idleUntil).
	// It is shorter than serverIdleTimeout, so that the dialer closes first. An idle connection costs 13 KiB at both ends
	// together; without it, the next call waits one round trip for a new connection.
	idleTimeout       = time.Minute
	serverIdleTimeout = 2 * time.Minute // far below idempotency.Window, so that no open arrives after its revocation has expired

	// helloTimeout bounds the wait for the hello of an accepted connection, which the dialer sends at once.
	helloTimeout  = 5 * time.Second
	maxHelloBytes = 4 << 10

	connectTimeout = time.Second
	// redialBackoff is the time after a failed dial in which a pool with a live connection does not try to grow.
	redialBackoff = time.Second
	revokeTimeout = time.Second
	// bodyCheckInterval is the minimum time between searches for calls whose bodies would arrive too late.
	bodyCheckInterval = 50 * time.Millisecond
	// cancelReplyTimeout bounds the wait of a cancelled attempt for the server's reply on whether it has run.
	cancelReplyTimeout = 100 * time.Millisecond
	// idempotentCancelReplyTimeout replaces it for calls that may be repeated. It covers a round trip between data centres of a region;
	// with cancelReplyTimeout, callers that pipeline got some failures after they had given up (pipelinedAnswerMargin of callerhttp).
	idempotentCancelReplyTimeout = 30 * time.Millisecond

	answerWindowBytes    = 64 << 10 // flow-control window of one answer: bytes in flight or unread; 64 MiB for 1024 slow readers
	maxBodyBytes         = 8 << 20  // of one call
	maxCreditlessBytes   = 8 << 10  // bodies up to this length are sent without waiting for body credit
	maxBufferedBodyBytes = 32 << 20 // bytes of all calls whose body is incomplete or queued at a server
	defaultMaxCalls      = 4096     // at one server
	// freeHeadBytes is the memory of the head of a call up to which none is reserved, so that usual calls are accepted while others
	// have used up the budget.
	freeHeadBytes = 16 << 10
	// headBudgetDivisor is the divisor of the memory limit of the process for long heads of calls.
	headBudgetDivisor  = 8
	defaultHeadBudget  = 16 << 20 // if the memory limit is unknown
	maxConnections     = 4096     // at one server; also half of its file descriptors, and a quarter without a hello
	maxPeers           = 8192     // at one dialer
	maxStatus          = 599      // of an answer; see RFC 9110, section 15
	defaultConnections = 2        // to one peer
	// poolGrowthCalls is the number of outstanding calls on a connection from which its pool grows. The connections of 2,700
	// callers, plus those that the calls of defaultMaxCalls can add, stay below maxConnections.
	poolGrowthCalls = 4
)

// descriptorShare returns maxConnections, or a share of the file descriptors of the process if that is less.
func descriptorShare(divisor uint64) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return maxConnections
	}
	return int(min(maxConnections, max(1, limit.Cur/divisor)))
}
