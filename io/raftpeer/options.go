package raftpeer

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/raft"
	"parsleyport/io/disk"
)

// Limits and times of the driver.
const (
	// MaxCommandBytes bounds one proposed command.
	MaxCommandBytes = 4 << 20

	maxMembers             = 16
	maxIncomingConnections = 64
	maxOutstandingRequests = 4096 // proposals and reads that wait at one instance
	maxBatchEvents         = 512  // events that share one sync
	inputCapacity          = 1024
	maxPendingEntries      = 8192 // committed entries that wait for the applier
	applyCapacity          = 256
	sendCapacity           = 1024
	defaultRequestTimeout  = 10 * time.Second // of a request whose context has no deadline
	leaderPollInterval     = 250 * time.Millisecond
	retryDelay             = 20 * time.Millisecond
	readAttemptTimeout     = 500 * time.Millisecond // a read that was lost is asked again
	dialTimeout            = 500 * time.Millisecond
	redialDelay            = 100 * time.Millisecond
	sendTimeout            = time.Second
	pingInterval           = 500 * time.Millisecond
	silenceTimeout         = 1500 * time.Millisecond // a connection without an answer to pings is replaced
	bootstrapInterval      = 150 * time.Millisecond
	introduceInterval      = time.Second           // an instance that is not a member tells the others its identity
	introductionMaxAge     = 3 * introduceInterval // after which one that has said nothing more is forgotten; two hellos may be lost
	maxTimerInterval       = 100 * time.Millisecond
	connectionBacklog      = 16
)

// Member names a control instance as in the settings.
type Member struct {
	ID         core.ControlID
	Address    string // peer address, IP number and port
	DataCentre core.DataCentre
}

// Options of a replica. Members lists all control instances, this one too.
type Options struct {
	Self          core.ControlID
	DataFolder    string
	Listen        string
	Members       []Member
	Bootstrap     bool // agree on an initial membership with all Members if the data folder is empty
	AcceptUnknown bool // take part with instances that Members does not name, as they introduce themselves
	Logger        zerolog.Logger
	Metrics       *metrics.Set
	// Receive takes the messages that other instances send with Send; nil drops them. It must not block.
	Receive func(from core.ControlID, topic string, payload []byte)
	// Folder replaces the data folder on the disk, for tests.
	Folder disk.Folder

	trailingEntries core.LogIndex // replaces raft.TrailingEntries, for tests
}

func (o *Options) check() error {
	if o.Self == "" || o.Listen == "" || o.DataFolder == "" && o.Folder == nil {
		return errors.NotValidf("options without self, listen address or data folder")
	}
	if len(o.Members) > maxMembers {
		return errors.NotValidf("%d members (at most %d)", len(o.Members), maxMembers)
	}
	ids := lo.Map(o.Members, func(m Member, _ int) core.ControlID { return m.ID })
	if len(lo.Uniq(ids)) != len(ids) {
		return errors.NotValidf("members with equal ids")
	}
	if !lo.Contains(ids, o.Self) {
		return errors.NotValidf("member list without %q", o.Self)
	}
	return nil
}

// self returns what the settings say of this instance.
func (o *Options) self() Member {
	member, _ := lo.Find(o.Members, func(m Member) bool { return m.ID == o.Self })
	return member
}

func (o *Options) bootstrapMembers() []raft.Member {
	if !o.Bootstrap {
		return nil
	}
	return lo.Map(o.Members, func(m Member, _ int) raft.Member {
		return raft.Member{
			Peer: raft.Peer{
				ID: m.ID,
			},
			Address:    m.Address,
			DataCentre: m.DataCentre,
		}
	})
}
