package memory

import (
	"math"
	"runtime/debug"
	"sync/atomic"
)

// HeaderLineBytes is the memory of a parsed header line in addition to its text, with the copies that a call on its way holds.
const HeaderLineBytes = 350

// Share returns the memory limit of the process in bytes (GOMEMLIMIT) divided by a number, or a default if there is no limit.
func Share(divisor, defaultBytes int64) int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit / divisor
	}
	return defaultBytes
}

// Budget bounds the bytes that are reserved at the same time. It is safe for concurrent use.
type Budget struct {
	left atomic.Int64
}

// NewBudget returns a budget of a size in bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// Reserve takes bytes, or returns false and takes none if fewer are left.
func (b *Budget) Reserve(bytes int64) bool {
	if b.left.Add(-bytes) >= 0 {
		return true
	}
	b.left.Add(bytes)
	return false
}

// Release returns bytes that were reserved.
func (b *Budget) Release(bytes int64) { b.left.Add(bytes) }

// Left returns the bytes that can be reserved.
func (b *Budget) Left() int64 { return b.left.Load() }

// HeaderBytes returns the memory of a parsed header.
func HeaderBytes(header map[string][]string) int64 {
	bytes := 0
	for name, values := range header {
		for _, value := range values {
			bytes += len(name) + len(value) + HeaderLineBytes
		}
	}
	return int64(bytes)
}
