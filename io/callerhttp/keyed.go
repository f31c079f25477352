package callerhttp

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/idempotency"
)

// settleTimeout limits the time to report the outcome of a call to the holders of its key.
const settleTimeout = time.Second

// errKeyOutcomeUnknown is returned for a resend whose first call may have run.
const errKeyOutcomeUnknown = errors.ConstError("an earlier call with this idempotency key may have run")

// errHoldersUnknown is returned when the node does not know all endpoints of the service, and so not the holders of the key.
const errHoldersUnknown = errors.ConstError("the holders of the idempotency key are not known yet, so an earlier call with it may have run")

// serveKeyed serves a call with an idempotency key. A claimed call continues after its caller has disconnected, so that a resend
// gets its answer.
func (s *Server) serveKeyed(ctx context.Context, w http.ResponseWriter, req *request) {
	if !s.awaitAllEndpoints(ctx, req) {
		s.answerUnknown(w, req, "", errHoldersUnknown)
		return
	}
	verdict, recorded := s.options.Keys.Claim(ctx, req.call)
	switch verdict {
	case idempotency.VerdictGranted:
		s.runClaimed(context.WithoutCancel(ctx), w, req)
	case idempotency.VerdictAnswered:
		s.replay(w, recorded)
	case idempotency.VerdictConflict:
		s.refuse(w, req.callerDeadline, newRefusal(core.CauseDuplicateCall, "the idempotency key belongs to another request"))
	case idempotency.VerdictFull:
		s.refuse(w, req.callerDeadline, newRefusal(core.CauseQueueFull, "no more idempotency keys can be remembered"))
	default:
		s.answerUnknown(w, req, "", errKeyOutcomeUnknown)
	}
}

func (s *Server) runClaimed(ctx context.Context, w http.ResponseWriter, req *request) {
	ctx, cancel := context.WithDeadline(ctx, req.call.Deadline)
	defer cancel()
	last := s.attemptWithinQuota(ctx, req)
	r := &recorder{
		verdict: idempotency.VerdictUnknown,
	}
	if last.outcome == core.OutcomeNotRun {
		r.verdict = idempotency.VerdictGranted
	}
	if last.outcome == core.OutcomeAnswered {
		r.answer = &idempotency.RecordedAnswer{
			Status:  last.answer.Status,
			Header:  last.answer.Header.Clone(),
			Release: last.release,
		}
	}
	defer func() { // also runs when stream panics to abort the connection
		settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
		defer cancel()
		s.options.Keys.Settle(settle, req.call, r.verdict, r.answer)
	}()
	s.deliver(ctx, w, req, last, r)
}

// replay answers a resend with the recorded answer of the first call.
func (s *Server) replay(w http.ResponseWriter, recorded *idempotency.RecordedAnswer) {
	s.outcomes[core.OutcomeAnswered].Inc()
	for name, values := range recorded.Header {
		w.Header()[name] = values
	}
	setHeader(w.Header(), s.options.Headers.Outcome, string(core.OutcomeAnswered))
	setHeader(w.Header(), s.options.Headers.Release, string(recorded.Release))
	w.WriteHeader(recorded.Status)
	_, _ = w.Write(recorded.Body) // a disconnected caller may resend once more
}

// recorder keeps a copy of an answer's body for resends, up to idempotency.MaxRecordedBytes. A nil recorder keeps nothing.
type recorder struct {
	verdict idempotency.Verdict
	answer  *idempotency.RecordedAnswer
	tooLong bool
}

func (r *recorder) add(bytes []byte) {
	if r == nil || r.tooLong {
		return
	}
	if len(r.answer.Body)+len(bytes) > idempotency.MaxRecordedBytes {
		r.tooLong = true
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, bytes...)
}

func (r *recorder) complete() {
	if r != nil && !r.tooLong {
		r.verdict = idempotency.VerdictAnswered
	}
}
