package node

import (
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/samber/do/v2"

	"parsleyport/core"
	"parsleyport/core/balancer"
	"parsleyport/core/record"
	"parsleyport/io/adminhttp"
	"parsleyport/io/backendhttp"
	"parsleyport/io/callerhttp"
	"parsleyport/io/distribution"
)

// dump is the state of a node that the admin interface shows.
type dump struct {
	Node         core.NodeID                          `json:"node"`
	Incarnation  core.Incarnation                     `json:"incarnation"`
	Distribution distribution.Status                  `json:"distribution"`
	Backend      backendhttp.Announcement             `json:"backend-server"`
	Endpoints    map[core.ServiceName][]core.Endpoint `json:"endpoints"`
	Balancer     []balancer.EndpointStatus            `json:"balancer"`
	Records      []core.Record                        `json:"records"`
}

func (p *process) startAdmin(injector do.Injector, subscriber *distribution.Subscriber) error {
	cleanup, err := adminhttp.New(adminhttp.Options{
		Address: p.settings.AdminAddress,
		Ready:   p.serving.Load,
		State:   func() any { return p.dump(injector, subscriber, subscriber.Current()) },
		Metrics: p.metrics,
		Logger:  p.log,
		Explain: p.explainRoute,
	})
	if err != nil {
		return err
	}
	p.cleanups.add(cleanup)
	return nil
}

// explainRoute says where a request with the parameters method, host, path and body-bytes would go from this node.
func (p *process) explainRoute(parameters url.Values) (any, error) {
	server := p.callerServer.Load()
	if server == nil {
		return nil, errors.New("the node accepts no callers yet")
	}
	query := callerhttp.Query{
		Method: parameters.Get("method"),
		Host:   parameters.Get("host"),
		Path:   parameters.Get("path"),
	}
	if text := parameters.Get("body-bytes"); text != "" {
		bytes, err := strconv.Atoi(text)
		if err != nil || bytes < 0 {
			return nil, errors.NotValidf("body-bytes %q", text)
		}
		query.BodyBytes = bytes
	}
	return server.Explain(time.Now(), query), nil
}

func (p *process) dump(injector do.Injector, subscriber *distribution.Subscriber, configuration *record.Configuration) dump {
	announced, _ := do.MustInvoke[*backendhttp.Server](injector).Current()
	d := dump{
		Node:         p.settings.ID,
		Incarnation:  p.incarnation,
		Distribution: subscriber.Status(),
		Backend:      announced,
		Endpoints:    make(map[core.ServiceName][]core.Endpoint),
		Balancer:     do.MustInvoke[*balancer.Balancer](injector).Status(time.Now()),
		Records:      record.Redact(configuration.Records()),
	}
	for _, service := range configuration.Services() {
		d.Endpoints[service] = subscriber.Endpoints(service)
	}
	return d
}
