package node

import (
	"time"

	"github.com/samber/do/v2"

	"parsleyport/core"
	"parsleyport/core/balancer"
	"parsleyport/core/record"
	"parsleyport/io/adminhttp"
	"parsleyport/io/backendhttp"
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
	})
	if err != nil {
		return err
	}
	p.cleanups.add(cleanup)
	return nil
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
