package cli

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/io/operatorhttp"
)

// pollInterval is the time between two reads of the moves with --wait. The steps of a move take seconds.
const pollInterval = 500 * time.Millisecond

// apply parses all files before it submits the first one, and stops at the first refusal.
func (p *program) apply(ctx context.Context, o options, client *operatorhttp.Client) int {
	submissions := make([]core.Submission, 0, len(o.files))
	derived := make([]bool, 0, len(o.files))
	for _, file := range o.files {
		submission, isDerived, err := loadSubmission(file, o)
		if err != nil {
			return p.fail(StatusUsage, err)
		}
		submissions = append(submissions, submission)
		derived = append(derived, isDerived)
	}
	for i, submission := range submissions {
		verdict, err := request(ctx, o, func(ctx context.Context) (catalog.Verdict, error) { return client.Submit(ctx, submission) })
		if status := p.printVerdict(o, verdict, derived[i], err); status != StatusOK {
			return status
		}
	}
	return StatusOK
}

func loadSubmission(file string, o options) (submission core.Submission, derived bool, err error) {
	source, err := readFile(file)
	if err != nil {
		return submission, false, err
	}
	if submission, err = parseRecords(file, source); err != nil {
		return submission, false, err
	}
	submission.Operator = lo.CoalesceOrEmpty(o.operator, submission.Operator, o.defaultOperator)
	submission.ID = lo.CoalesceOrEmpty(o.submissionID, submission.ID)
	if submission.Operator == "" {
		return submission, false, errors.Errorf("%s: operator is missing: name it in the file or with --operator", file)
	}
	if submission.ID != "" {
		return submission, false, nil
	}
	submission.ID, err = deriveID(submission)
	return submission, true, err
}

func (p *program) move(ctx context.Context, o options, client *operatorhttp.Client) int {
	move := core.MoveRequest{
		ID:           o.submissionID,
		Operator:     o.operator,
		Service:      o.service,
		From:         o.from,
		To:           o.to,
		Deadline:     o.deadline.UTC(),
		MaxRiskShare: o.maxRiskShare,
	}
	if move.ID == "" {
		id, err := deriveID(move)
		if err != nil {
			return p.fail(StatusUsage, err)
		}
		move.ID = id
	}
	if o.relativeDeadline {
		fmt.Fprintf(p.stderr, "To resend this move after a lost answer, use --submission-id %s --by %s in the same command.\n", move.ID, move.Deadline.Format(time.RFC3339Nano))
	}
	verdict, err := request(ctx, o, func(ctx context.Context) (catalog.Verdict, error) { return client.Move(ctx, move) })
	status := p.printVerdict(o, verdict, o.submissionID == "", err)
	if status != StatusOK || !o.wait {
		return status
	}
	o.moveID = verdict.Move
	return p.moves(ctx, o, client)
}

func (p *program) abort(ctx context.Context, o options, client *operatorhttp.Client) int {
	abort := catalog.Abort{
		ID:       o.submissionID,
		Operator: o.operator,
		MoveID:   o.moveID,
	}
	if abort.ID == "" {
		id, err := deriveID(abort)
		if err != nil {
			return p.fail(StatusUsage, err)
		}
		abort.ID = id
	}
	verdict, err := request(ctx, o, func(ctx context.Context) (catalog.Verdict, error) { return client.Abort(ctx, abort) })
	return p.printVerdict(o, verdict, o.submissionID == "", err)
}

// request applies --timeout to one request only, so that --wait may take longer.
func request[T any](ctx context.Context, o options, send func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return send(ctx)
}

func (p *program) printVerdict(o options, verdict catalog.Verdict, derived bool, err error) int {
	if err != nil {
		return p.failRequest(err)
	}
	if o.json {
		p.printJSON(verdict)
	} else {
		fmt.Fprintln(p.stdout, describeVerdict(verdict))
	}
	if verdict.Result == catalog.Accepted {
		return StatusOK
	}
	if verdict.Cause == catalog.CauseSubmissionLimit {
		fmt.Fprintln(p.stderr, "This verdict is not stored: after the time that it names, run the same command again.")
		return StatusRefused
	}
	if derived {
		fmt.Fprintf(p.stderr, "This verdict dates from %s and is stored for this content. Once its cause is resolved, submit again with another --submission-id.\n", verdict.At.Format(time.RFC3339))
	}
	return StatusRefused
}

func describeVerdict(v catalog.Verdict) string {
	if v.Result == catalog.Refused {
		text := fmt.Sprintf("refused (%s): %s", v.Cause, v.Detail)
		if v.Winner != nil {
			text += fmt.Sprintf("; submission %s by %s won", v.Winner.Submission, v.Winner.Operator)
			if !v.Winner.Deleted {
				text += ", content hash " + v.Winner.Hash
			}
		}
		return text
	}
	text := fmt.Sprintf("accepted, revision %d", v.Revision)
	if v.Unchanged {
		text += ", unchanged"
	}
	if v.Move != "" {
		text += ", move " + string(v.Move)
	}
	return text + ", submission " + string(v.Submission)
}

// moves lists the moves. With --wait, it first waits for those that were open when the command started.
func (p *program) moves(ctx context.Context, o options, client *operatorhttp.Client) int {
	moves, err := readMoves(ctx, o, client)
	if err != nil {
		return p.failRequest(err)
	}
	awaitedIDs := lo.FilterMap(moves, func(m core.Move, _ int) (core.MoveID, bool) {
		return m.MoveID, o.moveID != "" || !catalog.Ended(m.State)
	})
	isAwaited := func(m core.Move) bool { return lo.Contains(awaitedIDs, m.MoveID) }
	for o.wait && lo.SomeBy(moves, func(m core.Move) bool { return isAwaited(m) && !catalog.Ended(m.State) }) {
		select {
		case <-ctx.Done():
			return p.fail(StatusUnknown, errors.Errorf("interrupted before the moves had ended"))
		case <-time.After(pollInterval):
		}
		if moves, err = readMoves(ctx, o, client); err != nil {
			return p.failRequest(err)
		}
	}
	p.printMoves(o, moves)
	if o.wait && lo.SomeBy(moves, func(m core.Move) bool { return isAwaited(m) && m.State != core.MoveDone }) {
		return StatusRefused
	}
	return StatusOK
}

func readMoves(ctx context.Context, o options, client *operatorhttp.Client) ([]core.Move, error) {
	return request(ctx, o, func(ctx context.Context) ([]core.Move, error) {
		if o.moveID == "" {
			return client.Moves(ctx)
		}
		move, err := client.ShowMove(ctx, o.moveID)
		return []core.Move{move}, err
	})
}

func (p *program) printMoves(o options, moves []core.Move) {
	if o.json {
		p.printJSON(moves)
		return
	}
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MOVE\tSERVICE\tFROM\tTO\tSTATE\tPER MILLE\tSTEP\tDEADLINE\tCAUSE\tEVIDENCE")
	for _, m := range moves {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", m.MoveID, m.Request.Service, m.Request.From, m.Request.To,
			m.State, m.Share, m.Step, m.Request.Deadline.Format(time.RFC3339), m.Cause, m.Evidence)
	}
	_ = table.Flush() // a failure to write to standard output cannot be reported
}

func (p *program) failRequest(err error) int {
	if errors.Is(err, operatorhttp.ErrLimited) && !errors.Is(err, core.ErrOutcomeUnknown) {
		return p.fail(StatusLimited, err)
	}
	if errors.Is(err, operatorhttp.ErrRejected) && !errors.Is(err, core.ErrOutcomeUnknown) {
		return p.fail(StatusRefused, err)
	}
	return p.fail(StatusUnknown, err)
}
