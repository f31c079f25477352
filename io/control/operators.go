package control

import (
	"github.com/juju/errors"
	"github.com/samber/do/v2"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/io/distribution"
	"parsleyport/io/operatorhttp"
	"parsleyport/io/raftpeer"
)

func (p *process) newOperators(injector do.Injector) (*operatorhttp.Server, error) {
	source, err := do.Invoke[*distribution.Source](injector)
	if err != nil {
		return nil, errors.Annotate(err, "distribution")
	}
	token, err := operatorhttp.ReadToken(p.settings.TokenFile)
	if err != nil {
		return nil, errors.Annotate(err, "token-file")
	}
	records := do.MustInvoke[*catalog.Catalog](injector)
	server, cleanup, err := operatorhttp.New(operatorhttp.Options{
		Listen:     p.settings.OperatorAddress,
		Replicator: do.MustInvoke[*raftpeer.Replica](injector),
		Catalog:    records,
		Token:      token,
		Fleet: fleet{
			source:  source,
			catalog: records,
		},
		Log:     p.log,
		Metrics: p.metrics,
	})
	if err != nil {
		return nil, err
	}
	p.cleanups = append(p.cleanups, cleanup)
	return server, nil
}

// fleet shows the attached nodes to the operators' API.
type fleet struct {
	source  *distribution.Source
	catalog *catalog.Catalog
}

// Fleet implements operatorhttp.FleetView.
func (f fleet) Fleet() operatorhttp.FleetStatus {
	state := f.source.Fleet()
	status := operatorhttp.FleetStatus{
		LowestInForce: state.Lowest,
		Nodes:         state.Nodes,
		Endpoints:     make(map[core.ServiceName]int),
		SchemaFloor:   state.Schema,
	}
	for _, service := range f.catalog.Current().Services() {
		status.Endpoints[service] = len(f.source.Endpoints(service))
	}
	return status
}
