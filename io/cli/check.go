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

// Kinds of files to check.
const (
	kindAuto    = "auto"
	kindControl = "control"
	kindNode    = "node"
	kindRecords = "records"
)

// checkResult is the result of checking one file; Faults is empty if the file is valid.
type checkResult struct {
	File   string   `json:"file"`
	Kind   string   `json:"kind"`
	Faults []string `json:"faults"`
}

func (p *program) check(o options) int {
	var all []core.Record
	status := StatusOK
	results := lo.Map(o.files, func(file string, _ int) checkResult {
		kind, records, err := checkFile(file, o.fileKind)
		all = append(all, records...)
		return newCheckResult(file, kind, err)
	})
	if o.complete {
		_, err := record.New(1, all, nil)
		results = append(results, newCheckResult("all records together", kindRecords, err))
	}
	for _, result := range results {
		if len(result.Faults) > 0 {
			status = StatusUsage
		}
		p.printCheckResult(o, result)
	}
	return status
}

func newCheckResult(file, kind string, err error) checkResult {
	result := checkResult{
		File:   file,
		Kind:   kind,
		Faults: []string{},
	}
	var settingsError *settings.Error
	var recordsError fileError
	switch {
	case err == nil:
	case errors.As(err, &settingsError):
		result.Faults = lo.Map(settingsError.Faults, func(f settings.Fault, _ int) string { return f.String() })
	case errors.As(err, &recordsError):
		result.Faults = lo.Map(recordsError, func(f fileFault, _ int) string { return fileError{f}.Error() })
	default:
		result.Faults = []string{fmt.Sprintf("%s: %v", file, err)}
	}
	return result
}

func (p *program) printCheckResult(o options, result checkResult) {
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

// detectKind looks for keys that only one kind of settings has; a file without any of them is checked as records.
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
