package backendhttp

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/core/memory"
	"parsleyport/core/ring"
	"parsleyport/io/httpserver"
	"parsleyport/io/loglimit"
)

const (
	// DefaultLease is how long an announcement is valid unless it is repeated.
	DefaultLease       = 3 * time.Second
	leaseCheckInterval = 250 * time.Millisecond
	requestReadTimeout = 5 * time.Second
	// failureLinesPerSecond bounds the log lines about calls that were not answered; lines above it are only counted.
	failureLinesPerSecond = 25
)

// Options configures a Server. Without Address and Listener, announcements are made only through Announce.
type Options struct {
	// Headers names the HTTP headers; the zero value stands for the default names.
	Headers core.HeaderNames
	// Lease is how long an announcement is valid unless it is repeated. Zero means DefaultLease.
	Lease time.Duration
	// AllowCloseDelimited accepts answers without a length, which end with the connection. It must not be set for a backend server
	// whose connections are closed when it crashes, since a truncated answer would pass for a complete one.
	AllowCloseDelimited bool
	// Address is the TCP address for announcements.
	Address string
	// Listener replaces Address if it is set.
	Listener net.Listener
	// Admission is the admission control. Nil means NewQueue with one slot until the first announcement.
	Admission Admission
	// OnChange is called with the latest state after changes, one call at a time. The end of the lease and the start of Drain are
	// reported with the state leaving. It may be nil.
	OnChange func(Announcement)
	// OnCrash is called with the calls that were running in a crash. It may be nil.
	OnCrash func(Crash)
	// CrashTrials limits the calls that run as tests of a suspicion (core.Call.Trial). Nil means no limit.
	CrashTrials core.CrashTrials
	// ReportStuckCalls calls core.Call.OnStuck for calls that the backend server may never answer, as it answers later ones; see
	// stuck.Detector.
	ReportStuckCalls bool
	// Dial connects to the backend server. Nil means a TCP dial.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Logger gets a line when a run of a backend server is first announced, when a lease ends, and for calls that were not answered.
	Logger zerolog.Logger
	// Metrics gets the server's metrics. If it is nil, a private set is used.
	Metrics *metrics.Set
}

// Crash is the end of a backend server's process while calls were running.
type Crash struct {
	// Run is the run of the process that ended, as it was announced.
	Run string
	// Calls holds the calls whose connections broke.
	Calls []CrashedCall
}

// CrashedCall is a call that was running in a crash.
type CrashedCall struct {
	// Fingerprint identifies requests that are equal, and Exact those that are equal in query and caller's service too.
	Fingerprint, Exact idempotency.Fingerprint
	// StartedAt is when the call was sent to the backend server, and BrokenAt when its connection broke.
	StartedAt, BrokenAt time.Time
	// Service is the service of the call.
	Service core.ServiceName
	// Route is the route of the call.
	Route core.RouteName
	// Release is the release that crashed.
	Release core.Release
}

// Server receives the announcements of the local backend server and sends calls to it. It implements core.Backend.
type Server struct {
	options   Options
	admission Admission
	pool      *pool
	listener  net.Listener
	http      *http.Server
	tasks     sync.WaitGroup
	done      chan struct{}
	changed   chan struct{} // has one element while a change has not been reported to OnChange
	crashes   *ring.Ring[Crash]
	heads     *memory.Budget // for the heads of answers
	streams   streamPlaces

	stuckCalls   *stuckCalls // nil without ReportStuckCalls
	sentCalls    *metrics.Counter
	crashedCalls *metrics.Counter
	strayAnswers *metrics.Counter

	invalidAnswers *metrics.Counter
	failureLog     zerolog.Logger // for calls that were not answered

	probes     *ring.Ring[Announcement] // backend servers to dial after calls were broken
	exchanges  atomic.Int64             // number of calls that the backend server is working on
	answeredAt atomic.Int64             // Unix time of its latest answer, in nanoseconds

	mu          sync.Mutex
	announced   *Announcement // nil if there is no lease
	latest      Announcement  // the state for OnChange
	leaseEnd    time.Time
	draining    bool
	activeCalls int
	drained     chan struct{} // closed when the server is draining and no call is active
	brokenCalls []brokenCall
}

type brokenCall struct {
	call CrashedCall
	run  string
}

// New listens for announcements. The clean-up function closes all connections and waits for the server's goroutines.
func New(options Options) (*Server, func(), error) {
	listener := options.Listener
	if listener == nil && options.Address != "" {
		var err error
		if listener, err = net.Listen("tcp", options.Address); err != nil {
			return nil, nil, errors.Annotate(err, "listen for the backend server")
		}
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	if options.Headers == (core.HeaderNames{}) {
		options.Headers = core.DefaultHeaderNames()
	}
	if options.Lease == 0 {
		options.Lease = DefaultLease
	}
	s := &Server{
		options:        options,
		admission:      options.Admission,
		pool:           newPool(options.Dial),
		listener:       listener,
		done:           make(chan struct{}),
		changed:        make(chan struct{}, 1),
		crashes:        ring.New[Crash](maxQueuedCrashes),
		heads:          memory.NewBudget(memory.Share(headBudgetDivisor, defaultHeadBudget)),
		sentCalls:      options.Metrics.GetOrCreateCounter("parsleyport_backend_calls_total"),
		crashedCalls:   options.Metrics.GetOrCreateCounter("parsleyport_backend_crashed_calls_total"),
		strayAnswers:   options.Metrics.GetOrCreateCounter("parsleyport_backend_stray_answers_total"),
		invalidAnswers: options.Metrics.GetOrCreateCounter("parsleyport_backend_invalid_answers_total"),
		failureLog:     loglimit.New(options.Logger, options.Metrics, "not-answered", failureLinesPerSecond),
		stuckCalls:     newStuckCalls(options.ReportStuckCalls, options.Metrics, options.Logger),
		drained:        make(chan struct{}),
		probes:         ring.New[Announcement](1),
	}
	if s.admission == nil {
		s.admission = NewQueue(1)
	}
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: requestReadTimeout,
		ReadTimeout:       requestReadTimeout,
		WriteTimeout:      requestReadTimeout,
		MaxHeaderBytes:    maxAnnouncementBytes,
		ErrorLog:          log.New(options.Logger, "", 0),
	}
	if listener != nil {
		limited := httpserver.NewLimitedListener(listener, "announcements")
		limited.Limit(s.http)
		s.tasks.Go(func() { _ = s.http.Serve(limited) }) // ends with http.ErrServerClosed
	}
	s.tasks.Go(s.expireLeases)
	s.tasks.Go(s.runCallbacks)
	s.tasks.Go(s.probeAfterBreaks)
	return s, s.close, nil
}

// Address returns the address for announcements, or an empty string if there is no listener.
func (s *Server) Address() string {
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

func (s *Server) close() {
	close(s.done)
	_ = s.http.Close()
	s.tasks.Wait()
	s.pool.prune(0)
}

// Current returns the announced state, or false if there is no lease.
func (s *Server) Current() (Announcement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announced == nil {
		return Announcement{}, false
	}
	return *s.announced, true
}

type announceInput struct {
	Body Announcement
}

type announceOutput struct {
	Body struct {
		LeaseMS int64 `json:"lease-ms"`
	}
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("parsleyport backend announcements", "1")
	config.CreateHooks = nil // otherwise answers have a $schema key
	api := humago.New(mux, config)
	huma.Register(api, huma.Operation{
		OperationID:   "announce",
		Method:        http.MethodPut,
		Path:          "/v1/backend",
		MaxBodyBytes:  maxAnnouncementBytes,
		DefaultStatus: http.StatusOK,
	}, func(_ context.Context, input *announceInput) (*announceOutput, error) {
		if err := s.Announce(input.Body); err != nil {
			return nil, huma.Error400BadRequest(err.Error())
		}
		output := &announceOutput{}
		output.Body.LeaseMS = s.options.Lease.Milliseconds()
		return output, nil
	})
	huma.Register(api, huma.Operation{
		OperationID:   "withdraw",
		Method:        http.MethodDelete,
		Path:          "/v1/backend",
		DefaultStatus: http.StatusNoContent,
	}, func(context.Context, *struct{}) (*struct{}, error) {
		s.endLease(time.Now(), "withdrawn")
		return nil, nil
	})
	return mux
}

// Announce starts or renews the lease of the backend server. It returns the error of Announcement.Check.
func (s *Server) Announce(a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	s.announce(time.Now(), a)
	return nil
}

func (s *Server) announce(now time.Time, a Announcement) {
	s.mu.Lock()
	previous := s.announced
	s.announced = &a
	s.leaseEnd = now.Add(s.options.Lease)
	if previous != nil && previous.Run != a.Run {
		s.reportCrash(now, previous.Run)
	}
	s.setLatest(a)
	s.mu.Unlock()
	if previous == nil || previous.Slots != a.Slots {
		s.admission.SetSlots(a.Slots)
	}
	if previous == nil || previous.Run != a.Run {
		s.options.Logger.Info().Str("service", string(a.Service)).Str("release", string(a.Release)).Str("run", a.Run).Msg("backend server announced")
	}
}

func (s *Server) endLease(now time.Time, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announced == nil {
		return
	}
	ended := *s.announced
	s.announced = nil
	s.reportCrash(now, ended.Run)
	ended.State = core.EndpointLeaving
	s.setLatest(ended)
	s.options.Logger.Info().Str("run", ended.Run).Str("reason", reason).Msg("backend server's lease ended")
}

// setLatest schedules a call of OnChange if the state has changed. s.mu must be held.
func (s *Server) setLatest(a Announcement) {
	if s.draining {
		a.State = core.EndpointLeaving
	}
	if s.latest == a {
		return
	}
	s.latest = a
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// expireLeases ends the lease of a backend server that no longer announces itself, and closes idle connections.
func (s *Server) expireLeases() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			expired := s.announced != nil && !now.Before(s.leaseEnd)
			s.mu.Unlock()
			if expired {
				s.endLease(now, "lease expired")
			}
			s.pool.prune(maxIdleTime)
		}
	}
}

// runCallbacks calls OnChange and OnCrash on a goroutine of its own, so that a slow callback delays no announcement and no call.
func (s *Server) runCallbacks() {
	for {
		select {
		case <-s.done:
			return
		case <-s.changed:
			s.mu.Lock()
			latest := s.latest
			s.mu.Unlock()
			if s.options.OnChange != nil {
				s.options.OnChange(latest)
			}
		case crash := <-s.crashes.Items():
			if s.options.OnCrash != nil {
				s.options.OnCrash(crash)
			}
		}
	}
}

// Drain reports the state leaving and refuses new calls. It returns when all active calls have ended, or the context's error.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	if !s.draining {
		s.draining = true
		if s.latest.Service != "" {
			s.setLatest(s.latest)
		}
		s.signalDrained()
	}
	s.mu.Unlock()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalDrained closes s.drained if the drain is complete. s.mu must be held.
func (s *Server) signalDrained() {
	if !s.draining || s.activeCalls > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// beginCall counts a call as active, or returns the reason to refuse it.
func (s *Server) beginCall(call *core.Call) *core.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return &core.Refusal{
			Cause: core.CauseLeaving,
		}
	}
	if _, refusal := s.targetOf(call); refusal != nil {
		return refusal
	}
	s.activeCalls++
	return nil
}

// targetOf returns the backend server for a call, or a refusal if none can take it now. The entry node may have chosen this node for
// an earlier service or release of its backend server. s.mu must be held.
func (s *Server) targetOf(call *core.Call) (Announcement, *core.Refusal) {
	if s.announced == nil || !time.Now().Before(s.leaseEnd) {
		return Announcement{}, &core.Refusal{
			Cause: core.CauseNoBackend,
		}
	}
	switch s.announced.State {
	case core.EndpointLeaving:
		return Announcement{}, &core.Refusal{
			Cause: core.CauseLeaving,
		}
	case core.EndpointStarting:
		return Announcement{}, &core.Refusal{
			Cause:  core.CauseNoBackend,
			Detail: "backend server is starting",
		}
	}
	if call.Service != s.announced.Service || call.Release != s.announced.Release {
		return Announcement{}, &core.Refusal{
			Cause:  core.CauseNoBackend,
			Detail: "backend server is of another service or release",
		}
	}
	return *s.announced, nil
}

// Preview implements core.CallPreviewer.
func (s *Server) Preview(call *core.Call) (core.Load, *core.Refusal) {
	load := s.admission.Load(call.Route)
	s.mu.Lock()
	draining := s.draining
	_, refusal := s.targetOf(call)
	s.mu.Unlock()
	if draining {
		refusal = &core.Refusal{
			Cause: core.CauseLeaving,
		}
	}
	if previewer, ok := s.admission.(AdmissionPreviewer); ok && refusal == nil {
		refusal = previewer.Preview(call)
	}
	if refusal != nil {
		refusal.Load = load
	}
	return load, refusal
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls--
	s.signalDrained()
}
