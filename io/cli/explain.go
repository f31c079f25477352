package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
)

// maxLogLineBytes bounds one line of a log; longer lines are counted as unreadable.
const maxLogLineBytes = 1 << 20

// explain prints the log lines of a call from several processes, and the cause of its outcome.
func (p *program) explain(o options) int {
	var lines []logLine
	unreadable := 0
	for _, file := range o.files {
		read, skipped, err := readLog(file)
		if err != nil {
			return p.fail(StatusUsage, err)
		}
		lines, unreadable = append(lines, read...), unreadable+skipped
	}
	result := explainCall(o.callID, lines)
	if unreadable > 0 {
		fmt.Fprintf(p.stderr, "%d lines could not be read\n", unreadable)
	}
	if o.json {
		p.printJSON(result)
	} else {
		p.printExplanation(result)
	}
	if len(result.CallLines) == 0 {
		return StatusRefused
	}
	return StatusOK
}

func (p *program) printExplanation(e explanation) {
	printSection := func(title string, lines []logLine) {
		if len(lines) == 0 {
			return
		}
		fmt.Fprintln(p.stdout, title)
		for _, line := range lines {
			fmt.Fprintf(p.stdout, "  %s  %s: %s\n", line.Time.UTC().Format("15:04:05.000"), line.processName(), line.describe())
		}
	}
	printSection("call "+e.Call, e.CallLines)
	printSection("before its end, at the same processes", e.ContextLines)
	fmt.Fprintf(p.stdout, "cause: %s\n", e.Cause)
}

// readLog reads the JSON lines of a log and counts the other lines. It skips text before the JSON object of a line, as log
// collectors add it.
func readLog(path string) (lines []logLine, unreadable int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, maxLogLineBytes)
	for {
		text, tooLong, err := reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return lines, unreadable, nil
		}
		if err != nil {
			return nil, 0, errors.Annotatef(err, "read %s", path)
		}
		var line logLine
		if start := bytes.IndexByte(text, '{'); tooLong || start < 0 || json.Unmarshal(text[start:], &line) != nil {
			unreadable++
			continue
		}
		lines = append(lines, line)
	}
}
