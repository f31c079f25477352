package settings

import (
	"fmt"
	"strings"
)

// Fault describes one fault of a settings file.
type Fault struct {
	File     string `json:"file"`
	Line     int    `json:"line"` // from 1; 0 if the file could not be read
	Key      string `json:"key"`  // path such as members[1].peer-address, empty for the file as a whole
	Expected string `json:"expected"`
	Found    string `json:"found,omitempty"`
}

// String describes the fault on one line.
func (f Fault) String() string {
	text := fmt.Sprintf("%s:%d: ", f.File, f.Line)
	if f.Key != "" {
		text += f.Key + ": "
	}
	text += "expected " + f.Expected
	if f.Found != "" {
		text += ", found " + f.Found
	}
	return text
}

// Error lists all faults of one settings file, sorted by line.
type Error struct {
	Faults []Fault
}

// Error implements error with one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
