package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"parsleyport/core/raft"
	"parsleyport/io/control"
	"parsleyport/io/loglimit"
	nodeprocess "parsleyport/io/node"
	"parsleyport/io/operatorhttp"
	"parsleyport/io/settings"
)

// Exit statuses of the program.
const (
	StatusOK      = 0
	StatusRefused = 1 // refused by a control instance, or a process, trace or look-up failed
	StatusUsage   = 2 // invalid options, settings or files
	StatusUnknown = 3 // no control instance was reached, or the outcome is unknown
	StatusLimited = 4 // still rate-limited at the end of --timeout; nothing was changed
)

// Functions that run a process until the context is cancelled and everything is stopped. They are variables so that tests can
// replace them.
var (
	runControl = control.Run
	runNode    = nodeprocess.Run
)

// program holds the outputs of one run of the command line.
type program struct {
	stdout io.Writer
	stderr io.Writer
}

// Run executes one command line and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	p := &program{
		stdout: stdout,
		stderr: stderr,
	}
	o, err := parseOptions(args, time.Now(), stdout)
	if errors.Is(err, errHelpPrinted) {
		return StatusOK
	}
	if err != nil {
		return p.fail(StatusUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	switch o.command {
	case commandVersion:
		info, known := debug.ReadBuildInfo()
		if !known {
			return p.fail(StatusRefused, errors.New("the program has no build information"))
		}
		fmt.Fprintln(stdout, describeBuild(info))
		return StatusOK
	case commandCheck:
		return p.check(o)
	case commandExplain:
		return p.explain(o)
	case commandRoute:
		return p.route(ctx, o)
	case commandReplay:
		return p.replay(o)
	case commandControl:
		return p.control(ctx, o)
	case commandNode:
		return p.node(ctx, o)
	}
	return p.operator(ctx, o)
}

func (p *program) operator(ctx context.Context, o options) int {
	client := operatorhttp.NewClient(operatorhttp.ClientOptions{
		Servers: o.servers,
		Token:   o.token,
	})
	defer client.Close()
	switch o.command {
	case commandApply:
		return p.apply(ctx, o, client)
	case commandMove:
		return p.move(ctx, o, client)
	case commandMoves:
		return p.moves(ctx, o, client)
	case commandAbort:
		return p.abort(ctx, o, client)
	case commandStatus:
		return p.status(ctx, o, client)
	case commandAudit:
		return p.audit(ctx, o, client)
	case commandRecords:
		return p.records(ctx, o, client)
	case commandMembersList:
		return p.members(ctx, o, client)
	case commandMembersReplace:
		return p.changeMembers(ctx, o, client, raft.ChangeReplace)
	case commandMembersAdd:
		return p.changeMembers(ctx, o, client, raft.ChangeAdd)
	case commandMembersPromote:
		return p.changeMembers(ctx, o, client, raft.ChangePromote)
	case commandMembersRemove:
		return p.changeMembers(ctx, o, client, raft.ChangeRemove)
	}
	return p.fail(StatusUsage, errors.Errorf("command %q does not exist", o.command))
}

func (p *program) control(ctx context.Context, o options) int {
	loaded, err := settings.LoadControl(o.settings)
	if err != nil {
		return p.fail(StatusUsage, err)
	}
	if err := runControl(ctx, loaded, p.logger(loaded.LogLevel)); err != nil {
		return p.fail(StatusRefused, err)
	}
	return StatusOK
}

func (p *program) node(ctx context.Context, o options) int {
	loaded, err := settings.LoadNode(o.settings)
	if err != nil {
		return p.fail(StatusUsage, err)
	}
	if err := runNode(ctx, loaded, p.logger(loaded.LogLevel)); err != nil {
		return p.fail(StatusRefused, err)
	}
	return StatusOK
}

func (p *program) logger(level zerolog.Level) zerolog.Logger {
	return loglimit.WithTime(zerolog.New(p.stderr).Level(level))
}

func (p *program) fail(status int, err error) int {
	fmt.Fprintf(p.stderr, "parsleyport: %v\n", err)
	return status
}

func (p *program) printJSON(value any) {
	encoder := json.NewEncoder(p.stdout)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value) // a failure to write to standard output cannot be reported
}

// describeBuild returns the module version, or the source revision if the program was built from a working copy.
func describeBuild(info *debug.BuildInfo) string {
	setting := func(key string) string {
		found, _ := lo.Find(info.Settings, func(s debug.BuildSetting) bool { return s.Key == key })
		return found.Value
	}
	version := info.Main.Version
	if revision := setting("vcs.revision"); (version == "" || version == "(devel)") && revision != "" {
		version = fmt.Sprintf("revision %s of %s", revision, setting("vcs.time"))
		if setting("vcs.modified") == "true" {
			version += ", changed"
		}
	}
	if version == "" || version == "(devel)" {
		version = "without version or revision"
	}
	return fmt.Sprintf("parsleyport %s (%s)", version, info.GoVersion)
}
