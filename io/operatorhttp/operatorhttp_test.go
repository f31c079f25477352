package operatorhttp_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/io/operatorhttp"
)

// fakeReplicator applies proposals at once, unless fail returns an error for the number of the proposal.
type fakeReplicator struct {
	mu        sync.Mutex
	catalog   *catalog.Catalog
	proposals int
	confirms  int
	applied   core.LogIndex
	fail      func(proposal int, apply func()) error
	readError error
	leader    core.ControlID

	membership *fakeMembership
}

func (f *fakeReplicator) Propose(_ context.Context, command []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposals++
	var result []byte
	apply := func() {
		f.applied++
		result, _ = f.catalog.Apply(f.applied, command)
	}
	if f.fail != nil {
		if err := f.fail(f.proposals, apply); err != nil {
			return nil, err
		}
	}
	apply()
	return result, nil
}

func (f *fakeReplicator) ConfirmRead(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirms++
	return f.readError
}

func (f *fakeReplicator) Status() core.ReplicatorStatus {
	return core.ReplicatorStatus{
		Self:   "c1",
		Leader: f.leader,
		Voters: []core.ControlID{"c1"},
	}
}

type fakeFleet struct{}

func (fakeFleet) Fleet() operatorhttp.FleetStatus {
	return operatorhttp.FleetStatus{
		Nodes:       3,
		SchemaFloor: 1,
		Endpoints:   map[core.ServiceName]int{"a": 1, "b": 2},
	}
}

func (fakeFleet) Nodes() []operatorhttp.NodeStatus {
	return []operatorhttp.NodeStatus{{Node: "n1"}}
}

func (fakeFleet) Endpoints(core.ServiceName) []core.Endpoint {
	return []core.Endpoint{{Node: "n1"}}
}

type fixture struct {
	replicator *fakeReplicator
	address    string
	client     *operatorhttp.Client
}

func start(c *qt.C, token string, replicator *fakeReplicator, otherServers ...string) fixture {
	c.Helper()
	replicator.catalog = catalog.New()
	var tokens []operatorhttp.Token
	if token != "" {
		tokens = append(tokens, operatorhttp.Token{Secret: token})
	}
	server, stop, err := operatorhttp.New(operatorhttp.Options{
		Listen:     "127.0.0.1:0",
		Replicator: replicator,
		Membership: replicator.membership,
		Catalog:    replicator.catalog,
		Tokens:     tokens,
		Fleet:      fakeFleet{},
		Log:        zerolog.Nop(),
		Metrics:    metrics.NewSet(),
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	client := operatorhttp.NewClient(operatorhttp.ClientOptions{
		Servers: append(otherServers, server.Address()),
		Token:   token,
	})
	c.Cleanup(client.Close)
	return fixture{
		replicator: replicator,
		address:    server.Address(),
		client:     client,
	}
}

func withTimeout(c *qt.C, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	c.Cleanup(cancel)
	return ctx
}

func serviceSubmission(id core.SubmissionID, version core.RecordVersion, tenant string) core.Submission {
	return core.Submission{
		ID:       id,
		Operator: "amina",
		Records: []core.Record{{
			Kind:          core.KindService,
			Name:          "orders",
			SchemaVersion: 1,
			Version:       version,
			Body:          fmt.Appendf(nil, `{"tenant": %q}`, tenant),
		}},
	}
}

// unusedAddress refuses connections. A port that was assigned by the system and closed again could be assigned to another test.
const unusedAddress = "127.0.0.1:1"

// Guards against a submission that runs twice, or gets another verdict, when its answer is lost and the client resends.
func TestResendAfterLostAnswerGetsTheSameVerdict(t *testing.T) {
	c := qt.New(t)
	for name, lose := range map[string]func() error{
		"outcome unknown": func() error { return core.ErrOutcomeUnknown },
		"cut connection":  func() error { panic(http.ErrAbortHandler) },
	} {
		f := start(c, "", &fakeReplicator{
			fail: func(proposal int, apply func()) error {
				if proposal > 1 {
					return nil
				}
				apply()
				return lose()
			},
		}, unusedAddress)
		verdict, err := f.client.Submit(withTimeout(c, 20*time.Second), serviceSubmission("one", 1, "a"))
		c.Assert(err, qt.IsNil, qt.Commentf("%s", name))
		c.Assert(verdict.Result, qt.Equals, catalog.Accepted)
		c.Assert(verdict.Unchanged, qt.IsFalse)
		c.Assert(verdict.Revision, qt.Equals, core.Revision(1))
		c.Assert(f.replicator.proposals, qt.Equals, 2)
		c.Assert(f.replicator.catalog.Audit(catalog.AuditFilter{}), qt.HasLen, 1)
	}
}

// Guards against a client that reports "nothing has changed" although a command may have been committed.
func TestUnansweredCommandIsUnknownOnlyIfItWasProposed(t *testing.T) {
	c := qt.New(t)
	for want, fail := range map[error]error{
		core.ErrOutcomeUnknown:      core.ErrOutcomeUnknown,
		operatorhttp.ErrUnreachable: core.ErrNoLeader,
	} {
		f := start(c, "", &fakeReplicator{
			fail: func(int, func()) error { return fail },
		})
		_, err := f.client.Submit(withTimeout(c, 300*time.Millisecond), serviceSubmission("one", 1, "a"))
		c.Assert(errors.Is(err, want), qt.IsTrue, qt.Commentf("%v: %v", fail, err))
	}
	client := operatorhttp.NewClient(operatorhttp.ClientOptions{
		Servers: []string{unusedAddress},
	})
	_, err := client.Submit(withTimeout(c, 300*time.Millisecond), serviceSubmission("one", 1, "a"))
	c.Assert(errors.Is(err, operatorhttp.ErrUnreachable), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against a refusal that reaches the operator without its cause or the winning submission.
func TestRefusedVerdictNamesTheWinner(t *testing.T) {
	c := qt.New(t)
	f := start(c, "", &fakeReplicator{})
	_, err := f.client.Submit(withTimeout(c, 20*time.Second), serviceSubmission("one", 1, "a"))
	c.Assert(err, qt.IsNil)
	verdict, err := f.client.Submit(withTimeout(c, 20*time.Second), serviceSubmission("two", 1, "b"))
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Cause, qt.Equals, catalog.CauseEqualVersion)
	c.Assert(verdict.Winner.Submission, qt.Equals, core.SubmissionID("one"))
}

// Guards against a malformed or truncated request that reaches the log.
func TestMalformedRequestsAreNotProposed(t *testing.T) {
	c := qt.New(t)
	f := start(c, "", &fakeReplicator{})
	for _, s := range []core.Submission{
		serviceSubmission("one", 0, "a"),
		serviceSubmission("", 1, "a"),
		serviceSubmission("one", 1, ""),
	} {
		_, err := f.client.Submit(withTimeout(c, 20*time.Second), s)
		c.Assert(errors.Is(err, operatorhttp.ErrRejected), qt.IsTrue, qt.Commentf("%v", err))
	}
	for _, body := range []string{``, `[]`, `{"records": 1}`, `{"records": [], "colour": 1}`, `{"records": [{"kind": "service"`, strings.Repeat("x", 5<<20)} {
		response, err := http.Post("http://"+f.address+"/v1/submissions", "application/json", strings.NewReader(body))
		if err == nil { // the server may close the connection while a body that is too long is still being sent
			c.Assert(response.StatusCode >= 400 && response.StatusCode < 500, qt.IsTrue, qt.Commentf("%d", response.StatusCode))
			c.Assert(response.Body.Close(), qt.IsNil)
		}
	}
	const whole = `{"submission-id":"one","operator":"amina","records":[{"kind":"service","name":"orders","schema-version":1,"version":1,"body":{"tenant":"a"}}]}`
	for _, head := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(whole)+1, whole),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(whole), whole), // the last chunk is missing
	} {
		conn, err := net.Dial("tcp", f.address)
		c.Assert(err, qt.IsNil)
		_, err = fmt.Fprintf(conn, "POST /v1/submissions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n%s", head)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		answer, _ := io.ReadAll(conn)
		c.Assert(string(answer), qt.Matches, `(?s)HTTP/1.1 4.*`)
	}
	c.Assert(f.replicator.proposals, qt.Equals, 0)
}

// Guards against reads that claim to be current without a confirmed heartbeat round.
func TestReadsAreConfirmed(t *testing.T) {
	c := qt.New(t)
	f := start(c, "", &fakeReplicator{})
	ctx := withTimeout(c, 20*time.Second)
	_, err := f.client.Moves(ctx)
	c.Assert(err, qt.IsNil)
	_, err = f.client.ShowMove(ctx, "m1")
	c.Assert(errors.Is(err, operatorhttp.ErrRejected), qt.IsTrue)
	_, err = f.client.Audit(ctx, catalog.AuditFilter{})
	c.Assert(err, qt.IsNil)
	status, err := f.client.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(status.Current, qt.IsTrue)
	c.Assert(status.Fleet.Nodes, qt.Equals, 3)
	c.Assert(f.replicator.confirms, qt.Equals, 4)

	f.replicator.readError = core.ErrNoLeader
	for _, read := range []func(context.Context) error{
		func(ctx context.Context) error { _, err := f.client.Moves(ctx); return err },
		func(ctx context.Context) error { _, err := f.client.ShowMove(ctx, "m1"); return err },
		func(ctx context.Context) error {
			_, err := f.client.Audit(ctx, catalog.AuditFilter{})
			return err
		},
	} {
		c.Assert(errors.Is(read(withTimeout(c, 200*time.Millisecond)), operatorhttp.ErrUnreachable), qt.IsTrue)
	}
	status, err = f.client.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(status.Current, qt.IsFalse)
}

// Guards against moves and audit filters that are encoded or decoded wrongly.
func TestMovesAndAuditFiltersRoundTrip(t *testing.T) {
	c := qt.New(t)
	f := start(c, "", &fakeReplicator{})
	ctx := withTimeout(c, 20*time.Second)
	submission := serviceSubmission("one", 1, "a")
	for name, body := range map[string]string{
		"v1": `{"service": "orders", "release": "r1", "slots": 1}`,
		"v2": `{"service": "orders", "release": "r2", "slots": 1}`,
	} {
		submission.Records = append(submission.Records, core.Record{Kind: core.KindUpstream, Name: name, SchemaVersion: 1, Version: 1, Body: []byte(body)})
	}
	weights := []byte(`{"service": "orders", "weights": [{"upstream": "v1", "per-mille": 1000}]}`)
	submission.Records = append(submission.Records, core.Record{Kind: core.KindPolicy, Name: "orders", SchemaVersion: 1, Version: 1, Body: weights})
	_, err := f.client.Submit(ctx, submission)
	c.Assert(err, qt.IsNil)
	request := core.MoveRequest{ID: "two", Operator: "lars", Service: "orders", From: "v1", To: "v2", Deadline: time.Now().Add(time.Hour)}
	verdict, err := f.client.Move(ctx, request)
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Move, qt.Equals, core.MoveID("m1"), qt.Commentf("%s", verdict.Detail))
	verdict, err = f.client.Abort(ctx, catalog.Abort{ID: "three", Operator: "lars", MoveID: "m1"})
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Result, qt.Equals, catalog.Accepted)
	move, err := f.client.ShowMove(ctx, "m1")
	c.Assert(err, qt.IsNil)
	c.Assert(move.State, qt.Equals, core.MoveTakenBack)
	c.Assert(move.Request.Deadline.Equal(request.Deadline), qt.IsTrue)
	entries, err := f.client.Audit(ctx, catalog.AuditFilter{Operator: "lars", Move: "m1", Since: move.StartedAt, Limit: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 1)
	c.Assert(entries[0].Submission, qt.Equals, core.SubmissionID("three"))
}

// Guards against requests without the token that are accepted, and against metrics that need a token although no token is limited.
func TestRequestsNeedTheToken(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "token")
	c.Assert(os.WriteFile(path, []byte(" secret\n"), 0o600), qt.IsNil)
	token, err := operatorhttp.ReadToken(path)
	c.Assert(err, qt.IsNil)
	f := start(c, token, &fakeReplicator{})
	_, err = f.client.Submit(withTimeout(c, 20*time.Second), serviceSubmission("one", 1, "a"))
	c.Assert(err, qt.IsNil)
	for _, wrong := range []string{"", "secre", "secrets"} {
		client := operatorhttp.NewClient(operatorhttp.ClientOptions{
			Servers: []string{f.address},
			Token:   wrong,
		})
		_, err = client.Submit(withTimeout(c, 20*time.Second), serviceSubmission("two", 2, "a"))
		c.Assert(errors.Is(err, operatorhttp.ErrRejected), qt.IsTrue)
	}
	c.Assert(f.replicator.proposals, qt.Equals, 1)
	response, err := http.Get("http://" + f.address + "/metrics")
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Contains, `parsleyport_operator_verdicts_total{action="submit",result="accepted",cause=""} 1`)
	c.Assert(string(text), qt.Contains, `parsleyport_operator_errors_total{cause="unauthorized"} 3`)
	c.Assert(string(text), qt.Contains, "parsleyport_revision 1\n")
}

// Guards against clients that exhaust a control instance with concurrent requests.
func TestConcurrentRequestsAreLimited(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	f := start(c, "", &fakeReplicator{
		fail: func(int, func()) error { <-release; return nil },
	})
	statuses := make(chan int, 65)
	for i := range 65 {
		body := fmt.Sprintf(`{"submission-id":"%d","operator":"a","records":[{"kind":"service","name":"x","schema-version":1,"version":1,"body":{"tenant":"a"}}]}`, i)
		go func() {
			response, err := http.Post("http://"+f.address+"/v1/submissions", "application/json", strings.NewReader(body))
			if err != nil {
				statuses <- 0
				return
			}
			_ = response.Body.Close()
			statuses <- response.StatusCode
		}()
	}
	first := 0
	select {
	case first = <-statuses: // the other requests wait for the release
	case <-withTimeout(c, 10*time.Second).Done():
	}
	response, err := http.Get("http://" + f.address + "/metrics")
	close(release)
	c.Assert(first, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("no metrics under overload"))
	for range 64 {
		c.Assert(<-statuses, qt.Equals, http.StatusOK)
	}
}
