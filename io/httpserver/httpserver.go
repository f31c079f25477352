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
	// unreadLimit is how long a server that stops waits for the first requests on the connections that it has accepted: a few
	// round trips between data centres.
	unreadLimit = 500 * time.Millisecond
	unreadCheck = 10 * time.Millisecond
)

// Serve serves on a listener until the clean-up function is called, which accepts no more connections and cuts requests that
// have not ended after the limit. It sets the server's ConnState.
func Serve(server *http.Server, listener net.Listener, limit time.Duration, log zerolog.Logger) func() {
	unread := unreadConnections{
		held: make(map[net.Conn]struct{}),
	}
	server.ConnState = unread.change
	shared := &onceListener{
		Listener: listener,
		close:    sync.OnceValue(listener.Close),
	}
	stopping := atomic.Bool{}
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := server.Serve(shared); !errors.Is(err, http.ErrServerClosed) && !stopping.Load() {
			log.Error().Err(err).Str("event", "interface-lost").Str("address", listener.Addr().String()).Msg("HTTP server has ended")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		stopping.Store(true)
		// Once Shutdown has begun, net/http closes a connection whose request it has just read without an answer.
		if err := shared.Close(); err != nil {
			log.Warn().Err(err).Str("address", listener.Addr().String()).Msg("listener not closed")
		}
		for until := time.Now().Add(min(limit, unreadLimit)); unread.any() && time.Now().Before(until); {
			time.Sleep(unreadCheck)
		}
		if err := server.Shutdown(ctx); err != nil {
			log.Warn().Err(err).Str("address", listener.Addr().String()).Msg("requests under way were cut")
			_ = server.Close() // what it reports is that of the connections it cuts
		}
		<-served
	}
}

// unreadConnections are those whose first request has not been read.
type unreadConnections struct {
	mu   sync.Mutex // guards held
	held map[net.Conn]struct{}
}

func (u *unreadConnections) change(connection net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.held[connection] = struct{}{}
		return
	}
	delete(u.held, connection)
}

func (u *unreadConnections) any() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.held) > 0
}

// onceListener may be closed again.
type onceListener struct {
	net.Listener
	close func() error
}

// Close stops to accept connections; those accepted stay.
func (l *onceListener) Close() error { return l.close() }
