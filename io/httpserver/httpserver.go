package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

const (
	// unreadRequestTimeout limits how long a stopping server waits for the first requests on the connections that it has accepted.
	// It covers a few round trips between data centres.
	unreadRequestTimeout = 500 * time.Millisecond
	unreadPollInterval   = 10 * time.Millisecond
)

// Timeouts of servers that set none. The longest answer is a dump of the state, which a slow connection takes seconds to carry.
const (
	headTimeout    = 5 * time.Second
	requestTimeout = 30 * time.Second
	answerTimeout  = time.Minute // from the end of the head
	idleTimeout    = time.Minute
)

// Serve serves on a listener until the returned clean-up function is called. The clean-up function closes the listener, waits for the
// requests in progress, and cuts off those that have not ended after stopTimeout. Serve sets the server's ConnState and ConnContext, wraps
// its Handler, limits heads and connections, and sets the timeouts that the server has not set. Port names the listener in metrics.
func Serve(server *http.Server, listener net.Listener, port string, stopTimeout time.Duration, log zerolog.Logger) func() {
	unread := unreadConnections{
		connections: make(map[net.Conn]struct{}),
	}
	accepting := NewListener(listener)
	limited := NewLimitedListener(accepting, port)
	limited.Limit(server)
	trackLimits := server.ConnState
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		trackLimits(connection, state)
		unread.track(connection, state)
	}
	setTimeouts(server)
	stopping := atomic.Bool{}
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) && !stopping.Load() {
			log.Error().Err(err).Str("event", "interface-lost").Str("address", listener.Addr().String()).Msg("HTTP server failed")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		stopping.Store(true)
		// The listener is closed first: once Shutdown has begun, net/http closes a connection whose request it has just read, without
		// an answer.
		if err := accepting.Close(); err != nil {
			log.Warn().Err(err).Str("address", listener.Addr().String()).Msg("failed to close the listener")
		}
		for deadline := time.Now().Add(min(stopTimeout, unreadRequestTimeout)); unread.exist() && time.Now().Before(deadline); {
			time.Sleep(unreadPollInterval)
		}
		if err := server.Shutdown(ctx); err != nil {
			log.Warn().Err(err).Str("address", listener.Addr().String()).Msg("requests in progress were cut off")
			_ = server.Close() // its error concerns only the connections that it cuts off
		}
		<-served
	}
}

func setTimeouts(server *http.Server) {
	for timeout, value := range map[*time.Duration]time.Duration{
		&server.ReadHeaderTimeout: headTimeout,
		&server.ReadTimeout:       requestTimeout,
		&server.WriteTimeout:      answerTimeout,
		&server.IdleTimeout:       idleTimeout,
	} {
		if *timeout == 0 {
			*timeout = value
		}
	}
	if server.MaxHeaderBytes == 0 {
		server.MaxHeaderBytes = maxHeadBytes
	}
}

// unreadConnections tracks the connections whose first request has not been read.
type unreadConnections struct {
	mu          sync.Mutex // guards connections
	connections map[net.Conn]struct{}
}

func (u *unreadConnections) track(connection net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.connections[connection] = struct{}{}
		return
	}
	delete(u.connections, connection)
}

func (u *unreadConnections) exist() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.connections) > 0
}
