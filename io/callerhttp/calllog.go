package callerhttp

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/io/loglimit"
)

const (
	// Lines a second about answered and about all other calls; lines above the limit are only counted. A node has a few hundred
	// calls a second, nearly all of which are answered at the first attempt.
	answeredLinesPerSecond = 2
	failedLinesPerSecond   = 25
	// maxLoggedIDBytes limits the part of a call ID header that is logged.
	maxLoggedIDBytes = 128
)

// callLog writes a line for each call that was refused, failed, late or retried, and for a sample of the others.
type callLog struct {
	answered zerolog.Logger
	failed   zerolog.Logger
}

func newCallLog(log zerolog.Logger, set *metrics.Set) callLog {
	return callLog{
		answered: loglimit.New(log, set, "answered", answeredLinesPerSecond),
		failed:   loglimit.New(log, set, "failed", failedLinesPerSecond),
	}
}

// write logs the end of a call: its outcome, the revision of the configuration, and the endpoint with the load that it last
// reported.
func (l callLog) write(req *request, last attemptResult, status int) {
	now := time.Now()
	late := !req.call.SoftDeadline.IsZero() && now.After(req.call.SoftDeadline)
	log, routine := l.failed, last.outcome == core.OutcomeAnswered && status < 500 && req.attemptCount <= 1 && !late
	if routine {
		log = l.answered
	}
	event := log.Info()
	if event == nil {
		return
	}
	event.Str("event", "call").Str("call", string(req.call.ID)).Str("route", string(req.route.Name)).Str("service", string(req.route.Service)).
		Uint64("revision", uint64(req.configuration.Revision())).Str("outcome", string(last.outcome)).Int("status", status).
		Int("attempts", req.attemptCount).Int64("took-ms", now.Sub(req.arrivedAt).Milliseconds()).Int64("left-ms", req.call.Deadline.Sub(now).Milliseconds()).
		Bool("late", late).Uint8("priority", uint8(req.call.Priority))
	if last.endpoint.Node != "" {
		event.Str("endpoint", string(last.endpoint.Node)).Str("release", string(last.release)).Int("running", last.load.Running).
			Int("waiting", last.load.Waiting).Int("slots", last.load.Limit).Int64("service-ms", last.load.ServiceTime.Milliseconds())
	}
	if last.err != nil {
		event.Str("cause", string(causeOf(last.err))).Str("detail", last.err.Error())
	}
	event.Msg("call ended")
}

// writeRefused logs a request that was refused before it became a call. Its ID header may be missing or hold any text.
func (l callLog) writeRefused(r *http.Request, idHeader string, refused *core.Refusal, status int) {
	id := r.Header.Get(idHeader)
	l.failed.Info().Str("event", "call").Str("call", id[:min(len(id), maxLoggedIDBytes)]).Str("outcome", string(core.OutcomeNotRun)).
		Int("status", status).Str("cause", string(refused.Cause)).Str("detail", refused.Error()).Msg("request refused")
}

// writeUnreadable logs a request that could not be read.
func (l callLog) writeUnreadable(remote net.Addr, status int, cause string) {
	l.failed.Info().Str("event", "call").Str("outcome", string(core.OutcomeNotRun)).Int("status", status).
		Str("cause", cause).Str("remote", remote.String()).Msg("request refused")
}
