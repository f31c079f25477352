package httpserver

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/juju/errors"
)

// ErrBodiesFull is returned by reading the body of a request while the bodies of other requests use up the memory for them.
const ErrBodiesFull = errors.ConstError("other requests use up the memory for bodies")

// maxBodyRead bounds the bytes that one read reserves before they arrive.
const maxBodyRead = 16 << 10

// BodyBudget bounds the memory for the request bodies of a server.
type BodyBudget struct {
	port string
	left atomic.Int64
}

// NewBodyBudget returns a budget in bytes; port names the server in metrics.
func NewBodyBudget(port string, bytes int64) *BodyBudget {
	b := &BodyBudget{
		port: port,
	}
	b.left.Store(bytes)
	return b
}

// Limit wraps a handler, so that reading more bodies than the budget allows fails with ErrBodiesFull. The bytes that a request has read
// are returned to the budget when the handler returns.
func (b *BodyBudget) Limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &limitedBody{
			ReadCloser: r.Body,
			budget:     b,
		}
		defer func() { b.left.Add(body.reserved) }()
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

type limitedBody struct {
	io.ReadCloser
	budget   *BodyBudget
	reserved int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(data []byte) (int, error) {
	data = data[:min(len(data), maxBodyRead)]
	size := int64(len(data))
	if l.budget.left.Add(-size) < 0 {
		l.budget.left.Add(size)
		countRefusal(l.budget.port, "bodies")
		return 0, ErrBodiesFull
	}
	n, err := l.ReadCloser.Read(data)
	l.reserved += int64(n)
	l.budget.left.Add(size - int64(n))
	return n, err
}
