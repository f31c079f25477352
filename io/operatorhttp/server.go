package operatorhttp

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/io/httpserver"
)

// Options configure a Server. Tokens is empty if operators need none.
type Options struct {
	Listen     string
	Replicator core.Replicator
	Membership Membership
	Catalog    *catalog.Catalog
	Tokens     []Token
	Fleet      FleetView
	Log        zerolog.Logger
	Metrics    *metrics.Set

	Submissions Rate                   // also of moves, aborts and membership changes; for each token with all rights or set of tenants
	Queries     Rate                   // for each token with all rights or set of tenants
	Limits      func() *catalog.Limits // for deciding new commands; may be nil and may return nil
}

// Server serves the operators' API of one control instance.
type Server struct {
	options       Options
	authenticator authenticator
	quotas        map[string]*quota
	listener      net.Listener
	requests      chan struct{} // holds one item for each request under way
}

// New listens and serves until the returned clean-up function is called, which gives requests under way a few seconds to end; it
// returns an error if it cannot listen.
func New(options Options) (*Server, func(), error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, nil, errors.Annotate(err, "operator address")
	}
	s := &Server{
		options:       options,
		authenticator: newAuthenticator(options.Tokens),
		quotas:        newQuotas(options),
		listener:      listener,
		requests:      make(chan struct{}, maxRequests),
	}
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		WriteTimeout:      answerTimeout,
		IdleTimeout:       idleTimeout,
	}
	s.addGauges()
	stop := httpserver.Serve(server, listener, "operator", stopTimeout, options.Log)
	options.Log.Info().Str("address", s.Address()).Msg("operators' API is listening")
	return s, stop, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("parsleyport operators' API", "1")
	config.DocsPath, config.SchemasPath = "", "" // the documentation page loads scripts from other hosts
	config.CreateHooks = nil                     // no schema links in answers
	config.Transformers = append(config.Transformers, withoutValues)
	api := humago.New(mux, config)
	s.register(api)
	root := http.NewServeMux()
	root.Handle("GET "+metricsPath, s.metrics())
	root.Handle("GET "+readyPath, s.limitConcurrency(http.HandlerFunc(s.ready)))
	root.Handle("GET "+statePath, s.limitConcurrency(s.requireAllRights(http.HandlerFunc(s.state))))
	bodies := httpserver.NewBodyBudget("operator", maxBodiesBytes)
	root.Handle("/", s.limitConcurrency(s.authenticate(s.limitRate(bodies.Limit(s.readWholeBody(mux))))))
	return root
}

// withoutValues removes the refused values from error answers, since they may hold API keys. The locations and messages stay.
func withoutValues(_ huma.Context, _ string, answer any) (any, error) {
	if problem, is := answer.(*huma.ErrorModel); is {
		for _, detail := range problem.Errors {
			detail.Value = nil
		}
	}
	return answer, nil
}

// readWholeBody reads the body before huma does: huma answers a truncated body with status 500, from which the client would conclude
// that the command may have been proposed.
func (s *Server) readWholeBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, catalog.MaxCommandBytes))
		if err == nil {
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, r)
			return
		}
		if errors.Is(err, httpserver.ErrBodiesFull) {
			s.countError("busy")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		s.countError("malformed")
		status := http.StatusBadRequest
		if tooLong, is := errors.AsType[*http.MaxBytesError](err); is {
			status = http.StatusRequestEntityTooLarge
			err = fmt.Errorf("more than %d bytes", tooLong.Limit)
		}
		http.Error(w, fmt.Sprintf("request body: %v", err), status)
	})
}

func (s *Server) limitConcurrency(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.requests <- struct{}{}:
			defer func() { <-s.requests }()
			next.ServeHTTP(w, r)
		default:
			s.countError("busy")
			http.Error(w, "too many requests at the same time", http.StatusServiceUnavailable)
		}
	})
}

func (s *Server) countError(cause string) {
	s.options.Metrics.GetOrCreateCounter(fmt.Sprintf("parsleyport_operator_errors_total{cause=%q}", cause)).Inc()
}

func (s *Server) countVerdict(action catalog.Action, v catalog.Verdict) {
	name := fmt.Sprintf("parsleyport_operator_verdicts_total{action=%q,result=%q,cause=%q}", action, v.Result, v.Cause)
	s.options.Metrics.GetOrCreateCounter(name).Inc()
}

func (s *Server) addGauges() {
	gauge := func(name string, value func() float64) { s.options.Metrics.GetOrCreateGauge(name, value) }
	gauge("parsleyport_revision", func() float64 { return float64(s.options.Catalog.Current().Revision()) })
	gauge("parsleyport_revision_lowest_in_force", func() float64 { return float64(s.options.Fleet.Fleet().LowestInForce) })
	gauge("parsleyport_nodes", func() float64 { return float64(s.options.Fleet.Fleet().Nodes) })
	gauge("parsleyport_rules_version", func() float64 { return float64(s.options.Catalog.Rules()) })
	gauge("parsleyport_moves_open", func() float64 { return float64(len(s.openMoves(catalog.Principal{}))) })
}

func (s *Server) openMoves(principal catalog.Principal) []core.MoveID {
	return lo.FilterMap(s.moves(principal), func(m core.Move, _ int) (core.MoveID, bool) {
		return m.MoveID, !catalog.Ended(m.State)
	})
}

func (s *Server) moves(principal catalog.Principal) []core.Move {
	return lo.Filter(s.options.Catalog.Moves(), func(m core.Move, _ int) bool { return principal.CanAccess(s.tenant(m.Request.Service)) })
}

func (s *Server) tenant(service core.ServiceName) core.TenantID {
	return catalog.ServiceTenant(s.options.Catalog.Current(), service)
}
