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
	DefaultLease = 3 * time.Second
	watchEvery   = 250 * time.Millisecond
	headerLimit  = 5 * time.Second
	// crashMemory is how long a broken call waits for the end of the backend server's lease, which proves a crash.
	crashMemory = 10 * time.Second
	// failureLines about calls that were not answered are written in a second; the others are counted.
	failureLines    = 25
	maxBroken       = 1024
	maxCrashReports = 64
)

// Options configures a Server. OnChange gets the newest announced state after each change, one call at a time; the end
// of a lease and a planned stop are reported as leaving. OnCrash gets the calls that ran in a crash. Listener replaces
// Address, Dial replaces a TCP dial, and Admission defaults to NewQueue. Without Address and Listener, announcements come
// through Announce only. Lease zero stands for DefaultLease.
type Options struct {
	Headers core.HeaderNames // the zero value stands for the default names
	Lease   time.Duration
	// AllowUnframed takes the end of the connection for the end of an answer without a length. A backend server that closes
	// its connections when it crashes must not be used so.
	AllowUnframed bool
	Address       string
	Listener      net.Listener
	Admission     Admission
	OnChange      func(Announcement)
	OnCrash       func(Crash)
	Dial          func(ctx context.Context, address string) (net.Conn, error)
	Logger        zerolog.Logger
	Metrics       *metrics.Set
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

	handed  *metrics.Counter
	crashed *metrics.Counter
	strays  *metrics.Counter
	calls   zerolog.Logger // about calls that were not answered

	mu        sync.Mutex
	announced *Announcement // nil without a lease
	latest    Announcement  // as reported to OnChange
	expires   time.Time
	leaving   bool
	begun     int
	idle      chan struct{} // closed when leaving and no call is left
	broken    []brokenCall
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
		options:   options,
		admission: options.Admission,
		pool:      newPool(options.Dial),
		listener:  listener,
		done:      make(chan struct{}),
		changed:   make(chan struct{}, 1),
		crashes:   ring.New[Crash](maxCrashReports),
		handed:    options.Metrics.GetOrCreateCounter("parsleyport_backend_calls_total"),
		crashed:   options.Metrics.GetOrCreateCounter("parsleyport_backend_crashed_calls_total"),
		strays:    options.Metrics.GetOrCreateCounter("parsleyport_backend_stray_answers_total"),
		calls:     loglimit.New(options.Logger, options.Metrics, "not-answered", failureLines),
		idle:      make(chan struct{}),
	}
	if s.admission == nil {
		s.admission = NewQueue(1)
	}
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerLimit,
		ReadTimeout:       headerLimit,
		MaxHeaderBytes:    maxAnnouncementBytes,
		ErrorLog:          log.New(options.Logger, "", 0),
	}
	if listener != nil {
		s.tasks.Go(func() { _ = s.http.Serve(listener) }) // ends with http.ErrServerClosed
	}
	s.tasks.Go(s.watch)
	s.tasks.Go(s.report)
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
	s.expires = now.Add(s.options.Lease)
	if previous != nil && previous.Run != a.Run {
		s.crash(now, previous.Run)
	}
	s.change(a)
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
	gone := *s.announced
	s.announced = nil
	s.crash(now, gone.Run)
	gone.State = core.EndpointLeaving
	s.change(gone)
	s.options.Logger.Info().Str("run", gone.Run).Str("reason", reason).Msg("backend server gone")
}

// change needs the lock.
func (s *Server) change(a Announcement) {
	if s.leaving {
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
func (s *Server) watch() {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			expired := s.announced != nil && !now.Before(s.expires)
			s.mu.Unlock()
			if expired {
				s.endLease(now, "lease ran out")
			}
			s.pool.prune(idleLimit)
		}
	}
}

// report calls the callbacks, so that a slow one delays no announcement and no call.
func (s *Server) report() {
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
	if !s.leaving {
		s.leaving = true
		if s.latest.Service != "" {
			s.change(s.latest)
		}
		s.signalIdle()
	}
	s.mu.Unlock()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIdle needs the lock.
func (s *Server) signalIdle() {
	if !s.leaving || s.begun > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

// begin counts a call that may be queued, or says why it may not.
func (s *Server) begin(call *core.Call) *core.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return &core.Refusal{
			Cause: core.CauseLeaving,
		}
	}
	if _, refusal := s.target(call); refusal != nil {
		return refusal
	}
	s.begun++
	return nil
}

// target needs the lock; it returns the backend server that takes the call now. An entry node may have chosen it for the
// service or the release that it had before.
func (s *Server) target(call *core.Call) (Announcement, *core.Refusal) {
	if s.announced == nil || !time.Now().Before(s.expires) {
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

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun--
	s.signalIdle()
}

// broke records a call whose connection broke while it ran. It counts as a crash only with the end of that run.
func (s *Server) broke(now time.Time, run string, call *core.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.broken) >= maxBroken {
		s.broken = s.broken[1:]
	}
	s.broken = append(s.broken, brokenCall{
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
		s.crash(now, run)
	}
}

// crash needs the lock; it reports the broken calls of a run that has ended.
func (s *Server) crash(now time.Time, run string) {
	report := Crash{
		Run: run,
	}
	kept := s.broken[:0]
	for _, each := range s.broken {
		switch {
		case now.Sub(each.at) > crashMemory:
		case each.run == run:
			report.Calls = append(report.Calls, each.call)
		default:
			kept = append(kept, each)
		}
	}
	s.broken = kept
	if len(report.Calls) > 0 {
		s.crashed.Add(len(report.Calls))
		s.crashes.TryPush(report)
	}
}
