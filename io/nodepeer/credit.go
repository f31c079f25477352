package nodepeer

import (
	"context"
	"sync"
)

// credit is the flow-control window of one answer: the number of bytes that may still be sent. One goroutine acquires, and
// any goroutine may add.
type credit struct {
	mu    sync.Mutex
	bytes int
	added chan struct{}
}

func newCredit(bytes int) *credit {
	return &credit{
		bytes: bytes,
		added: make(chan struct{}, 1),
	}
}

func (c *credit) add(bytes int) {
	c.mu.Lock()
	c.bytes = min(c.bytes+max(bytes, 0), answerWindowBytes)
	c.mu.Unlock()
	select {
	case c.added <- struct{}{}:
	default:
	}
}

// acquire waits until that many bytes may be sent, or returns the cause of the context's end.
func (c *credit) acquire(ctx context.Context, bytes int) error {
	for {
		c.mu.Lock()
		enough := c.bytes >= bytes
		if enough {
			c.bytes -= bytes
		}
		c.mu.Unlock()
		if enough {
			return nil
		}
		select {
		case <-c.added:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
