package outside

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// Main runs the stand-in that the command line selects and returns the exit status: 0, or 1 after printing an error.
func Main(args []string, protocol Protocol) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, args, protocol); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", protocol.Name, err)
		return 1
	}
	return 0
}

func run(ctx context.Context, args []string, protocol Protocol) error {
	app := kingpin.New(protocol.Name, "Stand-ins for the systems around parsleyport.")
	backendCommand, backend := backendFlags(app)
	callerCommand, caller := callerFlags(app)
	verifyCommand, verify := verifyFlags(app)
	traceCommand, trace := traceFlags(app)
	var extraCommands map[string]func(context.Context) error
	if protocol.ExtraCommands != nil {
		extraCommands = protocol.ExtraCommands(app)
	}
	command, err := app.Parse(args)
	if err != nil {
		return err
	}
	switch command {
	case backendCommand.FullCommand():
		return runBackend(ctx, *backend, protocol)
	case callerCommand.FullCommand():
		return runCaller(ctx, *caller, protocol)
	case verifyCommand.FullCommand():
		return runVerify(*verify, os.Stdout)
	case traceCommand.FullCommand():
		return runTrace(*trace)
	}
	return extraCommands[command](ctx)
}
