package control

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/packed"
	"parsleyport/core/ring"
	"parsleyport/io/disk"
	"parsleyport/io/raftpeer"
)

const (
	auditRequestTopic = "audit-request"
	auditEntriesTopic = "audit-entries"
	backfillInterval  = time.Second // an unanswered request goes to the next instance
	backfillCapacity  = 16
)

// auditRange asks for entries of the audit trail, or carries them from First on.
type auditRange struct {
	First   uint64   `msgpack:"first"`
	End     uint64   `msgpack:"end"`
	Entries [][]byte `msgpack:"entries,omitempty"`
}

type auditMessage struct {
	from    core.ControlID
	topic   string
	payload []byte
}

// backfill fetches archived entries of the audit trail that an instance missed: with a new disk, or after it was away for
// so long that it got a snapshot. Until then the other instances alone hold them.
type backfill struct {
	catalog *catalog.Catalog
	archive *disk.Archive
	peers   func() []core.ControlID
	send    func(to core.ControlID, topic string, payload []byte) bool
	log     zerolog.Logger
	inbox   *ring.Ring[auditMessage]
	next    int
}

func newBackfill() *backfill {
	return &backfill{
		inbox: ring.New[auditMessage](backfillCapacity),
	}
}

// receive takes a message of another instance.
func (b *backfill) receive(from core.ControlID, topic string, payload []byte) {
	b.inbox.TryPush(auditMessage{
		from:    from,
		topic:   topic,
		payload: payload,
	})
}

func (b *backfill) run(ctx context.Context) {
	ticker := time.NewTicker(backfillInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-b.inbox.Items():
			b.handle(message)
		case <-ticker.C:
			if peers := b.peers(); len(peers) > 0 {
				b.next = (b.next + 1) % len(peers)
				b.request(peers[b.next])
			}
		}
	}
}

func (b *backfill) request(from core.ControlID) {
	if first, end := b.catalog.MissingAudit(); first < end {
		b.post(from, auditRequestTopic, auditRange{
			First: first,
			End:   end,
		})
	}
}

func (b *backfill) post(to core.ControlID, topic string, content auditRange) {
	if payload, err := msgpack.Marshal(content); err == nil {
		b.send(to, topic, payload) // what is lost is asked for again
	}
}

func (b *backfill) handle(message auditMessage) {
	var content auditRange
	if err := packed.Decode(message.payload, &content); err != nil {
		return
	}
	switch message.topic {
	case auditRequestTopic:
		b.answer(message.from, content)
	case auditEntriesTopic:
		b.store(message.from, content)
	}
}

func (b *backfill) answer(to core.ControlID, asked auditRange) {
	first, entries, err := b.archive.Batch(asked.First)
	if err != nil || asked.End <= asked.First {
		return // another instance may hold them
	}
	entries = entries[asked.First-first:]
	b.post(to, auditEntriesTopic, auditRange{
		First:   asked.First,
		Entries: entries[:min(uint64(len(entries)), asked.End-asked.First)],
	})
}

// store takes what is missing now, and asks on at once while there is progress.
func (b *backfill) store(from core.ControlID, got auditRange) {
	first, end := b.catalog.MissingAudit()
	if got.First != first || len(got.Entries) == 0 || uint64(len(got.Entries)) > end-first {
		return
	}
	if err := b.archive.Append(first, got.Entries); err != nil {
		b.log.Error().Err(err).Msg("audit trail not completed") // the next snapshot stops the instance
		return
	}
	if first, end = b.catalog.MissingAudit(); first >= end {
		b.log.Info().Uint64("entries", end).Msg("audit trail completed")
	}
	b.request(from)
}

func (p *process) newFolder(do.Injector) (disk.Folder, error) {
	return disk.OpenFolder(p.settings.DataFolder)
}

func (p *process) newArchive(injector do.Injector) (*disk.Archive, error) {
	folder, err := do.Invoke[disk.Folder](injector)
	if err != nil {
		return nil, err
	}
	archive, err := disk.OpenArchive(folder)
	if err != nil {
		_ = folder.Close()
		return nil, errors.Annotate(err, "archive of the audit trail")
	}
	return archive, nil
}

func (p *process) newCatalog(injector do.Injector) (*catalog.Catalog, error) {
	archive, err := do.Invoke[*disk.Archive](injector)
	if err != nil {
		return nil, err
	}
	return catalog.NewWithArchive(archive), nil
}

// startBackfill starts the duty that completes the archive of the audit trail.
func (p *process) startBackfill(injector do.Injector) {
	replica := do.MustInvoke[*raftpeer.Replica](injector)
	b := p.backfill
	b.catalog, b.archive = do.MustInvoke[*catalog.Catalog](injector), do.MustInvoke[*disk.Archive](injector)
	b.send, b.log = replica.Send, p.log
	b.peers = func() []core.ControlID { return p.otherIDs(replica) }
	p.startDuty(b.run)
}
