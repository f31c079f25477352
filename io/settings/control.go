package settings

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/quota"
)

// maxMembers is the highest number of control instances.
const maxMembers = 7

// Member describes one control instance in the settings of all of them.
type Member struct {
	ID              core.ControlID
	DataCentre      core.DataCentre
	OperatorAddress string
	PeerAddress     string
	NodeAddress     string
}

// Control holds the settings of a control instance. Its own addresses are those of its entry in Members.
type Control struct {
	ID              core.ControlID
	DataCentre      core.DataCentre
	DataFolder      string
	OperatorAddress string
	PeerAddress     string
	NodeAddress     string
	AdminAddress    string // address of an additional server for metrics; empty for none, since the operators' API serves them too
	Bootstrap       bool
	Members         []Member
	TokenFile       string // empty if operators need no token
	Limits          Limits
	// Voters is the number of voters that the leader maintains, zero if operators change the membership.
	Voters int
	// MemberAt returns the other addresses of an instance that introduces itself with its peer address; nil if all instances are in
	// Members.
	MemberAt func(peerAddress string) Member
	// MaxShortMoveDuration is the longest duration of a move that risks more calls in order to end in time, zero for no such moves.
	MaxShortMoveDuration time.Duration
	DirectNodes          int            // nodes of one data centre that attach to this instance and not to a relay, zero for the default
	EvidenceInterval     time.Duration  // between two reports of evidence to the other instances, zero for the default
	Quota                quota.Settings // zero for the defaults
	LogLevel             zerolog.Level
}

var memberAddressKeys = []string{"operator-address", "peer-address", "node-address"}

// LoadControl reads and checks the settings of a control instance; it returns an *Error with all faults.
func LoadControl(path string) (Control, error) {
	source, err := readFile(path)
	if err != nil {
		return Control{}, err
	}
	return ParseControl(path, source)
}

// ParseControl checks the settings of a control instance; it returns an *Error with all faults, which name the file.
func ParseControl(file string, source []byte) (Control, error) {
	r := &reader{
		file:   file,
		source: source,
	}
	top, ok := r.parse()
	if !ok {
		return Control{}, r.err()
	}
	self := readMember(top)
	control := Control{
		ID:              self.ID,
		DataCentre:      self.DataCentre,
		OperatorAddress: self.OperatorAddress,
		PeerAddress:     self.PeerAddress,
		NodeAddress:     self.NodeAddress,
		DataFolder:      top.text("data-folder", "path of a folder", notEmpty),
		Bootstrap:       top.boolean("bootstrap"),
		TokenFile:       top.optionalText("token-file", "path of a file, or empty", "", func(string) bool { return true }),
		Limits:          readLimits(top),
		Quota:           readQuota(top),
		LogLevel:        top.logLevel("log-level"),
	}
	elements := top.list("members", "list of all control instances")
	control.Members = readMembers(r, elements)
	checkMembers(top, control.Members)
	checkSelf(top, self, control.Members)
	top.rejectUnknownKeys()
	if err := r.err(); err != nil {
		return Control{}, err
	}
	return control, nil
}

func readMember(o *object) Member {
	member := Member{
		ID:              core.ControlID(o.name("id")),
		DataCentre:      core.DataCentre(o.name("data-centre")),
		OperatorAddress: o.address("operator-address"),
		PeerAddress:     o.address("peer-address"),
		NodeAddress:     o.address("node-address"),
	}
	o.checkDistinct(memberAddressKeys, member.addresses())
	return member
}

func (m Member) addresses() []string {
	return []string{m.OperatorAddress, m.PeerAddress, m.NodeAddress}
}

func readMembers(r *reader, elements []element) []Member {
	members := make([]Member, 0, len(elements))
	ids := make(map[core.ControlID]string, len(elements))
	addresses := make(map[string]string)
	for _, e := range elements {
		o, ok := r.object(e)
		if !ok {
			continue
		}
		member := readMember(o)
		o.rejectUnknownKeys()
		if first, exists := ids[member.ID]; exists && member.ID != "" {
			o.fault("id", "an id that is unique", fmt.Sprintf("%q as in %s", member.ID, first))
		}
		ids[member.ID] = e.path
		for i, address := range member.addresses() {
			if first, exists := addresses[address]; exists && address != "" && first != e.path {
				o.fault(memberAddressKeys[i], "an address that is unique", address+" as in "+first)
			}
			addresses[address] = e.path
		}
		members = append(members, member)
	}
	return members
}

// checkMembers rejects an even number of instances, which tolerates no more failures than one instance fewer, and a majority in one of
// several data centres, because the loss of that data centre would stop all changes.
func checkMembers(top *object, members []Member) {
	if len(members) == 0 {
		return // already reported
	}
	if len(members)%2 == 0 || len(members) > maxMembers {
		top.fault("members", fmt.Sprintf("an odd number of control instances, at most %d", maxMembers), fmt.Sprint(len(members)))
	}
	count := make(map[core.DataCentre]int)
	for _, member := range members {
		count[member.DataCentre]++
	}
	for _, member := range members {
		if n := count[member.DataCentre]; len(count) > 1 && n > len(members)/2 {
			top.fault("members", "no majority in one of several data centres", fmt.Sprintf("%d of %d in %q", n, len(members), member.DataCentre))
			return
		}
	}
}

func checkSelf(top *object, self Member, members []Member) {
	if self.ID == "" || len(members) == 0 {
		return // already reported
	}
	for _, member := range members {
		if member.ID != self.ID {
			continue
		}
		if member.DataCentre != self.DataCentre {
			top.fault("data-centre", fmt.Sprintf("%q as in members", member.DataCentre), fmt.Sprintf("%q", self.DataCentre))
		}
		for i, address := range self.addresses() {
			if listed := member.addresses()[i]; listed != address && listed != "" && address != "" {
				top.fault(memberAddressKeys[i], listed+" as in members", address)
			}
		}
		return
	}
	top.fault("id", "one of the ids in members", fmt.Sprintf("%q", self.ID))
}

func notEmpty(text string) bool {
	return text != ""
}
