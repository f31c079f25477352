package cli

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
	"github.com/samber/lo"
	"github.com/tailscale/hujson"

	"parsleyport/core"
	"parsleyport/core/record"
	"parsleyport/io/settings"
)

// Kinds of files.
const (
	kindAuto    = "auto"
	kindControl = "control"
	kindNode    = "node"
	kindRecords = "records"
)

// checked is the result of one file; Faults is empty if the file is right.
type checked struct {
	File   string   `json:"file"`
	Kind   string   `json:"kind"`
	Faults []string `json:"faults"`
}

func (p *program) check(o options) int {
	var all []core.Record
	status := StatusOK
	results := lo.Map(o.files, func(file string, _ int) checked {
		kind, records, err := checkFile(file, o.as)
		all = append(all, records...)
		return newChecked(file, kind, err)
	})
	if o.complete {
		_, err := record.New(1, all, nil)
		results = append(results, newChecked("all records together", kindRecords, err))
	}
	for _, result := range results {
		if len(result.Faults) > 0 {
			status = StatusUsage
		}
		p.printChecked(o, result)
	}
	return status
}

func newChecked(file, kind string, err error) checked {
	result := checked{
		File:   file,
		Kind:   kind,
		Faults: []string{},
	}
	var inSettings *settings.Error
	var inRecords fileError
	switch {
	case err == nil:
	case errors.As(err, &inSettings):
		result.Faults = lo.Map(inSettings.Faults, func(f settings.Fault, _ int) string { return f.String() })
	case errors.As(err, &inRecords):
		result.Faults = lo.Map(inRecords, func(f fileFault, _ int) string { return fileError{f}.Error() })
	default:
		result.Faults = []string{fmt.Sprintf("%s: %v", file, err)}
	}
	return result
}

func (p *program) printChecked(o options, result checked) {
	if o.json {
		p.printJSON(result)
		return
	}
	for _, fault := range result.Faults {
		fmt.Fprintln(p.stderr, fault)
	}
	if len(result.Faults) == 0 {
		fmt.Fprintf(p.stdout, "%s: %s without faults\n", result.File, result.Kind)
	}
}

func checkFile(file, as string) (string, []core.Record, error) {
	source, err := readFile(file)
	if err != nil {
		return as, nil, err
	}
	kind := as
	if kind == kindAuto {
		kind = detectKind(source)
	}
	switch kind {
	case kindControl:
		_, err = settings.ParseControl(file, source)
	case kindNode:
		_, err = settings.ParseNode(file, source)
	default:
		submission, err := parseRecords(file, source)
		return kindRecords, submission.Records, err
	}
	return kind, nil, err
}

// detectKind goes by keys that only one kind has; whatever is not settings is checked as records.
func detectKind(source []byte) string {
	standard, err := hujson.Standardize(append([]byte(nil), source...))
	if err != nil {
		return kindRecords
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(standard, &keys); err != nil {
		return kindRecords
	}
	for kind, names := range map[string][]string{
		kindControl: {"members", "data-folder", "operator-address"},
		kindNode:    {"control-addresses", "caller-address", "backend-address"},
	} {
		if lo.SomeBy(names, func(name string) bool { return lo.HasKey(keys, name) }) {
			return kind
		}
	}
	return kindRecords
}
