package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	app := kingpin.New("standin", "Stand-ins for the systems around parsleyport.")
	backendCommand, backend := backendFlags(app)
	callerCommand, caller := callerFlags(app)
	verifyCommand, verify := verifyFlags(app)
	traceCommand, trace := traceFlags(app)
	command, err := app.Parse(args)
	if err != nil {
		return err
	}
	switch command {
	case backendCommand.FullCommand():
		return runBackend(ctx, *backend)
	case callerCommand.FullCommand():
		return runCaller(ctx, *caller)
	case verifyCommand.FullCommand():
		return runVerify(*verify, os.Stdout)
	case traceCommand.FullCommand():
		return runTrace(*trace)
	}
	return nil
}
