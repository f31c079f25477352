package nodepeer

import "context"

// ownedContext is a context derived from that of an owner: a call's from its connection's, a connection's from its server's. Package
// context ends derived contexts one after another. In between, a call whose own context has not ended yet must not start in the slot that
// another call of the same owner has left, so that Err waits for the context's end once the owner's has come.
type ownedContext struct {
	context.Context
	owner context.Context
}

// Err implements context.Context.
func (c ownedContext) Err() error {
	if c.owner.Err() != nil {
		<-c.Done()
	}
	return c.Context.Err()
}
