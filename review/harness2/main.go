package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// caseTimeout ends a case that hangs before the limit of 120 s.
const caseTimeout = 110 * time.Second

// cases holds the cases by the name of their folder. Each returns whether the rule was broken.
var cases = map[string]func(*run) bool{
	"stuck-uploads":         stuckUploads,
	"dropped-service":       droppedService,
	"invalid-configuration": invalidConfiguration,
	"flapping":              flapping,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness-2 CASE FOLDER")
		os.Exit(statusNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(check func(*run) bool, folder string) (status int) {
	r, err := newRun(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer r.close()
	timeout := time.AfterFunc(caseTimeout, func() {
		r.notef("the case took too long")
		r.close()
		os.Exit(statusNotRun)
	})
	defer timeout.Stop()
	defer func() {
		if cause := recover(); cause != nil {
			notRun, expected := cause.(errNotRun)
			if !expected {
				r.close()
				panic(cause)
			}
			r.notef("not run: %s", notRun)
			status = statusNotRun
		}
	}()
	if check(r) {
		r.notef("result: the rule was broken")
		return statusBroken
	}
	r.notef("result: the rule held")
	return statusHeld
}
