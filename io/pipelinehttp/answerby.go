package pipelinehttp

import (
	"context"
	"time"
)

// SetAnswerBy states when a request must be answered for its caller to wait for it; ctx is the context of the request. A caller that
// gets no answer by then closes the connection, which ends all requests on it. If earlier ones of the connection are in progress at
// that time, they are cancelled, so that they are answered with a failure and the later ones are saved.
func SetAnswerBy(ctx context.Context, at time.Time) {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, e := range c.order.entries {
		if r := e.owner; r.ctx == ctx && i > 0 {
			r.answerTimer = time.AfterFunc(time.Until(at), func() { c.cancelBefore(e) })
			return
		}
	}
}

// cancelBefore cancels the requests before one that must be answered now.
func (c *connection) cancelBefore(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, earlier := range c.order.before(e) {
		if !earlier.done {
			earlier.owner.cancel()
		}
	}
}
