package frame

import (
	"slices"
	"sync"
)

// Unintroduced bounds the accepted connections whose first message has not arrived. Beyond the bound it closes the oldest one, so that
// silent connections keep no other process out for long.
type Unintroduced struct {
	max int

	mu          sync.Mutex
	connections []*Conn // oldest first
}

// NewUnintroduced returns a bound of a number of connections.
func NewUnintroduced(maxConnections int) *Unintroduced {
	return &Unintroduced{
		max: maxConnections,
	}
}

// Add adds a connection that was accepted, and closes the oldest one if there are too many.
func (u *Unintroduced) Add(c *Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.connections = append(u.connections, c)
	if len(u.connections) > u.max {
		_ = u.connections[0].Close()
		u.connections = slices.Delete(u.connections, 0, 1)
	}
}

// Remove removes a connection that has introduced itself or was closed. Removing it again has no effect.
func (u *Unintroduced) Remove(c *Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if i := slices.Index(u.connections, c); i >= 0 {
		u.connections = slices.Delete(u.connections, i, i+1)
	}
}
