package disk

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"
)

// Folder is a folder of files without subfolders; file names have no path.
type Folder interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns a file's content.
	Read(name string) ([]byte, error)
	// Create creates an empty file, or empties an existing one, and opens it for appending.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// Truncate cuts a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// Rename renames a file and replaces an existing one.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// Sync makes the creation, renaming and removal of files durable.
	Sync() error
	// Close releases the folder.
	Close() error
}

// File is a file opened for appending.
type File interface {
	io.WriteCloser
	// Sync makes the content durable.
	Sync() error
}

// osFolder is a folder of the operating system.
type osFolder struct {
	path string
	lock *os.File
}

const lockName = "lock"

// OpenFolder creates the folder if it does not exist, and locks it against other processes.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, errors.Annotate(err, "create data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Annotate(err, "open lock file of data folder")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, errors.Annotatef(err, "data folder %q is in use by another process", path)
	}
	return &osFolder{
		path: path,
		lock: lock,
	}, nil
}

func (f *osFolder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() && entry.Name() != lockName {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

func (f *osFolder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

func (f *osFolder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

func (f *osFolder) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY|os.O_APPEND, 0o600)
}

func (f *osFolder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(file.Sync())
}

func (f *osFolder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

func (f *osFolder) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

func (f *osFolder) Sync() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return errors.Trace(err)
	}
	defer folder.Close()
	return errors.Trace(folder.Sync())
}

func (f *osFolder) Close() error {
	return f.lock.Close()
}
