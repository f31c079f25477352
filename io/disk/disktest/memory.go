// Package disktest is an in-memory data folder for tests. It loses what was not synced at a crash and fails on demand.
package disktest

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"github.com/juju/errors"

	"parsleyport/io/disk"
)

// ErrSync is the error of a sync that was made to fail.
const ErrSync = errors.ConstError("sync failed")

// Memory implements disk.Folder.
type Memory struct {
	mu       sync.Mutex
	names    map[string]*content
	durable  map[string]*content // names as of the last Sync
	crashes  int
	capacity int
	failSync bool
	syncs    int
}

type content struct {
	data   []byte
	synced int
}

type handle struct {
	folder  *Memory
	content *content
	crashes int // a handle from before a crash is dead
}

// NewMemory returns an empty folder.
func NewMemory() *Memory {
	return &Memory{
		names:   make(map[string]*content),
		durable: make(map[string]*content),
	}
}

// Limit makes writes fail with ENOSPC once the folder holds capacity bytes; zero removes the limit.
func (m *Memory) Limit(capacity int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacity = capacity
}

// FailSyncs makes all syncs fail, or succeed again.
func (m *Memory) FailSyncs(fail bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failSync = fail
}

// Syncs returns how many syncs were asked for.
func (m *Memory) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Crash loses a random part of what was not synced; the last byte that it keeps of such a part may be damaged.
func (m *Memory) Crash(random *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashes++
	if random.IntN(2) == 0 {
		m.names = maps.Clone(m.durable)
	}
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		c := m.names[name]
		kept := c.synced + random.IntN(len(c.data)-c.synced+1)
		c.data = slices.Clone(c.data[:kept])
		if kept > c.synced && random.IntN(2) == 0 {
			c.data[kept-1] ^= 0x55
		}
		c.synced = kept
	}
	m.durable = maps.Clone(m.names)
}

// Wipe removes everything, as a new disk does.
func (m *Memory) Wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashes++
	m.names, m.durable = make(map[string]*content), make(map[string]*content)
}

// Corrupt flips the bits of one stored byte.
func (m *Memory) Corrupt(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names[name].data[offset] ^= 0xff
}

// Size returns the size of a file in bytes.
func (m *Memory) Size(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, exists := m.names[name]; exists {
		return len(c.data)
	}
	return 0
}

// List implements disk.Folder.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.names)), nil
}

// Read implements disk.Folder.
func (m *Memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, exists := m.names[name]
	if !exists {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(c.data), nil
}

// Create implements disk.Folder.
func (m *Memory) Create(name string) (disk.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names[name] = &content{}
	return m.open(name)
}

// Append implements disk.Folder.
func (m *Memory) Append(name string) (disk.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open(name)
}

func (m *Memory) open(name string) (disk.File, error) {
	c, exists := m.names[name]
	if !exists {
		return nil, fs.ErrNotExist
	}
	return &handle{
		folder:  m,
		content: c,
		crashes: m.crashes,
	}, nil
}

// Truncate implements disk.Folder.
func (m *Memory) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.names[name]
	c.data = c.data[:size]
	c.synced = int(size)
	return nil
}

// Rename implements disk.Folder.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

// Remove implements disk.Folder.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.names, name)
	return nil
}

// Sync implements disk.Folder.
func (m *Memory) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncs++
	if m.failSync {
		return ErrSync
	}
	m.durable = maps.Clone(m.names)
	return nil
}

// Close implements disk.Folder.
func (m *Memory) Close() error {
	return nil
}

func (h *handle) Write(data []byte) (int, error) {
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	if h.crashes != h.folder.crashes {
		return 0, fs.ErrClosed
	}
	written := len(data)
	if limit := h.folder.capacity; limit > 0 {
		written = min(written, max(limit-h.folder.used(), 0))
	}
	h.content.data = append(h.content.data, data[:written]...)
	if written < len(data) {
		return written, syscall.ENOSPC
	}
	return written, nil
}

func (m *Memory) used() int {
	used := 0
	for _, c := range m.names {
		used += len(c.data)
	}
	return used
}

func (h *handle) Sync() error {
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	h.folder.syncs++
	if h.crashes != h.folder.crashes {
		return fs.ErrClosed
	}
	if h.folder.failSync {
		return ErrSync
	}
	h.content.synced = len(h.content.data)
	return nil
}

func (h *handle) Close() error {
	return nil
}
