package operatorhttp

import (
	"context"

	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
)

// Records holds the accepted records of a revision.
type Records struct {
	Revision core.Revision `json:"revision"`
	Records  []core.Record `json:"records"`
}

// RecordFilter selects records; empty fields select all.
type RecordFilter struct {
	Kind    core.Kind
	Service core.ServiceName // selects the service itself and the records that belong to it
	Name    string
}

type recordsInput struct {
	Kind    string `query:"kind"`
	Service string `query:"service"`
	Name    string `query:"name"`
}

func (f RecordFilter) matches(r core.Record) bool {
	return (f.Kind == "" || f.Kind == r.Kind) && (f.Name == "" || f.Name == r.Name) && (f.Service == "" || f.Service == catalog.ServiceOf(r))
}

func (s *Server) records(ctx context.Context, input *recordsInput) (*output[Records], error) {
	if err := s.confirmRead(ctx); err != nil {
		return nil, err
	}
	filter := RecordFilter{
		Kind:    core.Kind(input.Kind),
		Service: core.ServiceName(input.Service),
		Name:    input.Name,
	}
	configuration := s.options.Catalog.Current()
	return &output[Records]{
		Body: Records{
			Revision: configuration.Revision(),
			Records: lo.Filter(catalog.Records(configuration, principalOf(ctx)), func(r core.Record, _ int) bool {
				return filter.matches(r)
			}),
		},
	}, nil
}
