package httpserver

import (
	"io"
	"net/http"

	"github.com/juju/errors"

	"parsleyport/core/memory"
)

// ErrBodiesFull is returned by reading the body of a request while the bodies of other requests use up the memory for them.
const ErrBodiesFull = errors.ConstError("other requests use up the memory for bodies")

// maxBodyRead bounds the bytes that one read reserves before they arrive.
const maxBodyRead = 16 << 10

// BodyBudget bounds the memory for the request bodies of a server.
type BodyBudget struct {
	port   string
	memory *memory.Budget
}

// NewBodyBudget returns a budget in bytes; port names the server in metrics.
func NewBodyBudget(port string, bytes int64) *BodyBudget {
	return &BodyBudget{
		port:   port,
		memory: memory.NewBudget(bytes),
	}
}

// Limit wraps a handler, so that reading more bodies than the budget allows fails with ErrBodiesFull. The bytes that a request has read
// are returned to the budget when the handler returns.
func (b *BodyBudget) Limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &limitedBody{
			ReadCloser: r.Body,
			budget:     b,
		}
		defer func() { b.memory.Release(body.reserved) }()
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
	if !l.budget.memory.Reserve(size) {
		countRefusal(l.budget.port, "bodies")
		return 0, ErrBodiesFull
	}
	n, err := l.ReadCloser.Read(data)
	l.reserved += int64(n)
	l.budget.memory.Release(size - int64(n))
	return n, err
}
