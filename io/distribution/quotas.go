package distribution

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/quota"
	"parsleyport/io/frame"
)

const (
	// quotaTimeout bounds one exchange of units: a round trip, and the time in which a lender confirms that it leads.
	quotaTimeout = 700 * time.Millisecond
	// quotaIdleTimeout is how long a control instance keeps a connection without requests. Nodes close theirs earlier.
	quotaIdleTimeout = time.Minute
	// maxQuotaLinks limits the connections for units at a control instance, as maxDirectChildren does for those of the tree.
	maxQuotaLinks = maxDirectChildren
	// maxQuotaNames limits the tenants that a connection numbers. The node opens another one when they are used up.
	maxQuotaNames = 16384
	// maxQuotaSpan and maxQuotaUnits bound the values in messages, so that sums of them do not overflow.
	maxQuotaSpan  = time.Hour
	maxQuotaUnits = 1 << 41
	// unknownQuotaBase is the base of a tenant that no message has stated.
	unknownQuotaBase = -1
	// quotaTimeUnit is the resolution of times in messages. Uses leave the window in steps of about as much.
	quotaTimeUnit = 100 * time.Millisecond
)

// ErrLinkFull means that a connection has numbered too many tenants and that the node must open another one.
const ErrLinkFull = errors.ConstError("too many tenants on one connection")

// QuotaLender answers the requests of holders, at the control instance that leads.
type QuotaLender interface {
	// Exchange returns core.ErrNoLeader if this instance must not lend, and another error if it cannot answer the request.
	Exchange(ctx context.Context, request quota.Request) (quota.Answer, error)
}

// NotLenderError means that a control instance does not lend units.
type NotLenderError struct {
	Lender string // address of the one that does, empty if unknown
}

// Error implements error.
func (e *NotLenderError) Error() string {
	return "not the lender of units; its address is " + e.Lender
}

// quotaHello identifies the holder in the first request of a connection.
type quotaHello struct {
	//lint:ignore U1000 makes the msgpack library encode the fields as an array
	_msgpack struct{} `msgpack:",as_array"`

	Node        core.NodeID
	Incarnation core.Incarnation
	SpanMS      int64
}

// quotaRequest is a quota.Request. It names each tenant once on a connection, and then refers to it by its number. Numbers are int and
// uint, which the msgpack library encodes in as few bytes as the value needs; int64 always takes nine.
type quotaRequest struct {
	//lint:ignore U1000 makes the msgpack library encode the fields as an array
	_msgpack struct{} `msgpack:",as_array"`

	Sequence uint
	Term     uint
	Full     bool
	Hello    *quotaHello // only in the first request
	Names    []core.TenantID
	Reports  []quotaReport
}

type quotaReport struct {
	//lint:ignore U1000 makes the msgpack library encode the fields as an array
	_msgpack struct{} `msgpack:",as_array"`

	Tenant   int
	Held     int
	Allotted int
	Demand   int
	Ahead    int
	Next     int // in units of quotaTimeUnit
	Base     int // plus 1, or zero if that of the last message about the tenant still applies
	Free     int // only in a full request
}

// quotaAnswer answers a quotaRequest. A control instance that does not lend answers with NotLender and closes the connection.
type quotaAnswer struct {
	//lint:ignore U1000 makes the msgpack library encode the fields as an array
	_msgpack struct{} `msgpack:",as_array"`

	Sequence   uint
	Term       uint
	NeedFull   bool
	NotLender  bool
	Lender     string
	Allotments []quotaAllotment
}

type quotaAllotment struct {
	//lint:ignore U1000 makes the msgpack library encode the fields as an array
	_msgpack struct{} `msgpack:",as_array"`

	Tenant int
	Units  int
	Base   int // as in quotaReport
	Free   int
	Used   int // in units of quotaTimeUnit
}

// quotaBases holds the bases of the last messages about each tenant on a connection, by number. Requests and answers alternate, so that
// both ends have the same.
type quotaBases []int

// compress returns the value of Base in a message.
func (b *quotaBases) compress(number, base int) int {
	if b.set(number, base) {
		return base + 1
	}
	return 0
}

// expand returns the base that a value of Base in a message stands for.
func (b *quotaBases) expand(number, value int) int {
	if value > 0 {
		b.set(number, validUnits(value-1))
	}
	if number >= len(*b) {
		return 0
	}
	return max((*b)[number], 0)
}

// set returns false if the base is the last one.
func (b *quotaBases) set(number, base int) bool {
	for len(*b) <= number {
		*b = append(*b, unknownQuotaBase)
	}
	changed := (*b)[number] != base
	(*b)[number] = base
	return changed
}

// answerQuotas answers the requests on a connection until it ends.
func (h *hub) answerQuotas(ctx context.Context, conn *frame.Conn, first frame.Frame) {
	if h.quotaLender == nil {
		return
	}
	select {
	case h.quotaSlots <- struct{}{}:
		defer func() { <-h.quotaSlots }()
	default:
		return
	}
	link := &quotaServerLink{
		numbers: make(map[core.TenantID]int),
	}
	for received := first; received.Type == typeQuotaRequest; {
		request, err := link.decode(received)
		if err != nil {
			return
		}
		answer, err := h.exchangeQuota(ctx, link, request)
		if err != nil {
			return
		}
		if err := h.sendQuota(conn, typeQuotaAnswer, answer); err != nil || answer.NotLender {
			return
		}
		if received, err = h.receive(conn, quotaIdleTimeout); err != nil {
			return
		}
		h.meters.quotaBytes.Add(received.Len())
	}
}

func (h *hub) exchangeQuota(ctx context.Context, link *quotaServerLink, request quota.Request) (quotaAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	answer, err := h.quotaLender.Exchange(ctx, request)
	if errors.Is(err, core.ErrNoLeader) {
		return quotaAnswer{
			Sequence:  uint(request.Sequence),
			NotLender: true,
			Lender:    h.leaderAddress(),
		}, nil
	}
	if err != nil {
		return quotaAnswer{}, err
	}
	return link.encode(answer), nil
}

func (h *hub) sendQuota(conn *frame.Conn, kind frame.Type, message any) error {
	before, _ := conn.Bytes()
	err := h.send(conn, quotaTimeout, outgoing{
		kind:    kind,
		message: message,
	})
	after, _ := conn.Bytes()
	h.meters.quotaBytes.AddInt64(int64(after - before))
	return err
}

// quotaServerLink holds the numbers of the tenants on a connection.
type quotaServerLink struct {
	hello   *quotaHello
	names   []core.TenantID
	numbers map[core.TenantID]int
	bases   quotaBases
}

func (l *quotaServerLink) decode(received frame.Frame) (quota.Request, error) {
	var message quotaRequest
	if err := received.Decode(&message); err != nil {
		return quota.Request{}, err
	}
	if message.Hello != nil {
		l.hello = message.Hello
	}
	if l.hello == nil || l.hello.Node == "" || l.hello.SpanMS <= 0 || l.hello.SpanMS > maxQuotaSpan.Milliseconds() || len(l.names)+len(message.Names) > maxQuotaNames {
		return quota.Request{}, errors.NotValidf("request for units")
	}
	for _, name := range message.Names {
		l.numbers[name] = len(l.names)
		l.names = append(l.names, name)
	}
	request := quota.Request{
		Node:        l.hello.Node,
		Incarnation: l.hello.Incarnation,
		Sequence:    uint64(message.Sequence),
		Term:        core.Term(message.Term),
		Span:        time.Duration(l.hello.SpanMS) * time.Millisecond,
		Full:        message.Full,
		Reports:     make([]quota.Report, 0, len(message.Reports)),
	}
	for _, each := range message.Reports {
		if each.Tenant < 0 || each.Tenant >= len(l.names) {
			return quota.Request{}, errors.NotValidf("number %d of a tenant", each.Tenant)
		}
		request.Reports = append(request.Reports, quota.Report{
			Tenant:   l.names[each.Tenant],
			Held:     validUnits(each.Held),
			Allotted: validUnits(each.Allotted),
			Demand:   validUnits(each.Demand),
			Ahead:    validUnits(each.Ahead),
			Next:     validQuotaTime(each.Next),
			Base:     l.bases.expand(each.Tenant, each.Base),
			Free:     validUnits(each.Free),
		})
	}
	return request, nil
}

// quotaTime returns a time in units of quotaTimeUnit, rounded up.
func quotaTime(duration time.Duration) int {
	return int((duration + quotaTimeUnit - 1) / quotaTimeUnit)
}

func validQuotaTime(units int) time.Duration {
	return time.Duration(min(max(units, 0), int(maxQuotaSpan/quotaTimeUnit))) * quotaTimeUnit
}

// validUnits returns a number of units within the bounds.
func validUnits(units int) int {
	return min(max(units, 0), maxQuotaUnits)
}

func (l *quotaServerLink) encode(answer quota.Answer) quotaAnswer {
	message := quotaAnswer{
		Sequence:   uint(answer.Sequence),
		Term:       uint(answer.Term),
		NeedFull:   answer.NeedFull,
		Allotments: make([]quotaAllotment, 0, len(answer.Allotments)),
	}
	for _, each := range answer.Allotments {
		number, known := l.numbers[each.Tenant]
		if !known {
			continue // of an earlier connection; the holder keeps its units
		}
		message.Allotments = append(message.Allotments, quotaAllotment{
			Tenant: number,
			Units:  each.Units,
			Base:   l.bases.compress(number, each.Base),
			Free:   each.Free,
			Used:   quotaTime(each.Used),
		})
	}
	return message
}

// QuotaTargets returns the addresses of the control instances, the one that this node is attached to first.
func (s *Subscriber) QuotaTargets() []string {
	return s.departTargets()
}

// QuotaLink is a connection to a control instance over which a node exchanges units. It is not safe for concurrent use.
type QuotaLink struct {
	hub     *hub
	conn    *frame.Conn
	hello   *quotaHello // nil once it has been sent
	names   []core.TenantID
	numbers map[core.TenantID]int
	bases   quotaBases
}

// OpenQuotaLink connects to the control instance at an address.
func (s *Subscriber) OpenQuotaLink(ctx context.Context, address string, span time.Duration) (*QuotaLink, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.hub.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &QuotaLink{
		hub:  s.hub,
		conn: frame.New(conn, nil),
		hello: &quotaHello{
			Node:        s.options.ID,
			Incarnation: s.options.Incarnation,
			SpanMS:      span.Milliseconds(),
		},
		numbers: make(map[core.TenantID]int),
	}, nil
}

// Close closes the connection.
func (l *QuotaLink) Close() error {
	return l.conn.Close()
}

// Exchange sends a request and returns its answer. After an error, which is a *NotLenderError if another control instance lends, the
// link must be closed.
func (l *QuotaLink) Exchange(ctx context.Context, request quota.Request) (quota.Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	message, err := l.encode(request)
	if err != nil {
		return quota.Answer{}, err
	}
	if err := l.hub.sendQuota(l.conn, typeQuotaRequest, message); err != nil {
		return quota.Answer{}, err
	}
	received, err := l.hub.receive(l.conn, quotaTimeout)
	if err != nil {
		return quota.Answer{}, err
	}
	l.hub.meters.quotaBytes.Add(received.Len())
	if received.Type != typeQuotaAnswer {
		return quota.Answer{}, errors.Errorf("answer of type %d to a request for units", received.Type)
	}
	var answer quotaAnswer
	if err := received.Decode(&answer); err != nil {
		return quota.Answer{}, err
	}
	if answer.NotLender {
		return quota.Answer{}, &NotLenderError{
			Lender: answer.Lender,
		}
	}
	return l.decode(answer)
}

func (l *QuotaLink) encode(request quota.Request) (quotaRequest, error) {
	message := quotaRequest{
		Sequence: uint(request.Sequence),
		Term:     uint(request.Term),
		Full:     request.Full,
		Hello:    l.hello,
		Reports:  make([]quotaReport, 0, len(request.Reports)),
	}
	l.hello = nil
	known := len(l.names)
	for _, each := range request.Reports {
		number, exists := l.numbers[each.Tenant]
		if !exists {
			number = len(l.names)
			l.numbers[each.Tenant] = number
			l.names = append(l.names, each.Tenant)
		}
		message.Reports = append(message.Reports, quotaReport{
			Tenant:   number,
			Held:     each.Held,
			Allotted: each.Allotted,
			Demand:   each.Demand,
			Ahead:    each.Ahead,
			Next:     quotaTime(each.Next),
			Base:     l.bases.compress(number, each.Base),
			Free:     lo.Ternary(request.Full, each.Free, 0),
		})
	}
	if len(l.names) > maxQuotaNames {
		return quotaRequest{}, ErrLinkFull
	}
	message.Names = l.names[known:]
	return message, nil
}

func (l *QuotaLink) decode(message quotaAnswer) (quota.Answer, error) {
	answer := quota.Answer{
		Sequence:   uint64(message.Sequence),
		Term:       core.Term(message.Term),
		NeedFull:   message.NeedFull,
		Allotments: make([]quota.Allotment, 0, len(message.Allotments)),
	}
	for _, each := range message.Allotments {
		if each.Tenant < 0 || each.Tenant >= len(l.names) {
			return quota.Answer{}, errors.NotValidf("number %d of a tenant", each.Tenant)
		}
		answer.Allotments = append(answer.Allotments, quota.Allotment{
			Tenant: l.names[each.Tenant],
			Units:  validUnits(each.Units),
			Base:   l.bases.expand(each.Tenant, each.Base),
			Free:   validUnits(each.Free),
			Used:   validQuotaTime(each.Used),
		})
	}
	return answer, nil
}
