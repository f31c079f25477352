package settings

import (
	"slices"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/io/pipelinehttp"
)

// Node holds the settings of a node.
type Node struct {
	ID               core.NodeID
	DataCentre       core.DataCentre
	CallerAddress    string
	PeerAddress      string
	RelayAddress     string
	BackendAddress   string
	AdminAddress     string
	ControlAddresses []string
	Service          core.ServiceName // of the local backend server, empty until it announces itself
	CallerLimits     pipelinehttp.Limits
	LogLevel         zerolog.Level
}

var nodeAddressKeys = []string{"caller-address", "peer-address", "relay-address", "backend-address", "admin-address"}

// LoadNode reads and checks the settings of a node; it returns an *Error with all faults.
func LoadNode(path string) (Node, error) {
	source, err := readFile(path)
	if err != nil {
		return Node{}, err
	}
	return ParseNode(path, source)
}

// ParseNode checks the settings of a node; it returns an *Error with all faults, which name the file.
func ParseNode(file string, source []byte) (Node, error) {
	r := &reader{
		file:   file,
		source: source,
	}
	top, ok := r.parse()
	if !ok {
		return Node{}, r.err()
	}
	node := Node{
		ID:             core.NodeID(top.name("id")),
		DataCentre:     core.DataCentre(top.name("data-centre")),
		CallerAddress:  top.address("caller-address"),
		PeerAddress:    top.address("peer-address"),
		RelayAddress:   top.address("relay-address"),
		BackendAddress: top.address("backend-address"),
		AdminAddress:   top.address("admin-address"),
		CallerLimits:   readCallerLimits(top),
		LogLevel:       top.logLevel("log-level"),
	}
	node.ControlAddresses = readAddresses(r, top.list("control-addresses", "list of the node addresses of control instances"))
	ownAddresses := []string{node.CallerAddress, node.PeerAddress, node.RelayAddress, node.BackendAddress, node.AdminAddress}
	top.checkDistinct(nodeAddressKeys, ownAddresses)
	for _, address := range lo.Intersect(node.ControlAddresses, ownAddresses) {
		top.fault("control-addresses", "addresses of control instances", address+", which is this node's own")
	}
	top.rejectUnknownKeys()
	if err := r.err(); err != nil {
		return Node{}, err
	}
	return node, nil
}

func readAddresses(r *reader, elements []element) []string {
	addresses := make([]string, 0, len(elements))
	for _, e := range elements {
		text, isText := stringLiteral(e.value)
		if !isText || !isAddress(text) {
			r.fault(e.line, e.path, expectedAddress, r.describeValue(e.value))
			continue
		}
		if slices.Contains(addresses, text) {
			r.fault(e.line, e.path, "each address once", text)
		}
		addresses = append(addresses, text)
	}
	return addresses
}
