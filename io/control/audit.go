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
	backfillCapacity  = 16          // messages
)

// auditRange asks for the entries of the audit trail from First up to and without End, or carries entries from First on.
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

// backfill fetches archived entries of the audit trail that this instance lacks because its disk is new, or because it was away for
// so long that it received a snapshot. Until then only the other instances hold them.
type backfill struct {
	catalog  *catalog.Catalog
	archive  *disk.Archive
	peers    func() []core.ControlID
	send     func(to core.ControlID, topic string, payload []byte) bool
	log      zerolog.Logger
	inbox    *ring.Ring[auditMessage]
	nextPeer int
}

func newBackfill() *backfill {
	return &backfill{
		inbox: ring.New[auditMessage](backfillCapacity),
	}
}

// receive queues a message from another instance, or drops it if the queue is full.
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
				b.nextPeer = (b.nextPeer + 1) % len(peers)
				b.request(peers[b.nextPeer])
			}
		}
	}
}

func (b *backfill) request(from core.ControlID) {
	if first, end := b.catalog.MissingAudit(); first < end {
		b.sendRange(from, auditRequestTopic, auditRange{
			First: first,
			End:   end,
		})
	}
}

func (b *backfill) sendRange(to core.ControlID, topic string, content auditRange) {
	if payload, err := msgpack.Marshal(content); err == nil {
		b.send(to, topic, payload) // a lost message is requested again
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

func (b *backfill) answer(to core.ControlID, requested auditRange) {
	first, entries, err := b.archive.Batch(requested.First)
	if err != nil || requested.End <= requested.First {
		return // another instance may hold the entries
	}
	entries = entries[requested.First-first:]
	b.sendRange(to, auditEntriesTopic, auditRange{
		First:   requested.First,
		Entries: entries[:min(uint64(len(entries)), requested.End-requested.First)],
	})
}

// store appends received entries if they begin with the first missing one, and requests the next ones at once.
func (b *backfill) store(from core.ControlID, received auditRange) {
	first, end := b.catalog.MissingAudit()
	if received.First != first || len(received.Entries) == 0 || uint64(len(received.Entries)) > end-first {
		return
	}
	if err := b.archive.Append(first, received.Entries); err != nil {
		b.log.Error().Err(err).Msg("missing audit entries not stored") // a fault of the disk stops the instance at the next snapshot
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

// startBackfill starts the background task that completes the archive of the audit trail.
func (p *process) startBackfill(injector do.Injector) {
	replica := do.MustInvoke[*raftpeer.Replica](injector)
	b := p.backfill
	b.catalog, b.archive = do.MustInvoke[*catalog.Catalog](injector), do.MustInvoke[*disk.Archive](injector)
	b.send, b.log = replica.Send, p.log
	b.peers = func() []core.ControlID { return p.otherIDs(replica) }
	p.startTask(b.run)
}
