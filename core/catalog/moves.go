package catalog

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"

	"parsleyport/core"
)

// maxEndedMoves limits the ended moves that are listed; older ones are in the audit trail only.
const maxEndedMoves = 1000

// causeOperator is the cause of a move that an operator took back.
const causeOperator = "operator"

var moveStates = []core.MoveState{core.MoveProposed, core.MoveProbing, core.MoveGrowing, core.MoveDone, core.MoveTakenBack, core.MoveExpired}

// move is a move together with the override that it replaces, if an earlier move left one.
type move struct {
	Move     core.Move      `msgpack:"move"`
	Previous *core.Override `msgpack:"previous"`
	Fair     bool           `msgpack:"fair,omitempty"` // started by a command with limits; ended moves are then evicted fairly
}

// Ended reports whether a state is final.
func Ended(state core.MoveState) bool {
	return state == core.MoveDone || state == core.MoveTakenBack || state == core.MoveExpired
}

// Moves returns the open moves and the latest ended ones, oldest first.
func (c *Catalog) Moves() []core.Move {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return lo.Map(c.moveOrder, func(id core.MoveID, _ int) core.Move { return c.moves[id].Move })
}

// Move returns the move with an id.
func (c *Catalog) Move(id core.MoveID) (core.Move, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	m, exists := c.moves[id]
	return m.Move, exists
}

func (c *Catalog) startMove(e envelope, request core.MoveRequest) Verdict {
	if !e.principal().CanAccess(ServiceTenant(c.configuration, request.Service)) {
		return *notPermitted("service %q does not belong to a tenant of this token", request.Service)
	}
	if refusal := c.checkMoveRequest(e.At, request); refusal != nil {
		return *refusal
	}
	c.moveCount++
	id := core.MoveID("m" + strconv.FormatUint(c.moveCount, 10))
	request.Deadline = request.Deadline.UTC()
	started := move{
		Move: core.Move{
			MoveID:          id,
			Request:         request,
			State:           core.MoveProposed,
			StartedAt:       e.At,
			SteppedAt:       e.At,
			OriginalWeights: c.originalWeights(request.Service),
		},
		Fair: e.Limits != nil,
	}
	if override, exists := lo.Find(c.configuration.Overrides(), func(o core.Override) bool { return o.Service == request.Service }); exists {
		started.Previous = &override
	}
	if c.takesAnyRelease(request.Service) {
		next, refusal := c.buildNext(nil, nil, c.overridesAfter(started))
		if refusal != nil {
			return *refusal
		}
		c.publish(next)
	}
	c.moves[id] = started
	c.moveOrder = append(c.moveOrder, id)
	c.openMoves[request.Service] = id
	return Verdict{
		Result: Accepted,
		Move:   id,
	}
}

// takesAnyRelease reports whether every release of the service gets calls unless the weights exclude it. A move then has to
// name the new release in the weights from its start, and also after it was taken back.
func (c *Catalog) takesAnyRelease(service core.ServiceName) bool {
	body, _ := c.configuration.Service(service)
	return body.AnyRelease
}

// originalWeights returns the weights that a move starts from. If the service takes any release, the old releases are all but
// the new one.
func (c *Catalog) originalWeights(service core.ServiceName) []core.Weight {
	if !c.takesAnyRelease(service) {
		return c.configuration.Weights(service)
	}
	return []core.Weight{{
		Upstream: core.UpstreamName(core.OtherReleases),
		PerMille: core.FullShare,
	}}
}

func (c *Catalog) checkMoveRequest(at time.Time, request core.MoveRequest) *Verdict {
	if id, open := c.openMoves[request.Service]; open {
		refusal := moveOpenRefusal(id, "move %s of service %q is open", id, request.Service)
		return &refusal
	}
	from, fromExists := c.configuration.UpstreamOf(request.Service, request.From)
	to, toExists := c.configuration.UpstreamOf(request.Service, request.To)
	var refusal Verdict
	switch {
	case !fromExists || from.Service != request.Service:
		refusal = refused(CauseDangling, "service %q has no upstream %q to move from", request.Service, request.From)
	case !toExists || to.Service != request.Service:
		refusal = refused(CauseDangling, "service %q has no upstream %q to move to", request.Service, request.To)
	case from.Release == to.Release:
		refusal = refused(CauseMalformed, "upstreams %q and %q have the same release %q", request.From, request.To, from.Release)
	case to.Release == core.OtherReleases:
		refusal = refused(CauseMalformed, "service %q cannot be moved to all its other releases", request.Service)
	case weightOf(c.originalWeights(request.Service), request.From) == 0:
		refusal = refused(CauseMalformed, "upstream %q has no share of service %q that could be moved", request.From, request.Service)
	case !request.Deadline.After(at):
		refusal = refused(CauseMalformed, "deadline %s is not after the submission at %s", request.Deadline.UTC().Format(time.RFC3339), at.Format(time.RFC3339))
	case request.MaxRiskShare > core.FullShare:
		refusal = refused(CauseMalformed, "max-risk-per-mille is %d, expected 0 to 1000", request.MaxRiskShare)
	default:
		return nil
	}
	return &refusal
}

func (c *Catalog) abortMove(e envelope, abort Abort) Verdict {
	m, exists := c.moves[abort.MoveID]
	if !exists || !e.principal().CanAccess(ServiceTenant(c.configuration, m.Move.Request.Service)) {
		return refused(CauseNotFound, "there is no move %q", abort.MoveID)
	}
	verdict := c.applyStep(m, core.MoveStep{
		MoveID: abort.MoveID,
		Step:   m.Move.Step + 1,
		State:  core.MoveTakenBack,
		At:     e.At,
		Cause:  causeOperator,
	})
	verdict.Move = abort.MoveID
	return verdict
}

// step applies a step that the leader proposed. A refused step is not in the audit trail: after a change of leader, two
// leaders may propose the same one.
func (c *Catalog) step(index core.LogIndex, e envelope) Verdict {
	var s core.MoveStep
	if err := decode(e.Body, &s); err != nil {
		return c.withRevision(refused(CauseMalformed, "%s: %v", e.Action, err))
	}
	s.At = e.At
	verdict := refused(CauseNotFound, "there is no move %q", s.MoveID)
	if m, exists := c.moves[s.MoveID]; exists {
		verdict = c.applyStep(m, s)
	}
	verdict.Move = s.MoveID
	verdict.At = e.At
	verdict = c.withRevision(verdict)
	if verdict.Result == Accepted {
		c.appendAudit(index, e, commandSummary{
			changes: []string{describeStep(s)},
			owners:  []core.TenantID{ServiceTenant(c.configuration, c.moves[s.MoveID].Move.Request.Service)},
		}, verdict)
	}
	return verdict
}

func (c *Catalog) applyStep(m move, s core.MoveStep) Verdict {
	switch {
	case Ended(m.Move.State):
		return refused(CauseMoveEnded, "move %s has ended: %s", s.MoveID, m.Move.State)
	case s.Step != m.Move.Step+1:
		return refused(CauseWrongStep, "step %d of move %s, expected step %d", s.Step, s.MoveID, m.Move.Step+1)
	case !slices.Contains(moveStates, s.State):
		return refused(CauseMalformed, "move %s: unknown state %q", s.MoveID, s.State)
	case s.Share > core.FullShare:
		return refused(CauseMalformed, "move %s: share of %d per mille, expected 0 to 1000", s.MoveID, s.Share)
	}
	before := m.Move.Share
	m.Move.State, m.Move.Step, m.Move.SteppedAt, m.Move.Share = s.State, s.Step, s.At, s.Share
	m.Move.Cause, m.Move.Evidence = s.Cause, s.Evidence
	switch s.State {
	case core.MoveDone:
		m.Move.Share = core.FullShare
	case core.MoveTakenBack, core.MoveExpired:
		m.Move.Share = 0
	}
	if m.Move.Share != before || Ended(s.State) {
		next, refusal := c.buildNext(nil, nil, c.overridesAfter(m))
		if refusal != nil {
			return *refusal
		}
		c.publish(next)
	}
	c.moves[s.MoveID] = m
	if Ended(s.State) {
		delete(c.openMoves, m.Move.Request.Service)
		c.evictEndedMove(m.Fair)
	}
	return Verdict{
		Result: Accepted,
	}
}

// overridesAfter returns all overrides as they are after a step of a move.
func (c *Catalog) overridesAfter(m move) []core.Override {
	request := m.Move.Request
	overrides := lo.Reject(c.configuration.Overrides(), func(o core.Override, _ int) bool { return o.Service == request.Service })
	if m.Move.Share > 0 || c.takesAnyRelease(request.Service) {
		return append(overrides, core.Override{
			Service: request.Service,
			Move:    m.Move.MoveID,
			From:    request.From,
			To:      request.To,
			Open:    !Ended(m.Move.State),
			Weights: movedWeights(m.Move.OriginalWeights, request, m.Move.Share),
		})
	}
	if m.Previous != nil {
		overrides = append(overrides, *m.Previous)
	}
	return overrides
}

// movedWeights moves a share of From's weight to To. It rounds up, so that a small share of a small weight does not become
// zero. It keeps an entry for From even at weight zero, so that its record cannot be deleted while the move may be taken back.
func movedWeights(original []core.Weight, request core.MoveRequest, share core.PerMille) []core.Weight {
	from := weightOf(original, request.From)
	moved := (from*share + core.FullShare - 1) / core.FullShare
	weights := lo.Filter(original, func(w core.Weight, _ int) bool {
		return w.PerMille > 0 && w.Upstream != request.From && w.Upstream != request.To
	})
	return append(weights, core.Weight{
		Upstream: request.From,
		PerMille: from - moved,
	}, core.Weight{
		Upstream: request.To,
		PerMille: weightOf(original, request.To) + moved,
	})
}

func weightOf(weights []core.Weight, upstream core.UpstreamName) core.PerMille {
	for _, weight := range weights {
		if weight.Upstream == upstream {
			return weight.PerMille
		}
	}
	return 0
}

// evictEndedMove removes the oldest ended move if there are too many. With fair eviction it removes the oldest one of the tenant
// with the most ended moves, so that one tenant cannot push another one's moves out of the list.
func (c *Catalog) evictEndedMove(fair bool) {
	if len(c.moveOrder) <= maxEndedMoves+len(c.openMoves) {
		return
	}
	endedByOwner, maxEnded := make(map[core.TenantID]int), 0
	owner := func(id core.MoveID) core.TenantID {
		service, _ := c.configuration.Service(c.moves[id].Move.Request.Service)
		return lo.Ternary(fair, service.Tenant, "")
	}
	for _, id := range c.moveOrder {
		if Ended(c.moves[id].Move.State) {
			endedByOwner[owner(id)]++
			maxEnded = max(maxEnded, endedByOwner[owner(id)])
		}
	}
	for i, id := range c.moveOrder {
		if Ended(c.moves[id].Move.State) && endedByOwner[owner(id)] == maxEnded {
			delete(c.moves, id)
			c.moveOrder = slices.Concat(c.moveOrder[:i], c.moveOrder[i+1:])
			return
		}
	}
}

func describeStep(s core.MoveStep) string {
	text := fmt.Sprintf("step %d: %s, share %d per mille", s.Step, s.State, s.Share)
	if s.Cause != "" {
		text += ", cause " + s.Cause
	}
	if s.Evidence != "" {
		text += ", evidence " + s.Evidence
	}
	return text
}
