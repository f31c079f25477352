package node

// cleanups collects clean-up functions and runs them in reverse order.
type cleanups []func()

func (c *cleanups) add(cleanup func()) {
	*c = append(*c, cleanup)
}

func (c *cleanups) run() {
	for i := len(*c) - 1; i >= 0; i-- {
		(*c)[i]()
	}
	*c = nil
}
