// Command review-cases runs one case of the review: it starts parsleyport's processes with the settings of a small deployment and stands
// in for the platform, the upstreams, the operator and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"
)

// Exit statuses.
const (
	statusHeld      = 0
	statusBroken    = 1
	statusCannotRun = 2
)

const maxDuration = 115 * time.Second

// cases return whether the rule held.
var cases = map[string]func(d *deployment, trouble bool) bool{
	"foreign-answer":  foreignAnswer,
	"first-start":     firstStart,
	"forgotten-leave": forgottenLeave,
	"odd-heartbeat":   oddHeartbeat,
	"crashed-path":    crashedPath,
}

func main() {
	os.Exit(runCase())
}

func runCase() (status int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE PROGRAM RECORD")
		return statusCannotRun
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCannotRun
	}
	defer file.Close()
	r := &record{
		file:    file,
		started: time.Now(),
	}
	defer func() {
		if cause := recover(); cause != nil {
			if reason, ok := cause.(errCannotRun); ok {
				r.printf("the case could not run: %s", reason.reason)
				fmt.Println("could not run:", reason.reason)
			} else {
				fmt.Printf("could not run: %v\n%s", cause, debug.Stack())
			}
			status = statusCannotRun
		}
	}()
	d := newDeployment(r, os.Args[2])
	defer d.stopAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxDuration):
		}
		d.stopAll()
		os.Exit(statusCannotRun)
	}()
	if cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0") {
		r.printf("the rule held")
		fmt.Println("the rule held")
		return statusHeld
	}
	r.printf("the rule was broken")
	fmt.Println("the rule was broken")
	return statusBroken
}
