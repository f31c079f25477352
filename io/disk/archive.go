package disk

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/juju/errors"

	"parsleyport/core/catalog"
)

const archivePrefix = "audit-"

// archiveContent is the content of one archive file.
type archiveContent struct {
	Entries [][]byte `msgpack:"entries"`
}

// entryRange is the numbers of the entries in one archive file, from first to before end.
type entryRange struct {
	first, end uint64
}

func (r entryRange) name() string {
	return fmt.Sprintf("%s%020d-%020d", archivePrefix, r.first, r.end)
}

// Archive keeps numbered audit entries permanently in the data folder. Each batch is one file, which is written atomically and
// never changed. The file name holds the range of the entries, so that OpenArchive need not read any content.
type Archive struct {
	folder Folder
	mu     sync.Mutex   // guards ranges and failed
	ranges []entryRange // sorted by first, without overlaps
	failed error
}

var _ catalog.Archive = (*Archive)(nil)

// OpenArchive lists the archive files of the folder. It returns ErrCorrupt if batches overlap. The caller still owns the folder.
func OpenArchive(folder Folder) (*Archive, error) {
	names, err := folder.List()
	if err != nil {
		return nil, errors.Annotate(err, "list data folder")
	}
	a := &Archive{
		folder: folder,
	}
	slices.Sort(names)
	for _, name := range names {
		if !strings.HasPrefix(name, archivePrefix) || strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		var r entryRange
		if _, err := fmt.Sscanf(name, archivePrefix+"%d-%d", &r.first, &r.end); err != nil || r.name() != name || r.end <= r.first {
			return nil, errors.Annotatef(ErrCorrupt, "archive name %q", name)
		}
		if !a.add(r) {
			return nil, errors.Annotatef(ErrCorrupt, "archive %q overlaps with another one", name)
		}
	}
	return a, nil
}

func (a *Archive) add(r entryRange) bool {
	at, _ := slices.BinarySearchFunc(a.ranges, r.first, func(x entryRange, first uint64) int {
		if x.end <= first {
			return -1
		}
		return 1
	})
	if at < len(a.ranges) && a.ranges[at].first < r.end {
		return false
	}
	a.ranges = slices.Insert(a.ranges, at, r)
	return true
}

// Append implements catalog.Archive. After a failed write or sync it always returns ErrFailed.
func (a *Archive) Append(first uint64, entries [][]byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := entryRange{
		first: first,
		end:   first + uint64(len(entries)),
	}
	if a.failed != nil || len(entries) == 0 {
		return a.failed
	}
	if !a.add(r) {
		return errors.AlreadyExistsf("archive entry from %d to %d", r.first, r.end)
	}
	if err := writeRecordFile(a.folder, r.name(), archiveContent{Entries: entries}); err != nil {
		a.failed = errors.Annotatef(ErrFailed, "%v", err)
	}
	return a.failed
}

// Missing implements catalog.Archive.
func (a *Archive) Missing(from, to uint64) (first, end uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.ranges {
		if r.first > from {
			return min(from, to), min(r.first, to)
		}
		from = max(from, r.end)
	}
	return min(from, to), to
}

// Batch implements catalog.Archive. It returns ErrCorrupt if the file is damaged.
func (a *Archive) Batch(number uint64) (first uint64, entries [][]byte, err error) {
	a.mu.Lock()
	at := slices.IndexFunc(a.ranges, func(r entryRange) bool { return r.first <= number && number < r.end })
	if a.failed != nil || at < 0 {
		defer a.mu.Unlock()
		return 0, nil, errors.NotFoundf("archive entry %d", number)
	}
	r := a.ranges[at]
	a.mu.Unlock()
	var content archiveContent
	if err := readRecordFile(a.folder, r.name(), &content); err != nil {
		return 0, nil, err
	}
	if uint64(len(content.Entries)) != r.end-r.first {
		return 0, nil, errors.Annotatef(ErrCorrupt, "%q has %d entries", r.name(), len(content.Entries))
	}
	return r.first, content.Entries, nil
}
