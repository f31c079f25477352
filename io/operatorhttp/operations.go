package operatorhttp

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

type verdictOutput struct {
	Status int
	Body   catalog.Verdict
}

type output[T any] struct {
	Body T
}

type submitInput struct {
	Body core.Submission
}

type moveInput struct {
	Body core.MoveRequest
}

type abortBody struct {
	ID       core.SubmissionID `json:"submission-id"`
	Operator core.Operator     `json:"operator"`
}

type abortInput struct {
	MoveID string `path:"id"`
	Body   abortBody
}

type showInput struct {
	MoveID string `path:"id"`
}

type statusInput struct {
	Nodes bool `query:"nodes"`
}

type auditInput struct {
	Operator   string    `query:"operator"`
	Submission string    `query:"submission-id"`
	Move       string    `query:"move-id"`
	Since      time.Time `query:"since"`
	Limit      int       `query:"limit" minimum:"1" maximum:"10000" default:"100"`
	Before     uint64    `query:"before"`
}

func (s *Server) register(api huma.API) {
	huma.Register(api, operation("submit", http.MethodPost, submissionsPath), s.submit)
	huma.Register(api, operation("move", http.MethodPost, movesPath), s.move)
	huma.Register(api, operation("abort", http.MethodPost, abortPath), s.abort)
	huma.Register(api, operation("list-moves", http.MethodGet, movesPath), s.listMoves)
	huma.Register(api, operation("show-move", http.MethodGet, movePath), s.showMove)
	huma.Register(api, operation("status", http.MethodGet, statusPath), s.status)
	huma.Register(api, operation("audit", http.MethodGet, auditPath), s.audit)
	huma.Register(api, operation("records", http.MethodGet, recordsPath), s.records)
	s.registerMembers(api)
}

func operation(id, method, path string) huma.Operation {
	return huma.Operation{
		OperationID:                  id,
		Method:                       method,
		Path:                         path,
		MaxBodyBytes:                 catalog.MaxCommandBytes,
		BodyReadTimeout:              bodyTimeout,
		RejectUnknownQueryParameters: true,
	}
}

func (s *Server) submit(ctx context.Context, input *submitInput) (*verdictOutput, error) {
	if _, refused := s.options.Catalog.RulesRefusal(time.Now(), input.Body); refused {
		if err := s.confirmRead(ctx); err != nil {
			return nil, err
		}
		if verdict, refused := s.options.Catalog.RulesRefusal(time.Now(), input.Body); refused {
			s.countVerdict(catalog.ActionSubmit, verdict)
			return &verdictOutput{
				Status: http.StatusConflict,
				Body:   verdict,
			}, nil
		}
	}
	command, err := catalog.EncodeSubmit(time.Now(), s.options.Fleet.Fleet().SchemaFloor, input.Body)
	return s.propose(ctx, catalog.ActionSubmit, input.Body.Operator, command, err)
}

func (s *Server) move(ctx context.Context, input *moveInput) (*verdictOutput, error) {
	command, err := catalog.EncodeMove(time.Now(), input.Body)
	return s.propose(ctx, catalog.ActionMove, input.Body.Operator, command, err)
}

func (s *Server) abort(ctx context.Context, input *abortInput) (*verdictOutput, error) {
	command, err := catalog.EncodeAbort(time.Now(), catalog.Abort{
		ID:       input.Body.ID,
		Operator: input.Body.Operator,
		MoveID:   core.MoveID(input.MoveID),
	})
	return s.propose(ctx, catalog.ActionAbort, input.Body.Operator, command, err)
}

// propose proposes an encoded command and returns its verdict. If the command could not be encoded, err is answered with status 422.
func (s *Server) propose(ctx context.Context, action catalog.Action, operator core.Operator, command []byte, err error) (*verdictOutput, error) {
	if err == nil {
		command, err = catalog.WithPrincipal(command, s.commandPrincipal(ctx))
	}
	if err != nil {
		s.countError("malformed")
		return nil, huma.Error422UnprocessableEntity(err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	verdict, err := s.proposeWithinLimits(ctx, command)
	if err != nil {
		return nil, err
	}
	s.countVerdict(action, verdict)
	if verdict.Result == catalog.Refused {
		return &verdictOutput{
			Status: http.StatusConflict,
			Body:   verdict,
		}, nil
	}
	s.options.Log.Info().Str("action", string(action)).Str("operator", string(operator)).Str("token", principalOf(ctx).Token).
		Str("submission-id", string(verdict.Submission)).Uint64("revision", uint64(verdict.Revision)).Msg("accepted")
	return &verdictOutput{
		Status: http.StatusOK,
		Body:   verdict,
	}, nil
}

// proposeWithinLimits proposes a command unless its tenants have submitted too much: such commands would keep the leader's disk busy.
func (s *Server) proposeWithinLimits(ctx context.Context, command []byte) (catalog.Verdict, error) {
	if _, over := s.options.Catalog.OverLimit(command); over && s.options.Replicator.ConfirmRead(ctx) == nil {
		if refusal, over := s.options.Catalog.OverLimit(command); over {
			return refusal, nil
		}
	}
	result, err := s.options.Replicator.Propose(ctx, command)
	if err != nil {
		return catalog.Verdict{}, s.unavailable(err)
	}
	verdict, err := catalog.DecodeVerdict(result)
	if err != nil {
		return catalog.Verdict{}, s.unavailable(err)
	}
	return verdict, nil
}

// unavailable returns status 503 for a command that was certainly not proposed, and 504 for one that may be committed later.
func (s *Server) unavailable(err error) error {
	if errors.Is(err, core.ErrNoLeader) {
		s.countError("no-leader")
		return huma.Error503ServiceUnavailable(err.Error())
	}
	s.countError("outcome-unknown")
	return huma.Error504GatewayTimeout(err.Error())
}

// confirmRead returns once everything that was committed before the request is applied here.
func (s *Server) confirmRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.options.Replicator.ConfirmRead(ctx); err != nil {
		s.countError("read-not-confirmed")
		return huma.Error503ServiceUnavailable(fmt.Sprintf("the read could not be confirmed: %v", err))
	}
	return nil
}

func (s *Server) listMoves(ctx context.Context, _ *struct{}) (*output[[]core.Move], error) {
	if err := s.confirmRead(ctx); err != nil {
		return nil, err
	}
	return &output[[]core.Move]{
		Body: s.moves(principalOf(ctx)),
	}, nil
}

func (s *Server) showMove(ctx context.Context, input *showInput) (*output[core.Move], error) {
	if err := s.confirmRead(ctx); err != nil {
		return nil, err
	}
	move, exists := s.options.Catalog.Move(core.MoveID(input.MoveID))
	if !exists || !principalOf(ctx).CanAccess(s.tenant(move.Request.Service)) {
		return nil, huma.Error404NotFound(fmt.Sprintf("there is no move %q", input.MoveID))
	}
	return &output[core.Move]{
		Body: move,
	}, nil
}

func (s *Server) status(ctx context.Context, input *statusInput) (*output[Status], error) {
	principal := principalOf(ctx)
	if input.Nodes {
		if err := s.checkAllRights(ctx); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	current := s.options.Replicator.ConfirmRead(ctx) == nil
	configuration := s.options.Catalog.Current()
	status := Status{
		Current:   current,
		Revision:  configuration.Revision(),
		Hash:      fmt.Sprintf("%016x", uint64(configuration.Hash())),
		OpenMoves: s.openMoves(principal),
		Fleet:     s.options.Fleet.Fleet(),
		Replica:   s.options.Replicator.Status(),
		Rules:     s.options.Catalog.Rules(),
	}
	if input.Nodes {
		status.Nodes = s.options.Fleet.Nodes()
	}
	return &output[Status]{
		Body: status.restrictedTo(principal, s.tenant),
	}, nil
}

func (s *Server) audit(ctx context.Context, input *auditInput) (*output[catalog.AuditPage], error) {
	if err := s.confirmRead(ctx); err != nil {
		return nil, err
	}
	page, err := s.options.Catalog.AuditPage(catalog.AuditFilter{
		Operator:   core.Operator(input.Operator),
		Submission: core.SubmissionID(input.Submission),
		Move:       core.MoveID(input.Move),
		Since:      input.Since,
		Limit:      input.Limit,
		Viewer:     principalOf(ctx),
		Before:     input.Before,
	})
	if err != nil { // another instance may hold the entries
		s.countError("audit-incomplete")
		return nil, huma.Error503ServiceUnavailable(err.Error())
	}
	return &output[catalog.AuditPage]{
		Body: page,
	}, nil
}
