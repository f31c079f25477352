package cli

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/record"
)

// fileFault is one fault of a record file.
type fileFault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Detail string `json:"detail"`
}

// fileError lists all faults of one record file.
type fileError []fileFault

// Error implements error with one line for each fault.
func (e fileError) Error() string {
	var text bytes.Buffer
	for i, fault := range e {
		if i > 0 {
			text.WriteByte('\n')
		}
		fmt.Fprintf(&text, "%s:%d: %s", fault.File, fault.Line, fault.Detail)
	}
	return text.String()
}

func singleFault(file string, line int, detail string) fileError {
	return fileError{{
		File:   file,
		Line:   line,
		Detail: detail,
	}}
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer file.Close()
	source, err := io.ReadAll(io.LimitReader(file, catalog.MaxCommandBytes+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(source) > catalog.MaxCommandBytes {
		return nil, errors.Errorf("%s: more than %d bytes", path, catalog.MaxCommandBytes)
	}
	return source, nil
}

// parseRecords parses a record file and checks each record on its own. Its error is a fileError with all faults.
func parseRecords(file string, source []byte) (core.Submission, error) {
	value, err := hujson.Parse(source)
	if err != nil {
		line := 1
		_, _ = fmt.Sscanf(err.Error(), "hujson: line %d,", &line)   // line stays 1 if the error names none
		text, _, _ := strings.Cut(err.Error(), "invalid literal: ") // what follows may be an API key without its quotation marks
		if text != err.Error() {
			text += "invalid literal"
		}
		return core.Submission{}, singleFault(file, line, text)
	}
	if faults := duplicateKeys(file, source, value); len(faults) > 0 {
		return core.Submission{}, faults
	}
	standardJSON := value.Clone()
	standardJSON.Standardize() // keeps all byte offsets
	decoder := json.NewDecoder(bytes.NewReader(standardJSON.Pack()))
	decoder.DisallowUnknownFields()
	var submission core.Submission
	if err := decoder.Decode(&submission); err != nil {
		return core.Submission{}, singleFault(file, lineAt(source, errorOffset(decoder, err)), err.Error())
	}
	var faults fileError
	for i, r := range submission.Records {
		if err := record.CheckRecord(r); err != nil {
			faults = append(faults, singleFault(file, lineOf(source, value, recordPointers(i, err)...), err.Error())...)
		}
	}
	faults = append(faults, sharedKeys(file, source, value, submission.Records)...)
	if len(faults) == 0 && len(submission.Records)+len(submission.Deletes) == 0 {
		faults = singleFault(file, 1, "records or deletes are needed")
	}
	if len(faults) > 0 {
		return core.Submission{}, faults
	}
	return submission, nil
}

// duplicateKeys returns a fault for each key that an object repeats; encoding/json would silently keep only the last value.
func duplicateKeys(file string, source []byte, value hujson.Value) (faults fileError) {
	for each := range value.All() {
		object, isObject := each.Value.(*hujson.Object)
		if !isObject {
			continue
		}
		seen := make(map[string]bool, len(object.Members))
		for _, member := range object.Members {
			key := member.Name.Value.(hujson.Literal).String()
			if seen[key] {
				line := lineAt(source, int64(member.Name.StartOffset))
				faults = append(faults, singleFault(file, line, fmt.Sprintf("key %q is there twice", key))...)
			}
			seen[key] = true
		}
	}
	return faults
}

// recordPointers returns JSON pointers to the field that an error of a record names and to the record itself.
func recordPointers(index int, err error) []string {
	whole := fmt.Sprintf("/records/%d", index)
	if field, is := errors.AsType[*record.FieldError](err); is {
		return []string{whole + "/body/" + field.Pointer, whole}
	}
	if typeError, is := errors.AsType[*json.UnmarshalTypeError](err); is && typeError.Field != "" {
		return []string{whole + "/body/" + strings.ReplaceAll(typeError.Field, ".", "/"), whole}
	}
	return []string{whole}
}

// lineOf returns the line of the first of several JSON pointers that exists, or 1.
func lineOf(source []byte, value hujson.Value, pointers ...string) int {
	for _, pointer := range pointers {
		if at := value.Find(pointer); at != nil {
			return lineAt(source, int64(at.StartOffset))
		}
	}
	return 1
}

// sharedKeys returns a fault for each id and API key that a tenant of the file has in common with an earlier one. The keys themselves
// are not shown.
func sharedKeys(file string, source []byte, value hujson.Value, records []core.Record) (faults fileError) {
	idOwners, keyOwners := make(map[core.TenantID]string), make(map[string]string)
	for i, r := range records {
		var tenant core.TenantBody
		if r.Kind != core.KindTenant || json.Unmarshal(r.Body, &tenant) != nil {
			continue
		}
		report := func(field, owner string) {
			pointer := fmt.Sprintf("/records/%d/body/%s", i, field)
			line := lineOf(source, value, pointer, fmt.Sprintf("/records/%d", i))
			faults = append(faults, singleFault(file, line, fmt.Sprintf("tenant record %q: %s is the same as one of tenant record %q", r.Name, field, owner))...)
		}
		id := cmp.Or(tenant.ID, core.TenantID(r.Name))
		if owner, exists := idOwners[id]; exists && owner != r.Name {
			report("id", owner)
		}
		idOwners[id] = r.Name
		for k, key := range tenant.APIKeys {
			if owner, exists := keyOwners[key]; exists && owner != r.Name {
				report(fmt.Sprintf("api-keys/%d", k), owner)
			}
			keyOwners[key] = r.Name
		}
	}
	return faults
}

func errorOffset(decoder *json.Decoder, err error) int64 {
	if typeError, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return typeError.Offset
	}
	if syntaxError, ok := errors.AsType[*json.SyntaxError](err); ok {
		return syntaxError.Offset
	}
	return decoder.InputOffset()
}

func lineAt(source []byte, offset int64) int {
	return 1 + bytes.Count(source[:min(max(offset, 0), int64(len(source)))], []byte{'\n'})
}

// deriveID returns a submission id derived from the content, so that equal contents have equal ids.
func deriveID(content any) (core.SubmissionID, error) {
	encoded, err := json.Marshal(content)
	if err != nil {
		return "", errors.Trace(err)
	}
	sum := sha256.Sum256(encoded)
	return core.SubmissionID("content-" + hex.EncodeToString(sum[:16])), nil
}
