package record

// Source provides the newest configuration and signals newer ones. It is declared here because package core cannot import this
// package.
type Source interface {
	// Current returns the newest configuration; it is never nil.
	Current() *Configuration
	// Changed returns a channel that is closed when the configuration that Current returns now is replaced.
	Changed() <-chan struct{}
}
