package settings

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"github.com/tailscale/hujson"
)

// Limits of a settings file.
const (
	maxFileBytes  = 1 << 20
	maxNameBytes  = 128
	maxShownBytes = 60 // of a faulty value in a message
)

const (
	expectedName     = "1 to 128 lower-case letters, digits, dots and hyphens"
	expectedAddress  = "an IP address and port such as 127.0.0.1:7101"
	expectedLogLevel = "trace, debug, info, warn or error"
)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// reader reads a parsed file and collects its faults.
type reader struct {
	file       string
	source     []byte
	faults     []Fault
	hideValues bool // keeps secrets out of faults
}

// object is one JSON object of the file. Each key that is read is taken out of values, so that the unknown keys remain.
type object struct {
	reader    *reader
	path      string
	line      int
	knownKeys []string
	values    map[string]hujson.Value
	lines     map[string]int
}

// element is one value and its position in the file.
type element struct {
	path  string
	line  int
	value hujson.Value
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, unreadableError(path, err)
	}
	defer file.Close()
	source, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, unreadableError(path, err)
	}
	return source, nil
}

func unreadableError(path string, err error) error {
	return &Error{
		Faults: []Fault{{
			File:     path,
			Expected: "a readable file",
			Found:    err.Error(),
		}},
	}
}

// parse parses the file and returns its top-level object, or false and one fault if the file cannot be used.
func (r *reader) parse() (*object, bool) {
	if len(r.source) > maxFileBytes {
		r.fault(1, "", fmt.Sprintf("at most %d bytes", maxFileBytes), "a longer file")
		return nil, false
	}
	value, err := hujson.Parse(r.source)
	if err != nil {
		line := 1
		_, _ = fmt.Sscanf(err.Error(), "hujson: line %d,", &line) // stays 1 if the parser names no line
		r.fault(line, "", "JSON with comments", err.Error())
		return nil, false
	}
	return r.object(element{
		line:  r.line(value),
		value: value,
	})
}

func (r *reader) fault(line int, key, expected, found string) {
	r.faults = append(r.faults, Fault{
		File:     r.file,
		Line:     line,
		Key:      key,
		Expected: expected,
		Found:    found,
	})
}

func (r *reader) line(value hujson.Value) int {
	return 1 + bytes.Count(r.source[:value.StartOffset], []byte{'\n'})
}

func (r *reader) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	sort.SliceStable(r.faults, func(i, j int) bool { return r.faults[i].Line < r.faults[j].Line })
	return &Error{
		Faults: r.faults,
	}
}

func (r *reader) object(e element) (*object, bool) {
	parsed, isObject := e.value.Value.(*hujson.Object)
	if !isObject {
		r.fault(e.line, e.path, "an object", r.describeValue(e.value))
		return nil, false
	}
	o := &object{
		reader: r,
		path:   e.path,
		line:   e.line,
		values: make(map[string]hujson.Value, len(parsed.Members)),
		lines:  make(map[string]int, len(parsed.Members)),
	}
	for _, member := range parsed.Members {
		key := member.Name.Value.(hujson.Literal).String()
		if _, exists := o.values[key]; exists {
			r.fault(r.line(member.Name), o.keyPath(key), "each key once", "a second one")
			continue
		}
		o.values[key] = member.Value
		o.lines[key] = r.line(member.Name)
	}
	return o, true
}

func (o *object) keyPath(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// lineOf returns the line of a key, or the line of the object if the key is missing.
func (o *object) lineOf(name string) int {
	if line, exists := o.lines[name]; exists {
		return line
	}
	return o.line
}

func (o *object) fault(name, expected, found string) {
	o.reader.fault(o.lineOf(name), o.keyPath(name), expected, found)
}

func (o *object) take(name string) (hujson.Value, bool) {
	o.knownKeys = append(o.knownKeys, name)
	value, exists := o.values[name]
	delete(o.values, name)
	return value, exists
}

// rejectUnknownKeys reports the keys that were not read.
func (o *object) rejectUnknownKeys() {
	names := lo.Keys(o.values)
	sort.Strings(names)
	for _, name := range names {
		o.fault(name, "one of "+strings.Join(o.knownKeys, ", "), "an unknown key")
	}
}

func (o *object) text(name, expected string, valid func(string) bool) string {
	value, exists := o.take(name)
	if !exists {
		o.fault(name, expected, "nothing")
		return ""
	}
	text, isText := stringLiteral(value)
	if !isText || !valid(text) {
		o.fault(name, expected, o.reader.describeValue(value))
		return ""
	}
	return text
}

func (o *object) optionalText(name, expected, defaultValue string, valid func(string) bool) string {
	if _, exists := o.values[name]; !exists {
		o.knownKeys = append(o.knownKeys, name)
		return defaultValue
	}
	return o.text(name, expected, valid)
}

func (o *object) name(key string) string {
	return o.text(key, expectedName, func(text string) bool {
		return len(text) <= maxNameBytes && namePattern.MatchString(text)
	})
}

func (o *object) address(key string) string {
	return o.text(key, expectedAddress, isAddress)
}

func (o *object) boolean(name string) bool {
	value, exists := o.take(name)
	if !exists {
		return false
	}
	text, isLiteral := value.Value.(hujson.Literal)
	if !isLiteral || (text.Kind() != 't' && text.Kind() != 'f') {
		o.fault(name, "true or false", o.reader.describeValue(value))
		return false
	}
	return text.Bool()
}

func (o *object) logLevel(name string) zerolog.Level {
	text := o.optionalText(name, expectedLogLevel, "info", func(text string) bool {
		return slices.Contains(logLevels, text)
	})
	level, err := zerolog.ParseLevel(text)
	if err != nil {
		return zerolog.InfoLevel // already reported
	}
	return level
}

func (o *object) list(name, expected string) []element {
	value, exists := o.take(name)
	if !exists {
		o.fault(name, expected, "nothing")
		return nil
	}
	array, isArray := value.Value.(*hujson.Array)
	if !isArray || len(array.Elements) == 0 {
		o.fault(name, expected, o.reader.describeValue(value))
		return nil
	}
	return lo.Map(array.Elements, func(each hujson.Value, i int) element {
		return element{
			path:  fmt.Sprintf("%s[%d]", o.keyPath(name), i),
			line:  o.reader.line(each),
			value: each,
		}
	})
}

// checkDistinct reports addresses that occur at more than one of the keys.
func (o *object) checkDistinct(keys []string, values []string) {
	for i, value := range values {
		first := slices.Index(values, value)
		if value != "" && first < i {
			o.fault(keys[i], "another address than "+keys[first], value)
		}
	}
}

func stringLiteral(value hujson.Value) (string, bool) {
	text, isLiteral := value.Value.(hujson.Literal)
	if !isLiteral || text.Kind() != '"' {
		return "", false
	}
	return text.String(), true
}

// describeValue returns a value for a message, shortened to maxShownBytes.
func (r *reader) describeValue(value hujson.Value) string {
	if r.hideValues {
		return "something else"
	}
	clone := value.Clone()
	clone.BeforeExtra, clone.AfterExtra = nil, nil
	clone.Minimize()
	text := clone.String()
	if len(text) > maxShownBytes {
		return strings.ToValidUTF8(text[:maxShownBytes], "") + "..."
	}
	return text
}

// isAddress reports whether a text is an IP address and port. An unspecified IP address is refused, because other processes dial the
// addresses in a settings file.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
}
