package operatorhttp

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/raft"
	"parsleyport/core/record"
	"parsleyport/io/httpserver"
)

// dump is the state of a control instance for support. It holds no secrets.
type dump struct {
	Replica    core.ReplicatorStatus                `json:"replica"`
	Members    []raft.Member                        `json:"members"`
	NonMembers []raft.Peer                          `json:"non-members"`
	Fleet      FleetStatus                          `json:"fleet"`
	Nodes      []NodeStatus                         `json:"nodes"`
	Endpoints  map[core.ServiceName][]core.Endpoint `json:"endpoints"`
	Moves      []core.Move                          `json:"moves"`
	Revision   core.Revision                        `json:"revision"`
	Hash       core.Hash                            `json:"hash"`
	Records    []core.Record                        `json:"records"`
}

// metrics returns the metrics handler, which also works under overload. The metrics cover all tenants, so they need a token with all
// rights if any token is limited.
func (s *Server) metrics() http.Handler {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		s.options.Metrics.WritePrometheus(w)
		httpserver.WriteMetrics(w)
		metrics.WriteProcessMetrics(w)
		metrics.WriteFDMetrics(w)
	})
	if s.authenticator.hasLimitedTokens() {
		return s.requireAllRights(handler)
	}
	return handler
}

// ready answers with 200 if a leader confirms that this instance is up to date, so that it can answer operators' requests.
func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	if err := s.options.Replicator.ConfirmRead(ctx); err != nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) state(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(s.dump()); err != nil {
		s.options.Log.Error().Err(err).Msg("state dump cannot be encoded")
	}
}

func (s *Server) dump() dump {
	configuration := s.options.Catalog.Current()
	d := dump{
		Replica:    s.options.Replicator.Status(),
		Members:    s.options.Membership.Members(),
		NonMembers: s.options.Membership.NonMembers(),
		Fleet:      s.options.Fleet.Fleet(),
		Nodes:      s.options.Fleet.Nodes(),
		Endpoints:  make(map[core.ServiceName][]core.Endpoint),
		Moves:      s.moves(catalog.Principal{}),
		Revision:   configuration.Revision(),
		Hash:       configuration.Hash(),
		Records:    record.Redact(configuration.Records()),
	}
	for _, service := range configuration.Services() {
		d.Endpoints[service] = s.options.Fleet.Endpoints(service)
	}
	return d
}
