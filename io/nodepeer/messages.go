package nodepeer

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyport/core"
	"parsleyport/io/frame"
)

// Message types. A number is never reused for another message.
const (
	typeHello frame.Type = iota + 1
	typeWelcome
	typeOpen
	typeBody
	typeBodyEnd
	typeHead
	typeAnswerBody
	typeAnswerEnd
	typeRefused
	typeCancel
	typeRevoke
	typeRevoked
	typePing
	typePong
	typeGoaway
	typeCredit
	typeKey
	typeKeyReply
	typeBodyCredit
	typeStuck
)

// helloMessage states the dialer's data centre, the dictionary with which it can read compressed messages, and whether it receives
// notices of calls that look stuck (typeStuck, with a sequenceMessage).
type helloMessage struct {
	Connection   uint64             `msgpack:"connection"`
	CompressorID frame.CompressorID `msgpack:"packing,omitempty"`
	DataCentre   core.DataCentre    `msgpack:"data-centre,omitempty"`
	StuckNotices bool               `msgpack:"stuck-notices,omitempty"`
}

// welcomeMessage states the dictionary that both ends compress with from then on, or zero for no compression. With BodyCredit, the
// dialer sends a body that is not in the open message only as the server's body credit allows. With StreamsBodies, the server receives
// streamed bodies, for which it always gives credit.
type welcomeMessage struct {
	RunningUS     int64              `msgpack:"running-us"`
	CompressorID  frame.CompressorID `msgpack:"packing,omitempty"`
	BodyCredit    bool               `msgpack:"body-credit,omitempty"`
	StreamsBodies bool               `msgpack:"streams-bodies,omitempty"`
}

type openMessage struct {
	Sequence       uint64              `msgpack:"sequence"`
	CallID         core.CallID         `msgpack:"call-id"`
	Tenant         core.TenantID       `msgpack:"tenant"`
	Service        core.ServiceName    `msgpack:"service"`
	Release        core.Release        `msgpack:"release"`
	Route          core.RouteName      `msgpack:"route"`
	Revision       core.Revision       `msgpack:"revision"`
	Method         string              `msgpack:"method"`
	Target         string              `msgpack:"target"`
	Host           string              `msgpack:"host"`
	Header         map[string][]string `msgpack:"header"`
	Idempotent     bool                `msgpack:"idempotent"`
	IdempotencyKey core.IdempotencyKey `msgpack:"idempotency-key"`
	Priority       core.Priority       `msgpack:"priority"`
	RemainingUS    int64               `msgpack:"remaining-us"`
	SoftDeadlineUS int64               `msgpack:"aim-us,omitempty"`      // time left until Call.SoftDeadline, negative if past; zero if unset
	StartByUS      int64               `msgpack:"start-by-us,omitempty"` // time left until Call.StartBy, likewise
	Depth          int                 `msgpack:"depth"`
	AttemptsLeft   int                 `msgpack:"attempts"`
	Hedge          bool                `msgpack:"hedge"`
	Trial          core.Fingerprint    `msgpack:"trial,omitempty"` // Call.Trial
	Length         int                 `msgpack:"length"`
	Checksum       uint64              `msgpack:"sum"`
	Body           []byte              `msgpack:"body"`
	Streamed       bool                `msgpack:"streamed,omitempty"`
	StreamLength   int64               `msgpack:"stream-length,omitempty"` // of a streamed body, or core.UnknownLength
}

// bodyEndMessage ends a body. Length and Checksum are stated only for a streamed one; those of others are in the open message.
type bodyEndMessage struct {
	Sequence uint64 `msgpack:"sequence"`
	Length   int64  `msgpack:"length,omitempty"`
	Checksum uint64 `msgpack:"sum,omitempty"`
}

type bodyMessage struct {
	Sequence uint64 `msgpack:"sequence"`
	Bytes    []byte `msgpack:"bytes"`
}

type sequenceMessage struct {
	Sequence uint64 `msgpack:"sequence"`
}

// headMessage is the head of an answer. If Whole is set, Body is the complete body, and Length and Checksum are its own.
type headMessage struct {
	Sequence uint64              `msgpack:"sequence"`
	Status   int                 `msgpack:"status"`
	Header   map[string][]string `msgpack:"header"`
	Whole    bool                `msgpack:"whole"`
	Body     []byte              `msgpack:"body"`
	Length   int64               `msgpack:"length"`
	Checksum uint64              `msgpack:"sum"`
	Load     loadMessage         `msgpack:"load"`
	FreeInUS int64               `msgpack:"free-us,omitempty"` // Load.FreeIn
}

// loadMessage encodes a core.Load except for FreeIn: earlier versions refuse an array with more elements, and skip unknown keys of
// the message around it.
type loadMessage struct {
	//lint:ignore U1000 makes the msgpack library encode the fields as an array
	_msgpack struct{} `msgpack:",as_array"`

	Running, Waiting, Limit int
	ServiceUS               int64
	RouteUS                 int64
}

func newLoadMessage(load core.Load) loadMessage {
	return loadMessage{
		Running:   load.Running,
		Waiting:   load.Waiting,
		Limit:     load.Limit,
		ServiceUS: load.ServiceTime.Microseconds(),
		RouteUS:   load.RouteServiceTime.Microseconds(),
	}
}

// decode returns the zero Load if a value is negative or out of range.
func (m loadMessage) decode(freeInUS int64) core.Load {
	if freeInUS < 0 || freeInUS > maxServiceTimeUS || m.Running < 0 || m.Waiting < 0 || m.Limit < 0 || m.ServiceUS < 0 || m.ServiceUS > maxServiceTimeUS || m.RouteUS < 0 || m.RouteUS > maxServiceTimeUS {
		return core.Load{}
	}
	return core.Load{
		Running:          m.Running,
		Waiting:          m.Waiting,
		Limit:            m.Limit,
		ServiceTime:      time.Duration(m.ServiceUS) * time.Microsecond,
		RouteServiceTime: time.Duration(m.RouteUS) * time.Microsecond,
		FreeIn:           time.Duration(freeInUS) * time.Microsecond,
	}
}

// maxServiceTimeUS is one day; longer service times are treated as invalid.
const maxServiceTimeUS = int64(24 * time.Hour / time.Microsecond)

// answerEndMessage ends the body of an answer. Fault is set if the body was not read or sent to its end.
type answerEndMessage struct {
	Sequence uint64 `msgpack:"sequence"`
	Length   int64  `msgpack:"length"`
	Checksum uint64 `msgpack:"sum"`
	Fault    string `msgpack:"fault"`
}

// refusedMessage ends an attempt without an answer; its outcome is not-run or unknown.
type refusedMessage struct {
	Sequence uint64            `msgpack:"sequence"`
	Outcome  core.Outcome      `msgpack:"outcome"`
	Cause    core.RefusalCause `msgpack:"cause"`
	Detail   string            `msgpack:"detail"`
	Load     loadMessage       `msgpack:"load"`
	FreeInUS int64             `msgpack:"free-us,omitempty"` // Load.FreeIn
}

type revokeMessage struct {
	Token      uint64 `msgpack:"token"`
	Connection uint64 `msgpack:"connection"`
	Sequence   uint64 `msgpack:"sequence"`
}

type revokedMessage struct {
	Token   uint64 `msgpack:"token"`
	Revoked bool   `msgpack:"revoked"`
}

type creditMessage struct {
	Sequence uint64 `msgpack:"sequence"`
	Bytes    int    `msgpack:"bytes"`
}

type emptyMessage struct{}

// newOpenMessage returns the message that opens an attempt. A body of at most maxInline bytes is part of it.
func newOpenMessage(sequence uint64, call *core.Call, now time.Time, maxInline int) openMessage {
	message := openMessage{
		Sequence:       sequence,
		CallID:         call.ID,
		Tenant:         call.Tenant,
		Service:        call.Service,
		Release:        call.Release,
		Route:          call.Route,
		Revision:       call.Revision,
		Method:         call.Method,
		Target:         call.Target,
		Host:           call.Host,
		Header:         call.Header,
		Idempotent:     call.Idempotent,
		IdempotencyKey: call.IdempotencyKey,
		Priority:       call.Priority,
		RemainingUS:    call.Deadline.Sub(now).Microseconds(),
		SoftDeadlineUS: microsecondsUntil(call.SoftDeadline, now),
		StartByUS:      microsecondsUntil(call.StartBy, now),
		Depth:          call.Depth,
		AttemptsLeft:   call.AttemptsLeft,
		Hedge:          call.Hedge,
		Trial:          call.Trial,
		Length:         len(call.Body),
		Checksum:       xxhash.Sum64(call.Body),
	}
	if len(call.Body) <= maxInline {
		message.Body = call.Body
	}
	if call.Source != nil {
		message.Streamed, message.StreamLength = true, call.Source.Length()
	}
	return message
}

// microsecondsUntil returns zero only for the zero time; a time less than 1 µs from now becomes -1.
func microsecondsUntil(at, now time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	if left := at.Sub(now).Microseconds(); left != 0 {
		return left
	}
	return -1
}

// timeFromMicroseconds is the inverse of microsecondsUntil.
func timeFromMicroseconds(us int64, now time.Time) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(us) * time.Microsecond)
}

func newCall(message openMessage, now time.Time) *core.Call {
	return &core.Call{
		SoftDeadline:   timeFromMicroseconds(message.SoftDeadlineUS, now),
		StartBy:        timeFromMicroseconds(message.StartByUS, now),
		ID:             message.CallID,
		Tenant:         message.Tenant,
		Service:        message.Service,
		Release:        message.Release,
		Route:          message.Route,
		Revision:       message.Revision,
		Method:         message.Method,
		Target:         message.Target,
		Host:           message.Host,
		Header:         http.Header(message.Header),
		Idempotent:     message.Idempotent,
		IdempotencyKey: message.IdempotencyKey,
		Priority:       message.Priority,
		Deadline:       now.Add(time.Duration(message.RemainingUS) * time.Microsecond),
		Depth:          message.Depth,
		AttemptsLeft:   message.AttemptsLeft,
		Hedge:          message.Hedge,
		Trial:          message.Trial,
	}
}
