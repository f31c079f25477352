// Package disktest provides an in-memory data folder for tests, with simulated crashes, sync errors and full disks.
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

// ErrSync is the error of syncs that FailSyncs makes fail.
const ErrSync = errors.ConstError("sync failed")

// Memory is an in-memory disk.Folder. It is safe for concurrent use.
type Memory struct {
	mu          sync.Mutex
	files       map[string]*fileContent
	syncedFiles map[string]*fileContent // files as of the last Sync of the folder
	crashCount  int
	capacity    int
	failSyncs   bool
	syncCount   int
}

type fileContent struct {
	data        []byte
	syncedBytes int
}

type openFile struct {
	folder     *Memory
	content    *fileContent
	crashCount int // of the folder when the file was opened; after a crash the handle is invalid
}

// NewMemory returns an empty folder without a capacity limit.
func NewMemory() *Memory {
	return &Memory{
		files:       make(map[string]*fileContent),
		syncedFiles: make(map[string]*fileContent),
	}
}

// SetCapacity makes writes fail with ENOSPC once the folder holds capacity bytes. Zero removes the limit.
func (m *Memory) SetCapacity(capacity int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacity = capacity
}

// FailSyncs makes all later syncs fail with ErrSync, or succeed again.
func (m *Memory) FailSyncs(fail bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failSyncs = fail
}

// Syncs returns the number of syncs requested so far, failed ones included.
func (m *Memory) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncCount
}

// Crash drops a random part of what was not synced: file data, and changes of file names since the last Sync of the folder.
// Of unsynced data that a file keeps, the last byte may be corrupted.
func (m *Memory) Crash(random *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashCount++
	if random.IntN(2) == 0 {
		m.files = maps.Clone(m.syncedFiles)
	}
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		content := m.files[name]
		kept := content.syncedBytes + random.IntN(len(content.data)-content.syncedBytes+1)
		content.data = slices.Clone(content.data[:kept])
		if kept > content.syncedBytes && random.IntN(2) == 0 {
			content.data[kept-1] ^= 0x55
		}
		content.syncedBytes = kept
	}
	m.syncedFiles = maps.Clone(m.files)
}

// Wipe removes all files, as if the disk were replaced by an empty one.
func (m *Memory) Wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashCount++
	m.files, m.syncedFiles = make(map[string]*fileContent), make(map[string]*fileContent)
}

// Corrupt inverts the bits of one byte of a file.
func (m *Memory) Corrupt(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[name].data[offset] ^= 0xff
}

// Size returns the size of a file in bytes, and zero if the file does not exist.
func (m *Memory) Size(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if content, exists := m.files[name]; exists {
		return len(content.data)
	}
	return 0
}

// List implements disk.Folder.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

// Read implements disk.Folder.
func (m *Memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	content, exists := m.files[name]
	if !exists {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(content.data), nil
}

// Create implements disk.Folder.
func (m *Memory) Create(name string) (disk.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[name] = &fileContent{}
	return m.open(name)
}

// Append implements disk.Folder.
func (m *Memory) Append(name string) (disk.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open(name)
}

func (m *Memory) open(name string) (disk.File, error) {
	content, exists := m.files[name]
	if !exists {
		return nil, fs.ErrNotExist
	}
	return &openFile{
		folder:     m,
		content:    content,
		crashCount: m.crashCount,
	}, nil
}

// Truncate implements disk.Folder.
func (m *Memory) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	content := m.files[name]
	content.data = content.data[:size]
	content.syncedBytes = int(size)
	return nil
}

// Rename implements disk.Folder.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

// Remove implements disk.Folder.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.files, name)
	return nil
}

// Sync implements disk.Folder.
func (m *Memory) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncCount++
	if m.failSyncs {
		return ErrSync
	}
	m.syncedFiles = maps.Clone(m.files)
	return nil
}

// Close implements disk.Folder.
func (m *Memory) Close() error {
	return nil
}

func (h *openFile) Write(data []byte) (int, error) {
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	if h.crashCount != h.folder.crashCount {
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
	for _, content := range m.files {
		used += len(content.data)
	}
	return used
}

func (h *openFile) Sync() error {
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	h.folder.syncCount++
	if h.crashCount != h.folder.crashCount {
		return fs.ErrClosed
	}
	if h.folder.failSyncs {
		return ErrSync
	}
	h.content.syncedBytes = len(h.content.data)
	return nil
}

func (h *openFile) Close() error {
	return nil
}
