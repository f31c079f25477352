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

// maxLogLine bounds one line of a log, in bytes; longer ones are counted as unreadable.
const maxLogLine = 1 << 20

// explain prints the way of a call through the logs of several processes, and its cause.
func (p *program) explain(o options) int {
	var lines []logLine
	unread := 0
	for _, file := range o.files {
		read, skipped, err := readLog(file)
		if err != nil {
			return p.fail(StatusUsage, err)
		}
		lines, unread = append(lines, read...), unread+skipped
	}
	told := explainCall(o.callID, lines)
	if unread > 0 {
		fmt.Fprintf(p.stderr, "%d lines could not be read\n", unread)
	}
	if o.json {
		p.printJSON(told)
	} else {
		p.printAccount(told)
	}
	if len(told.Way) == 0 {
		return StatusRefused
	}
	return StatusOK
}

func (p *program) printAccount(told account) {
	show := func(title string, lines []logLine) {
		if len(lines) == 0 {
			return
		}
		fmt.Fprintln(p.stdout, title)
		for _, line := range lines {
			fmt.Fprintf(p.stdout, "  %s  %s: %s\n", line.Time.UTC().Format("15:04:05.000"), line.writer(), line.describe())
		}
	}
	show("call "+told.Call, told.Way)
	show("before its end, at the same processes", told.Around)
	fmt.Fprintf(p.stdout, "cause: %s\n", told.Cause)
}

// readLog reads the JSON lines of a log and counts the others. A collector may have put text before the object of a line.
func readLog(path string) (lines []logLine, unread int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, maxLogLine)
	for {
		text, tooLong, err := reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return lines, unread, nil
		}
		if err != nil {
			return nil, 0, errors.Annotatef(err, "read %s", path)
		}
		var line logLine
		if start := bytes.IndexByte(text, '{'); tooLong || start < 0 || json.Unmarshal(text[start:], &line) != nil {
			unread++
			continue
		}
		lines = append(lines, line)
	}
}
