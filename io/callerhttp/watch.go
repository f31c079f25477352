package callerhttp

import (
	"context"
	"net/http"
	"time"

	"parsleyport/io/pipelinehttp"
)

// callerDisconnected reports whether the caller has closed its connection.
func callerDisconnected(ctx context.Context) bool { return pipelinehttp.Disconnected(ctx) }

// disconnectPollInterval bounds how long a call goes on after its caller has left while its body is not being read.
const disconnectPollInterval = 100 * time.Millisecond

// cancelWhenCallerLeaves cancels a call whose body is passed on while it arrives. While such a call waits, nothing reads from its
// connection that would notice.
func cancelWhenCallerLeaves(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for !callerDisconnected(ctx) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	cancel()
}

// Concurrent implements pipelinehttp.ConcurrencyDecider: the requests of idempotent routes may run beside each other, since a lost
// answer to one of them does not keep its caller from sending it again.
func (s *Server) Concurrent(r *http.Request) bool {
	route, matched := s.options.Source.Current().Match(r.Host, r.Method, r.URL.Path)
	return matched && route.Idempotent
}

// readTime returns the time when a request was read. Deadlines count from it.
func readTime(ctx context.Context) time.Time {
	if at := pipelinehttp.ReadTime(ctx); !at.IsZero() {
		return at
	}
	return time.Now()
}

// declared returns the limits for callers in the configuration.
func (s *Server) declared() pipelinehttp.Declared {
	declaration := s.options.Source.Current().Declaration()
	return pipelinehttp.Declared{
		HeadBytes:   int(declaration.MaxHeaderBytes),
		HeadTimeout: time.Duration(declaration.HeaderTimeoutMS) * time.Millisecond,
		IdleTimeout: time.Duration(declaration.IdleTimeoutMS) * time.Millisecond,
	}
}

// countLimit counts a connection that was closed without an answer, or a body that was refused, because of a limit.
func (s *Server) countLimit(cause string) {
	s.options.Metrics.GetOrCreateCounter(`parsleyport_caller_limits_total{cause="` + cause + `"}`).Inc()
}
