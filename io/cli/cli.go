package cli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
)

// Exit statuses of the program.
const (
	StatusOK      = 0
	StatusRefused = 1
	StatusUsage   = 2
	StatusUnknown = 3
)

// Run executes one command line and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("parsleyport", "Configuration distribution for a service mesh.")
	app.UsageWriter(stderr).ErrorWriter(stderr).Terminate(nil)
	version := app.Command("version", "Print the version from the build information.")

	command, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "parsleyport: %v\n", err)
		return StatusUsage
	}
	if command == version.FullCommand() {
		fmt.Fprintln(stdout, buildVersion())
	}
	return StatusOK
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return fmt.Sprintf("parsleyport %s (%s)", info.Main.Version, info.GoVersion)
}
