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

// Limits and timeouts of a replica.
const (
	// MaxCommandBytes is the greatest size of a proposed command.
	MaxCommandBytes = 4 << 20

	maxMembers             = 16
	maxIncomingConnections = 64
	maxUnintroduced        = maxMembers // incoming connections without a first message
	maxFirstMessageBytes   = 2 << 20    // earlier releases may begin with an append message of 1 MiB of commands; later ones begin with a ping
	maxOutstandingRequests = 4096       // proposals and reads of this instance without an answer
	maxBatchEvents         = 512        // events that one sync covers
	inputQueueCapacity     = 1024
	maxPendingEntries      = 8192 // committed entries not yet passed to the applier
	applyQueueCapacity     = 256
	sendQueueCapacity      = 1024
	defaultRequestTimeout  = 10 * time.Second // for requests whose context has no deadline
	leaderPollInterval     = 250 * time.Millisecond
	retryDelay             = 20 * time.Millisecond
	readAttemptTimeout     = 500 * time.Millisecond // a read without an answer is then requested again
	dialTimeout            = 500 * time.Millisecond
	redialDelay            = 100 * time.Millisecond
	sendTimeout            = time.Second
	pingInterval           = 500 * time.Millisecond
	silenceTimeout         = 1500 * time.Millisecond // a connection that does not answer pings for so long is replaced
	bootstrapInterval      = 150 * time.Millisecond
	introduceInterval      = time.Second           // between the hellos of an instance that is not a member
	introductionMaxAge     = 3 * introduceInterval // an introduction is valid for so long, so two hellos in a row may be lost
	maxTimerInterval       = 100 * time.Millisecond
)

// Member is a control instance as the settings name it.
type Member struct {
	ID         core.ControlID
	Address    string // peer address, as IP address and port
	DataCentre core.DataCentre
}

// Options configure a replica. Members lists all control instances, including this one.
type Options struct {
	Self          core.ControlID
	DataFolder    string
	Listen        string
	Members       []Member
	Bootstrap     bool // agree with all Members on an initial membership if the data folder is empty
	AcceptUnknown bool // connect to instances that introduce themselves although Members does not list them
	Logger        zerolog.Logger
	Metrics       *metrics.Set
	// Receive is called for messages that other instances send with Send; nil drops them. It must not block.
	Receive func(from core.ControlID, topic string, payload []byte)
	// Folder replaces the data folder on disk, for tests.
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
		return errors.NotValidf("members with duplicate ids")
	}
	if !lo.Contains(ids, o.Self) {
		return errors.NotValidf("member list without %q", o.Self)
	}
	return nil
}

// selfMember returns this instance's entry in the settings.
func (o *Options) selfMember() Member {
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
