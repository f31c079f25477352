package catalog

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
	"parsleyport/core/jsonvalue"
	"parsleyport/core/packed"
	"parsleyport/core/record"
)

// ErrMalformed means that a submission is invalid in any state, so that it must not be proposed.
const ErrMalformed = errors.ConstError("malformed submission")

// Limits of a command.
const (
	// MaxCommandBytes limits one command, so that a log entry with its frame stays well below core.MaxFrameBytes.
	MaxCommandBytes = 4 << 20
	maxIDBytes      = 128
	maxTextBytes    = 4 << 10 // cause and evidence of a step, detail of a verdict
)

// Action is the kind of a command; it is part of audit entries.
type Action string

// The actions.
const (
	ActionSubmit  Action = "submit"
	ActionMove    Action = "move"
	ActionStep    Action = "step"
	ActionAbort   Action = "abort"
	ActionMembers Action = "members"
	ActionRules   Action = "rules"
	ActionDepart  Action = "depart"
)

// Abort requests that an open move be taken back.
type Abort struct {
	ID       core.SubmissionID `json:"submission-id,omitempty" msgpack:"submission-id"`
	Operator core.Operator     `json:"operator,omitempty" msgpack:"operator"`
	MoveID   core.MoveID       `json:"move-id" msgpack:"move-id"`
}

// envelope is an encoded command. The hash of Body identifies the content of a submission, so Body holds nothing that differs
// in a resend.
type envelope struct {
	Action      Action             `msgpack:"action"`
	At          time.Time          `msgpack:"at"`
	SchemaFloor core.SchemaVersion `msgpack:"floor"`
	Body        []byte             `msgpack:"body"`

	Token   string          `msgpack:"token,omitempty"`
	Tenants []core.TenantID `msgpack:"tenants,omitempty"` // tenants to which the token is limited
	Limits  *Limits         `msgpack:"limits,omitempty"`  // nil in commands from before limits existed
}

// EncodeSubmit checks each record by itself and encodes the submission. The floor is the highest schema version that every
// attached node supports, zero if no node is attached. It returns ErrMalformed.
func EncodeSubmit(at time.Time, floor core.SchemaVersion, s core.Submission) ([]byte, error) {
	if err := checkSubmitter(s.ID, s.Operator); err != nil {
		return nil, err
	}
	records := make([]core.Record, 0, len(s.Records))
	for _, r := range s.Records {
		if err := record.CheckRecord(r); err != nil {
			return nil, errors.WithType(err, ErrMalformed)
		}
		body, err := canonicalJSON(r.Body)
		if err != nil {
			return nil, errors.WithType(errors.Annotatef(err, "%s record %q", r.Kind, r.Name), ErrMalformed)
		}
		r.Body = body
		records = append(records, r)
	}
	s.Records = records
	if len(s.Deletes) == 0 {
		s.Deletes = nil // an empty list is the same content as none
	}
	if err := checkKeys(s); err != nil {
		return nil, errors.WithType(err, ErrMalformed)
	}
	for _, d := range s.Deletes { // CheckRecord has already checked the names of the records
		if err := checkNames(string(d.Kind), d.Name); err != nil {
			return nil, err
		}
	}
	return encode(ActionSubmit, at, floor, s)
}

// EncodeMove encodes a request for a move. It returns ErrMalformed.
func EncodeMove(at time.Time, request core.MoveRequest) ([]byte, error) {
	if err := checkSubmitter(request.ID, request.Operator); err != nil {
		return nil, err
	}
	if err := checkNames(string(request.Service), string(request.From), string(request.To)); err != nil {
		return nil, err
	}
	request.Deadline = request.Deadline.UTC()
	return encode(ActionMove, at, 0, request)
}

// EncodeAbort encodes a request to take a move back. It returns ErrMalformed.
func EncodeAbort(at time.Time, abort Abort) ([]byte, error) {
	if err := checkSubmitter(abort.ID, abort.Operator); err != nil {
		return nil, err
	}
	if err := checkNames(string(abort.MoveID)); err != nil {
		return nil, err
	}
	return encode(ActionAbort, at, 0, abort)
}

// EncodeStep encodes the leader's proposal of the next step of a move. It returns ErrMalformed.
func EncodeStep(step core.MoveStep) ([]byte, error) {
	if len(step.Cause) > maxTextBytes || len(step.Evidence) > maxTextBytes {
		return nil, errors.Annotatef(ErrMalformed, "cause or evidence of a step has more than %d bytes", maxTextBytes)
	}
	return encode(ActionStep, step.At, 0, step)
}

func encode(action Action, at time.Time, floor core.SchemaVersion, body any) ([]byte, error) {
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	command, err := msgpack.Marshal(envelope{
		Action:      action,
		At:          at.UTC(),
		SchemaFloor: floor,
		Body:        encoded,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(command) > MaxCommandBytes {
		return nil, errors.Annotatef(ErrMalformed, "%d bytes, at most %d are allowed", len(command), MaxCommandBytes)
	}
	return command, nil
}

func checkSubmitter(id core.SubmissionID, operator core.Operator) error {
	if id == "" || len(id) > maxIDBytes {
		return errors.Annotatef(ErrMalformed, "submission-id has %d bytes, expected 1 to %d", len(id), maxIDBytes)
	}
	if operator == "" || len(operator) > maxIDBytes {
		return errors.Annotatef(ErrMalformed, "operator has %d bytes, expected 1 to %d", len(operator), maxIDBytes)
	}
	return nil
}

// checkNames limits the length of names, which the audit trail keeps permanently.
func checkNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxIDBytes {
			return errors.Annotatef(ErrMalformed, "a name has %d bytes, expected at most %d", len(name), maxIDBytes)
		}
	}
	return nil
}

func checkKeys(s core.Submission) error {
	if len(s.Records)+len(s.Deletes) == 0 {
		return errors.New("a submission needs records or deletes")
	}
	seen := make(map[core.RecordKey]bool, len(s.Records)+len(s.Deletes))
	check := func(key core.RecordKey, version core.RecordVersion) error {
		if key.Kind == "" || key.Name == "" || key.SchemaVersion == 0 || version == 0 {
			return errors.Errorf("%s: kind, name, schema-version and version are needed", describe(key, version))
		}
		if seen[key] {
			return errors.Errorf("%s: named twice in one submission", describe(key, version))
		}
		seen[key] = true
		return nil
	}
	for _, r := range s.Records {
		if err := check(r.Key(), r.Version); err != nil {
			return err
		}
	}
	for _, d := range s.Deletes {
		if err := check(deletionKey(d), d.Version); err != nil {
			return err
		}
	}
	return nil
}

// canonicalJSON sorts keys and removes white space, so that equal content has equal bytes. Only the proposer calls it: the
// state machine must not depend on the JSON encoder, which may differ between program versions.
func canonicalJSON(body []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var value any
	if err := jsonvalue.DecodeOnly(decoder, &value); err != nil {
		return nil, err
	}
	return json.Marshal(value)
}

// decode returns an error for any malformed input. It recovers because msgpack panics on a nil in place of a time.
func decode(encoded []byte, target any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("msgpack: %v", cause)
		}
	}()
	return packed.Decode(encoded, target)
}
