package pipelinehttp

import "sync"

const (
	// defaultAccountBytes is the size of the account if the memory limit of the process is unknown.
	defaultAccountBytes = 64 << 20
	// smallRequestBytes is the most that a connection may hold of the part of the account for small requests. A usual request has a
	// head of 1 KB and a dozen header lines.
	smallRequestBytes = 12 << 10
	// smallRequestShare is the part of the account that only connections with one small request at a time can use, so that they are
	// served while large or many requests have used up the rest.
	smallRequestShare = 4
)

// account bounds the memory for heads, parsed headers, request bodies and waiting answers of all connections together.
type account struct {
	mu    sync.Mutex // guards the fields below
	size  int64
	used  int64
	large int64 // part of used that may not use the part for small requests
}

// holding is what one connection or one request holds of an account.
type holding struct {
	account *account
	bytes   int64
	large   bool // holds more than smallRequestBytes, or belongs to one of several requests at a time
}

func newAccount(size int64) *account {
	return &account{
		size: size,
	}
}

// reserve adds to what is held, or returns false and changes nothing.
func (h *holding) reserve(bytes int64, alone bool) bool {
	if bytes <= 0 {
		return true
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	large := h.large || !alone || h.bytes+bytes > smallRequestBytes
	added := bytes
	if large && !h.large {
		added += h.bytes // what was held as small is held as large from now on
	}
	if a.used+bytes > a.size || large && a.large+added > a.size-a.size/smallRequestShare {
		return false
	}
	a.used += bytes
	if large {
		a.large += added
	}
	h.bytes, h.large = h.bytes+bytes, large
	return true
}

// release returns all that is held.
func (h *holding) release() {
	if h.bytes == 0 {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= h.bytes
	if h.large {
		a.large -= h.bytes
	}
	h.bytes, h.large = 0, false
}

// inUse returns the bytes that are held.
func (a *account) inUse() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}
