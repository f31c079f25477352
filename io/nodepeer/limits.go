package nodepeer

import "time"

const (
	pingInterval   = 500 * time.Millisecond
	silenceTimeout = 1500 * time.Millisecond
	checkInterval  = 250 * time.Millisecond

	// writeTimeout bounds one write and includes the wait for other senders of a busy connection. Pings find a silent peer
	// much earlier.
	writeTimeout = 10 * time.Second
	// idleTimeout after its latest call or question a connection is closed at the dialer (clientConn.idleUntil), before
	// serverIdleTimeout ends it at the server. Keeping it costs 13 KiB at both ends together; without it, the next call waits
	// for a new connection, which takes one crossing to the peer and back.
	idleTimeout       = time.Minute
	serverIdleTimeout = 2 * time.Minute // far below idempotency.Window, so that no open arrives after its revocation is forgotten

	connectTimeout = time.Second
	// redialBackoff is the pause before a pool that still has a connection tries to grow again after a failed dial.
	redialBackoff = time.Second
	revokeTimeout = time.Second
	// cancelReplyTimeout is how long a cancelled attempt waits for the server's reply whether it had run.
	cancelReplyTimeout = 100 * time.Millisecond

	answerWindowBytes  = 64 << 10 // bytes of one answer that may be on the way or unread; 64 MiB for 1024 slow readers
	maxBodyBytes       = 8 << 20  // of one call
	maxBufferedBodies  = 32 << 20 // of all calls whose body is incomplete or queued at a server
	defaultMaxCalls    = 4096     // at one server
	maxConnections     = 4096     // at one server
	maxPeers           = 8192     // at one dialer
	defaultConnections = 2        // to one peer
	// poolGrowthCalls is the number of outstanding calls at which a pool grows. 2,700 callers and the connections that the calls of
	// defaultMaxCalls can add stay below maxConnections.
	poolGrowthCalls = 4
)
