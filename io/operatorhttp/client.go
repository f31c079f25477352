package operatorhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// Errors of a Client; core.ErrOutcomeUnknown means that a command may have been committed.
const (
	// ErrUnreachable means that no server took the request before the deadline, so nothing has changed.
	ErrUnreachable = errors.ConstError("no control instance took the request")
	// ErrRejected means that a server refused the request as malformed, unauthorized or about something that does not exist.
	ErrRejected = errors.ConstError("rejected")
	// ErrLimited means that a rate limit rejected the request up to the deadline, so nothing has changed.
	ErrLimited = errors.ConstError("rate limit")
)

// ClientOptions configure a Client. Servers are operator addresses, Token may be empty.
type ClientOptions struct {
	Servers []string
	Token   string
}

// Client sends operators' requests. It resends each request until it is answered or the context, which must have a deadline, ends.
type Client struct {
	options ClientOptions
	http    *http.Client
}

// NewClient returns a client; Close releases its connections.
func NewClient(options ClientOptions) *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &Client{
		options: options,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: dialer.DialContext, // without a proxy, since control instances are dialled by IP address
			},
			Timeout: attemptTimeout,
		},
	}
}

// Close releases the connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Submit sends a submission until it has a verdict; it returns core.ErrOutcomeUnknown, ErrUnreachable, ErrLimited
// or ErrRejected.
func (c *Client) Submit(ctx context.Context, submission core.Submission) (catalog.Verdict, error) {
	return post[catalog.Verdict](ctx, c, submissionsPath, submission)
}

// Move requests a move; its errors are those of Submit.
func (c *Client) Move(ctx context.Context, request core.MoveRequest) (catalog.Verdict, error) {
	return post[catalog.Verdict](ctx, c, movesPath, request)
}

// Abort requests that a move is taken back; its errors are those of Submit.
func (c *Client) Abort(ctx context.Context, abort catalog.Abort) (catalog.Verdict, error) {
	path := strings.Replace(abortPath, "{id}", url.PathEscape(string(abort.MoveID)), 1)
	return post[catalog.Verdict](ctx, c, path, abortBody{
		ID:       abort.ID,
		Operator: abort.Operator,
	})
}

// Moves lists the moves; it returns ErrUnreachable, ErrLimited or ErrRejected.
func (c *Client) Moves(ctx context.Context) ([]core.Move, error) {
	return get[[]core.Move](ctx, c, movesPath)
}

// ShowMove returns one move; its errors are those of Moves.
func (c *Client) ShowMove(ctx context.Context, id core.MoveID) (core.Move, error) {
	return get[core.Move](ctx, c, strings.Replace(movePath, "{id}", url.PathEscape(string(id)), 1))
}

// Status describes the fleet as the first reachable control instance knows it; its errors are those of Moves.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, statusPath)
}

// StatusWithNodes adds the newest report of each node; its errors are those of Moves.
func (c *Client) StatusWithNodes(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, statusPath+"?nodes=true")
}

// Records returns the accepted records that match a filter; its errors are those of Moves.
func (c *Client) Records(ctx context.Context, filter RecordFilter) (Records, error) {
	query := url.Values{
		"kind":    {string(filter.Kind)},
		"service": {string(filter.Service)},
		"name":    {filter.Name},
	}
	return get[Records](ctx, c, recordsPath+"?"+query.Encode())
}

// Audit returns the latest matching entries of the audit trail up to the filter's limit, oldest first, from as many pages as needed;
// its errors are those of Moves.
func (c *Client) Audit(ctx context.Context, filter catalog.AuditFilter) ([]catalog.AuditEntry, error) {
	page, err := c.AuditPages(filter, func(filter catalog.AuditFilter) (catalog.AuditPage, error) { return c.AuditPage(ctx, filter) })
	return page.Entries, err
}

// AuditPages joins pages until the filter's limit is reached or no page is left; Next of the result continues from there.
func (c *Client) AuditPages(filter catalog.AuditFilter, ask func(catalog.AuditFilter) (catalog.AuditPage, error)) (catalog.AuditPage, error) {
	limit := filter.Limit
	if limit == 0 {
		limit = DefaultAuditLimit
	}
	all := catalog.AuditPage{}
	for {
		filter.Limit = limit - len(all.Entries)
		page, err := ask(filter)
		if err != nil {
			return catalog.AuditPage{}, err
		}
		all.Entries = append(page.Entries, all.Entries...)
		all.Next, filter.Before = page.Next, page.Next
		if page.Next == 0 || len(all.Entries) >= limit {
			return all, nil
		}
	}
}

// AuditPage returns one page of the audit trail; its errors are those of Moves.
func (c *Client) AuditPage(ctx context.Context, filter catalog.AuditFilter) (catalog.AuditPage, error) {
	query := url.Values{}
	for key, value := range map[string]string{
		"operator":      string(filter.Operator),
		"submission-id": string(filter.Submission),
		"move-id":       string(filter.Move),
	} {
		if value != "" {
			query.Set(key, value)
		}
	}
	if !filter.Since.IsZero() {
		query.Set("since", filter.Since.UTC().Format(time.RFC3339Nano))
	}
	if filter.Limit > 0 {
		query.Set("limit", strconv.Itoa(filter.Limit))
	}
	if filter.Before > 0 {
		query.Set("before", strconv.FormatUint(filter.Before, 10))
	}
	return get[catalog.AuditPage](ctx, c, auditPath+"?"+query.Encode())
}

// Members describes the membership as the first reachable member knows it; its errors are those of Moves.
func (c *Client) Members(ctx context.Context) (Members, error) {
	return get[Members](ctx, c, membersPath)
}

// ChangeMembers requests a membership change from the leader, which adds the address and the data centre from its settings. A
// promotion waits until the learner has caught up. Its errors are those of Submit.
func (c *Client) ChangeMembers(ctx context.Context, change MemberChange) (Members, error) {
	path := strings.NewReplacer("{id}", url.PathEscape(string(change.Peer.ID)), "{change}", string(change.Kind)).Replace(changePath)
	return post[Members](ctx, c, path, changeBody{
		Submission: change.ID,
		Operator:   change.Operator,
		Identity:   change.Peer.Identity,
	})
}

func post[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	var answer, none T
	encoded, err := json.Marshal(body)
	if err != nil {
		return none, errors.Trace(err)
	}
	mayHaveRun, err := c.tryServers(ctx, http.MethodPost, path, encoded, &answer)
	if err != nil && mayHaveRun { // another server may have proposed the command before this one rejected it
		return none, errors.Annotatef(core.ErrOutcomeUnknown, "%v", err)
	}
	return answer, err
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var answer T
	_, err := c.tryServers(ctx, http.MethodGet, path, nil, &answer)
	return answer, err
}

// tryServers sends a request to the servers in turn until one answers. It reports whether a command may have been proposed.
func (c *Client) tryServers(ctx context.Context, method, path string, body []byte, answer any) (mayHaveRun bool, err error) {
	if len(c.options.Servers) == 0 {
		return false, errors.Annotate(ErrUnreachable, "no server is given")
	}
	for {
		for _, server := range c.options.Servers {
			var attemptMayHaveRun bool
			attemptMayHaveRun, err = c.attempt(ctx, server, method, path, body, answer)
			mayHaveRun = mayHaveRun || attemptMayHaveRun
			if err == nil || errors.Is(err, ErrRejected) {
				return mayHaveRun, err
			}
			if limit, is := errors.AsType[*rateLimitError](err); is {
				if !pause(ctx, limit.wait) {
					return mayHaveRun, errors.WithType(err, ErrLimited)
				}
				continue
			}
			if ctx.Err() != nil {
				return mayHaveRun, errors.WithType(err, ErrUnreachable)
			}
		}
		if !pause(ctx, retryPause) {
			return mayHaveRun, errors.WithType(err, ErrUnreachable)
		}
	}
}

// pause waits and reports whether the whole time has passed. It does not wait at all if the context would end first.
func pause(ctx context.Context, wait time.Duration) bool {
	if deadline, exists := ctx.Deadline(); exists && time.Until(deadline) <= wait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// rateLimitError means that a request was rejected because of a rate limit; wait is the time until the next attempt.
type rateLimitError struct {
	text string
	wait time.Duration
}

// Error implements error.
func (l *rateLimitError) Error() string {
	return l.text
}

// attempt sends a request to one server. It reports whether the server may have proposed a command.
func (c *Client) attempt(ctx context.Context, server, method, path string, body []byte, answer any) (mayHaveRun bool, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return false, errors.WithType(err, ErrRejected)
	}
	request.Header.Set("Content-Type", "application/json")
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		var opError *net.OpError
		notSent := errors.As(err, &opError) && opError.Op == "dial"
		return !notSent, errors.Annotate(err, server)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return true, errors.Annotate(err, server)
	}
	if response.StatusCode == http.StatusTooManyRequests {
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return false, &rateLimitError{
			text: server + ": " + problemText(content),
			wait: max(time.Duration(seconds)*time.Second, retryPause),
		}
	}
	return decodeAnswer(server, response.StatusCode, content, answer)
}

func decodeAnswer(server string, status int, content []byte, answer any) (mayHaveRun bool, err error) {
	switch {
	case status == http.StatusOK || status == http.StatusConflict:
		return true, errors.Annotate(json.Unmarshal(content, answer), server)
	case status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout:
		return false, errors.Errorf("%s: %s", server, problemText(content))
	case status < http.StatusInternalServerError:
		return false, errors.WithType(errors.Errorf("%s: %s", server, problemText(content)), ErrRejected)
	}
	return true, errors.Errorf("%s: status %d: %s", server, status, problemText(content))
}

// problemText returns the detail of an error answer, or the answer itself if it has another format.
func problemText(content []byte) string {
	var problem struct {
		Detail string `json:"detail"`
		Errors []struct {
			Message  string `json:"message"`
			Location string `json:"location"`
		} `json:"errors"`
	}
	if err := json.Unmarshal(content, &problem); err != nil || problem.Detail == "" {
		return strings.TrimSpace(string(content))
	}
	text := problem.Detail
	for _, fieldError := range problem.Errors {
		text += "; " + strings.TrimSpace(fieldError.Location+" "+fieldError.Message)
	}
	return text
}
