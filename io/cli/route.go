package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"parsleyport/io/callerhttp"
)

const (
	routeTimeout  = 10 * time.Second
	maxRouteBytes = 16 << 20
)

// route returns StatusRefused if the request would be refused before any attempt, and StatusUnknown if the node does not answer.
func (p *program) route(ctx context.Context, o options) int {
	answer, err := fetchRoute(ctx, o)
	if err != nil {
		return p.fail(StatusUnknown, err)
	}
	var explanation callerhttp.RouteExplanation
	if err := json.Unmarshal(answer, &explanation); err != nil {
		return p.fail(StatusUnknown, errors.Annotate(err, o.node))
	}
	if o.json {
		_, _ = p.stdout.Write(answer)
	} else {
		printRoute(p.stdout, explanation)
	}
	if explanation.Refused != "" {
		return StatusRefused
	}
	return StatusOK
}

func fetchRoute(ctx context.Context, o options) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	target := url.URL{
		Scheme: "http",
		Host:   o.node,
		Path:   "/route",
		RawQuery: url.Values{
			"method":     {o.method},
			"host":       {o.host},
			"path":       {o.path},
			"body-bytes": {strconv.FormatUint(uint64(o.bodyBytes), 10)},
		}.Encode(),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxRouteBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("%s: status %d: %s", o.node, response.StatusCode, answer)
	}
	return answer, err
}

func printRoute(out io.Writer, e callerhttp.RouteExplanation) {
	if e.Refused != "" {
		fmt.Fprintf(out, "refused: %s\n", e.Refused)
		return
	}
	fmt.Fprintf(out, "route %s of service %s, priority %d, idempotent %t, timeout %d ms, late after %d ms (0: never)\n", e.Route, e.Service,
		e.Priority, e.Idempotent, e.TimeoutMS, e.LateMS)
	for _, release := range e.Releases {
		fmt.Fprintf(out, "release %s, %d per mille: %s, %s (policy %s)\n", release.Release, release.PerMille, release.Likely, release.Why, release.Policy)
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "NODE\tDATA CENTRE\tLOCAL\tOUTSTANDING\tWAIT MS\tWORK MS\tON TIME\tEXCLUDED")
		for _, endpoint := range release.Endpoints {
			fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%.1f\t%.1f\t%t\t%s\n", endpoint.Node, endpoint.DataCentre, endpoint.Local, endpoint.Outstanding,
				endpoint.WaitMS, endpoint.WorkMS, endpoint.OnTime, endpoint.Excluded)
		}
		_ = table.Flush() // writes to out as the lines above do
	}
}
