package backendhttp

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/idempotency"
	"parsleyport/core/ring"
	"parsleyport/io/loglimit"
)

const (
	// DefaultLease is how long an announcement holds without being repeated.
	DefaultLease       = 3 * time.Second
	leaseCheckInterval = 250 * time.Millisecond
	requestReadTimeout = 5 * time.Second
	// brokenCallLifetime is how long a broken call waits for the end of the backend server's lease, which proves a crash.
	brokenCallLifetime = 10 * time.Second
	// failureLinesPerSecond about calls that were not answered are written in a second; the others are counted.
	failureLinesPerSecond = 25
	maxBrokenCalls        = 1024
	maxQueuedCrashes      = 64
)

// Options configures a Server. OnChange gets the newest announced state after each change, one call at a time; the end
// of a lease and a planned stop are reported as leaving. OnCrash gets the calls that ran in a crash. Listener replaces
// Address, Dial replaces a TCP dial, and Admission defaults to NewQueue. Without Address and Listener, announcements come
// through Announce only. Lease zero stands for DefaultLease.
type Options struct {
	Headers core.HeaderNames // the zero value stands for the default names
	Lease   time.Duration
	// AllowCloseDelimited takes the end of the connection for the end of an answer without a length. A backend server that closes
	// its connections when it crashes must not be used so.
	AllowCloseDelimited bool
	Address             string
	Listener            net.Listener
	Admission           Admission
	OnChange            func(Announcement)
	OnCrash             func(Crash)
	Dial                func(ctx context.Context, address string) (net.Conn, error)
	Logger              zerolog.Logger
	Metrics             *metrics.Set
}

// Crash is one end of a backend server's process while calls were running.
type Crash struct {
	Run   string
	Calls []CrashedCall
}

// CrashedCall is a call that was running in a crash.
type CrashedCall struct {
	Fingerprint idempotency.Fingerprint
	Service     core.ServiceName
	Route       core.RouteName
	Release     core.Release
}

// Server is the node's side of the local backend server; it is a core.Backend.
type Server struct {
	options   Options
	admission Admission
	pool      *pool
	listener  net.Listener
	http      *http.Server
	tasks     sync.WaitGroup
	done      chan struct{}
	changed   chan struct{} // holds one token when the state has changed
	crashes   *ring.Ring[Crash]

	sentCalls    *metrics.Counter
	crashedCalls *metrics.Counter
	strayAnswers *metrics.Counter
	failureLog   zerolog.Logger // about calls that were not answered

	mu          sync.Mutex
	announced   *Announcement // nil without a lease
	latest      Announcement  // as reported to OnChange
	leaseEnd    time.Time
	draining    bool
	activeCalls int
	drained     chan struct{} // closed when leaving and no call is left
	brokenCalls []brokenCall
}

type brokenCall struct {
	call CrashedCall
	run  string
	at   time.Time
}

// New listens for announcements; the clean-up function closes everything and waits for the goroutines.
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
		options:      options,
		admission:    options.Admission,
		pool:         newPool(options.Dial),
		listener:     listener,
		done:         make(chan struct{}),
		changed:      make(chan struct{}, 1),
		crashes:      ring.New[Crash](maxQueuedCrashes),
		sentCalls:    options.Metrics.GetOrCreateCounter("parsleyport_backend_calls_total"),
		crashedCalls: options.Metrics.GetOrCreateCounter("parsleyport_backend_crashed_calls_total"),
		strayAnswers: options.Metrics.GetOrCreateCounter("parsleyport_backend_stray_answers_total"),
		failureLog:   loglimit.New(options.Logger, options.Metrics, "not-answered", failureLinesPerSecond),
		drained:      make(chan struct{}),
	}
	if s.admission == nil {
		s.admission = NewQueue(1)
	}
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: requestReadTimeout,
		ReadTimeout:       requestReadTimeout,
		MaxHeaderBytes:    maxAnnouncementBytes,
		ErrorLog:          log.New(options.Logger, "", 0),
	}
	if listener != nil {
		s.tasks.Go(func() { _ = s.http.Serve(listener) }) // ends with http.ErrServerClosed
	}
	s.tasks.Go(s.expireLeases)
	s.tasks.Go(s.runCallbacks)
	return s, s.close, nil
}

// Address returns the address at which the backend server announces itself.
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

// Current returns the announced state; false means that there is no lease.
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
	config.CreateHooks = nil // no $schema key in answers
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

// Announce takes what the backend server says of itself; it returns what is wrong with it.
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
	s.options.Logger.Info().Str("run", ended.Run).Str("reason", reason).Msg("backend server gone")
}

// change needs the lock.
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

// watch ends the lease of a backend server that has stopped announcing itself.
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
				s.endLease(now, "lease ran out")
			}
			s.pool.prune(maxIdleTime)
		}
	}
}

// report calls the callbacks, so that a slow one delays no announcement and no call.
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

// Drain reports leaving, refuses new calls, and returns when all begun calls have ended, or the context's error.
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

// signalDrained needs the lock.
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

// begin counts a call that may be queued, or says why it may not.
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

// target needs the lock; it returns the backend server that takes the call now. An entry node may have chosen it for the
// service or the release that it had before.
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

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls--
	s.signalDrained()
}

// broke records a call whose connection broke while it ran. It counts as a crash only with the end of that run.
func (s *Server) recordBrokenCall(now time.Time, run string, call *core.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.brokenCalls) >= maxBrokenCalls {
		s.brokenCalls = s.brokenCalls[1:]
	}
	s.brokenCalls = append(s.brokenCalls, brokenCall{
		call: CrashedCall{
			Fingerprint: idempotency.FingerprintOf(call),
			Service:     call.Service,
			Route:       call.Route,
			Release:     call.Release,
		},
		run: run,
		at:  now,
	})
	if s.announced == nil || s.announced.Run != run {
		s.reportCrash(now, run)
	}
}

// crash needs the lock; it reports the broken calls of a run that has ended.
func (s *Server) reportCrash(now time.Time, run string) {
	crash := Crash{
		Run: run,
	}
	others := s.brokenCalls[:0]
	for _, each := range s.brokenCalls {
		switch {
		case now.Sub(each.at) > brokenCallLifetime:
		case each.run == run:
			crash.Calls = append(crash.Calls, each.call)
		default:
			others = append(others, each)
		}
	}
	s.brokenCalls = others
	if len(crash.Calls) > 0 {
		s.crashedCalls.Add(len(crash.Calls))
		s.crashes.TryPush(crash)
	}
}
