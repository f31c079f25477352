package record

// Source gives the newest configuration and tells of newer ones. It is declared here and not in package core, because
// core cannot import this package.
type Source interface {
	// Current returns the newest configuration; it is never nil.
	Current() *Configuration
	// Changed returns a channel that is closed when the configuration after the one held at the call arrives.
	Changed() <-chan struct{}
}
