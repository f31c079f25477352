package cli

import (
	"crypto/rand"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/io/operatorhttp"
)

// Environment variables with the defaults of options.
const (
	serversVariable  = "PARSLEYPORT_SERVERS"
	operatorVariable = "PARSLEYPORT_OPERATOR"
)

const (
	defaultTimeout  = 30 * time.Second
	maxAuditEntries = 10_000
)

// Names of the commands.
const (
	commandControl = "control"
	commandNode    = "node"
	commandApply   = "apply"
	commandMove    = "move"
	commandMoves   = "moves"
	commandAbort   = "abort"
	commandStatus  = "status"
	commandAudit   = "audit"
	commandRecords = "records"
	commandCheck   = "check"
	commandReplay  = "replay"
	commandExplain = "explain"
	commandRoute   = "route"
	commandVersion = "version"

	commandMembers        = "members"
	commandMembersList    = "members list"
	commandMembersReplace = "members replace"
	commandMembersAdd     = "members add"
	commandMembersPromote = "members promote"
	commandMembersRemove  = "members remove"
)

var recordKinds = []string{string(core.KindService), string(core.KindUpstream), string(core.KindPolicy), string(core.KindRoute), string(core.KindTenant)}

const derivedIDHelp = "derived from the content"

// options holds the checked options and arguments of all commands.
type options struct {
	command          string
	settings         string
	files            []string
	callID           string
	servers          []string
	tokenFile        string
	token            string
	timeout          time.Duration // how long one request is retried until it is answered
	json             bool
	operator         core.Operator
	defaultOperator  core.Operator // used if neither an option nor the file names an operator
	submissionID     core.SubmissionID
	service          core.ServiceName
	from             core.UpstreamName
	to               core.UpstreamName
	deadline         time.Time
	relativeDeadline bool // --by is a duration from now, so that a second run has another deadline
	maxRiskShare     core.PerMille
	moveID           core.MoveID
	memberID         core.ControlID
	wait             bool
	since            time.Time
	auditLimit       int
	beforeEntry      uint64
	listNodes        bool
	recordFilter     operatorhttp.RecordFilter
	fileKind         string
	complete         bool
	node             string // admin address
	method           string
	host             string
	path             string
	bodyBytes        uint32
}

// rawOptions also holds the values that need more checks than kingpin's.
type rawOptions struct {
	options
	output          string
	byText          string
	sinceText       string
	maxRiskPerMille uint32
}

// errHelpPrinted means that kingpin has printed help or a completion script.
const errHelpPrinted = errors.ConstError("help was printed")

// parseOptions returns checked options, errHelpPrinted, or an error that describes the first invalid option. A duration in --by
// counts from now.
func parseOptions(args []string, now time.Time, usage io.Writer) (options, error) {
	if len(args) == 0 {
		return options{}, errors.New("a command is needed; parsleyport --help lists them")
	}
	app := kingpin.New("parsleyport", "Configuration distribution for a service mesh.\n\nExit status: 0 success, 1 refused or failed, 2 wrong usage or settings, 3 unreachable or outcome unknown, 4 above a rate limit until the deadline.")
	app.UsageWriter(usage).Terminate(func(int) { panic(errHelpPrinted) }) // if Terminate returned, kingpin would print the usage again
	app.HelpFlag.Short('h')
	var r rawOptions
	addProcessCommands(app, &r)
	addSubmissionCommands(app, &r)
	addReadCommands(app, &r)
	addMemberCommands(app, &r)
	addOfflineCommands(app, &r)
	command, err := parse(app, args)
	if err != nil {
		return options{}, err
	}
	r.command = command
	return r.check(now)
}

// parse parses the command line. It returns errHelpPrinted if kingpin has printed help or a completion script.
func parse(app *kingpin.Application, args []string) (command string, err error) {
	defer func() {
		switch cause := recover(); cause {
		case nil:
		case errHelpPrinted:
			err = errHelpPrinted
		default:
			panic(cause)
		}
	}()
	return app.Parse(args)
}

// addProcessCommands omits the commands of processes that this program cannot run.
func addProcessCommands(app *kingpin.Application, r *rawOptions) {
	if runControl != nil {
		control := app.Command(commandControl, "Run a control instance.\n\nExample: parsleyport control --settings c1.jsonc")
		control.Flag("settings", "Settings file, JSON with comments.").Required().StringVar(&r.settings)
	}
	if runNode != nil {
		node := app.Command(commandNode, "Run a node beside a backend server.\n\nExample: parsleyport node --settings n1.jsonc")
		node.Flag("settings", "Settings file, JSON with comments.").Required().StringVar(&r.settings)
	}
}

func addSubmissionCommands(app *kingpin.Application, r *rawOptions) {
	apply := app.Command(commandApply, "Submit record files, each as one submission, up to the first that is refused.\n\nExample: parsleyport apply --server 127.0.0.1:7101 orders.jsonc")
	apply.Arg("file", "Record file, JSON with comments.").Required().StringsVar(&r.files)
	addOperatorFlags(apply, r, derivedIDHelp)

	move := app.Command(commandMove, "Move a service's traffic from one upstream to another.\n\nExample: parsleyport move --server 127.0.0.1:7101 --operator amina --service orders --from orders-v1 --to orders-v2 --by 10m")
	move.Flag("service", "Service whose traffic moves.").Required().StringVar((*string)(&r.service))
	move.Flag("from", "Upstream that has the traffic.").Required().StringVar((*string)(&r.from))
	move.Flag("to", "Upstream that gets the traffic.").Required().StringVar((*string)(&r.to))
	move.Flag("by", "Time by which all traffic must have moved: 2026-12-04T10:00:00Z, or 10m for a duration from now.").Required().StringVar(&r.byText)
	move.Flag("max-risk", "Largest share of traffic at risk before the evidence suffices, per mille; 0 for the default of 15.").Uint32Var(&r.maxRiskPerMille)
	move.Flag("wait", "Wait until the move has ended; exit status 1 unless it is done.").BoolVar(&r.wait)
	addOperatorFlags(move, r, derivedIDHelp)

	abort := app.Command(commandAbort, "Take an open move back.\n\nExample: parsleyport abort --server 127.0.0.1:7101 --operator amina m3")
	abort.Arg("move-id", "Move to take back.").Required().StringVar((*string)(&r.moveID))
	addOperatorFlags(abort, r, derivedIDHelp)

	for _, command := range []*kingpin.CmdClause{apply, move, abort} {
		addServerFlags(command, r)
	}
}

func addReadCommands(app *kingpin.Application, r *rawOptions) {
	moves := app.Command(commandMoves, "List moves.\n\nExample: parsleyport moves --server 127.0.0.1:7101 --wait m3")
	moves.Arg("move-id", "Only this move.").StringVar((*string)(&r.moveID))
	moves.Flag("wait", "Wait until the open moves have ended; exit status 1 unless all of them are done.").BoolVar(&r.wait)

	status := app.Command(commandStatus, "Show accepted and in-force revisions, nodes and control instances.\n\nExample: parsleyport status --server 127.0.0.1:7101 --output json")
	status.Flag("nodes", "List each node with its latest report.").BoolVar(&r.listNodes)

	records := app.Command(commandRecords, "Show the accepted records. API keys of tenants are shown only in all records as JSON.\n\nExample: parsleyport records --server 127.0.0.1:7101 --service orders --kind policy")
	records.Arg("name", "Only records of this name.").StringVar(&r.recordFilter.Name)
	records.Flag("kind", "Only records of this kind: service, upstream, policy, route or tenant.").EnumVar((*string)(&r.recordFilter.Kind), recordKinds...)
	records.Flag("service", "Only this service and the records that belong to it.").StringVar((*string)(&r.recordFilter.Service))

	audit := app.Command(commandAudit, "Show the latest entries of the audit trail.\n\nExample: parsleyport audit --server 127.0.0.1:7101 --operator amina --limit 20")
	audit.Flag("operator", "Only this operator's entries.").StringVar((*string)(&r.operator))
	audit.Flag("submission-id", "Only entries of this submission.").StringVar((*string)(&r.submissionID))
	audit.Flag("move", "Only entries of this move.").StringVar((*string)(&r.moveID))
	audit.Flag("since", "Only entries from this time on, such as 2026-12-04T10:00:00Z.").StringVar(&r.sinceText)
	audit.Flag("limit", "Number of entries, from 1 to 10000.").Default("100").IntVar(&r.auditLimit)
	audit.Flag("before", "Only entries before this number, as printed by a command that reached its limit.").Uint64Var(&r.beforeEntry)

	route := app.Command(commandRoute, "Show where a node would send a request now, and why. Nothing is sent.\n\nExample: parsleyport route --node 127.0.0.1:7205 --host orders.example /v1/orders")
	route.Flag("node", "Admin address of the node that the request enters.").Required().StringVar(&r.node)
	route.Flag("method", "Method of the request.").Default("GET").StringVar(&r.method)
	route.Flag("host", "Host of the request.").StringVar(&r.host)
	route.Flag("body-bytes", "Size of the request's body.").Uint32Var(&r.bodyBytes)
	route.Arg("path", "Path of the request, with or without a query.").Required().StringVar(&r.path)
	addOutputFlag(route, r)

	for _, command := range []*kingpin.CmdClause{moves, status, records, audit} {
		addServerFlags(command, r)
	}
}

func addMemberCommands(app *kingpin.Application, r *rawOptions) {
	members := app.Command(commandMembers, "List the control instances, or change which of them are members.\n\nAfter the loss of a disk: members replace ID makes the instance with the new disk a learner and takes the vote from the old identity; members promote ID gives the learner its vote once it has caught up. Until then, one instance fewer may fail.")
	addServerFlags(members, r)
	members.Command("list", "List voters, learners, and instances that have introduced themselves without being members; say which changes are missing. The default.\n\nExample: parsleyport members --server 127.0.0.1:7101").Default()
	for _, subcommand := range []struct{ name, help string }{
		{"replace", "Replace a member that lost its disk by the instance of the same name that has introduced itself."},
		{"add", "Make an instance that has introduced itself a learner; it must be in the settings of the leader."},
		{"promote", "Give a learner a vote once it has caught up with the leader."},
		{"remove", "Remove a voter or a learner."},
	} {
		change := members.Command(subcommand.name, subcommand.help+"\n\nExample: parsleyport members "+subcommand.name+" --server 127.0.0.1:7101 c2")
		addOperatorFlags(change, r, "new for each run")
		change.Arg("id", "Control instance as in the settings.").Required().StringVar((*string)(&r.memberID))
	}
}

func addOfflineCommands(app *kingpin.Application, r *rawOptions) {
	replay := app.Command(commandReplay, "Replay recorded traces: moves (*.trace) through the decision rules, calls (*.calls) through the balancing policies, load patterns (*.pattern) through the rules for overload.\n\nExample: parsleyport replay core/replay/testdata/good-calm-pamoja-101.trace")
	replay.Arg("file", "Trace file.").Required().StringsVar(&r.files)

	check := app.Command(commandCheck, "Check settings and record files without a control instance.\n\nExample: parsleyport check c1.jsonc n1.jsonc orders.jsonc")
	check.Arg("file", "Settings or record file, JSON with comments.").Required().StringsVar(&r.files)
	check.Flag("as", "Kind of the files; auto detects it from their keys.").Default(kindAuto).EnumVar(&r.fileKind, kindAuto, kindControl, kindNode, kindRecords)
	check.Flag("complete", "The record files together hold all records: also check the references between them.").BoolVar(&r.complete)
	addOutputFlag(check, r)

	explain := app.Command(commandExplain, "Show the log lines of a call from several processes, and the cause of its outcome. The exit status is 1 if no line names the call.\n\nExample: parsleyport explain b64a36d3cf29b8f6 node.log node-2.log")
	explain.Arg("id", "Id of the call, as in the header of its answer.").Required().StringVar(&r.callID)
	explain.Arg("log", "Log of a process, one JSON object a line.").Required().ExistingFilesVar(&r.files)
	addOutputFlag(explain, r)

	app.Command(commandVersion, "Print the version from the build information.\n\nExample: parsleyport version")
}

// addOperatorFlags adds --operator and --submission-id; defaultID describes the submission id that is used if none is given.
func addOperatorFlags(command *kingpin.CmdClause, r *rawOptions, defaultID string) {
	command.Flag("operator", "Operator who submits. By default the one that the record file names, or that of "+operatorVariable+" in the environment.").StringVar((*string)(&r.operator))
	command.Flag("submission-id", "Id by which a resend is recognised; "+defaultID+" if none is given.").StringVar((*string)(&r.submissionID))
}

func addServerFlags(command *kingpin.CmdClause, r *rawOptions) {
	command.Flag("server", "Operator address of a control instance; may be repeated. By default the addresses in "+serversVariable+", separated by commas.").StringsVar(&r.servers)
	command.Flag("token-file", "File with the operators' token.").StringVar(&r.tokenFile)
	command.Flag("timeout", "How long a request is retried until it is answered.").Default(defaultTimeout.String()).DurationVar(&r.timeout)
	addOutputFlag(command, r)
}

func addOutputFlag(command *kingpin.CmdClause, r *rawOptions) {
	command.Flag("output", "Output format: text or json.").Default("text").EnumVar(&r.output, "text", "json")
}

func (r rawOptions) check(now time.Time) (options, error) {
	o := r.options
	o.json = r.output == "json"
	switch o.command {
	case commandApply:
		o.defaultOperator = core.Operator(os.Getenv(operatorVariable))
	case commandMove, commandAbort, commandMembersReplace, commandMembersAdd, commandMembersPromote, commandMembersRemove:
		if o.operator == "" {
			o.operator = core.Operator(os.Getenv(operatorVariable))
		}
	case commandMoves, commandStatus, commandAudit, commandRecords:
	case commandMembersList:
	default:
		return o, nil
	}
	for _, check := range []func(*options, time.Time) error{r.checkServers, r.checkSubmitter, r.checkMove, r.checkAudit} {
		if err := check(&o, now); err != nil {
			return options{}, err
		}
	}
	return o, nil
}

func (r rawOptions) checkServers(o *options, _ time.Time) error {
	if len(o.servers) == 0 {
		o.servers = strings.FieldsFunc(os.Getenv(serversVariable), func(c rune) bool { return c == ',' || c == ' ' || c == '\n' })
	}
	if len(o.servers) == 0 {
		return errors.Errorf("--server or %s is needed", serversVariable)
	}
	for _, server := range o.servers {
		if _, err := netip.ParseAddrPort(server); err != nil {
			return errors.Errorf("server is %q, expected an IP address and port such as 127.0.0.1:7101", server)
		}
	}
	if o.timeout <= 0 {
		return errors.Errorf("--timeout is %s, expected more than 0", o.timeout)
	}
	token, err := operatorhttp.ReadToken(o.tokenFile)
	o.token = token
	return err
}

func (r rawOptions) checkSubmitter(o *options, _ time.Time) error {
	switch o.command {
	case commandMove, commandAbort, commandMembersReplace, commandMembersAdd, commandMembersPromote, commandMembersRemove:
		if o.operator == "" {
			return errors.Errorf("--operator or %s is needed", operatorVariable)
		}
		if o.submissionID == "" && strings.HasPrefix(o.command, commandMembers) {
			// The same change may be requested again later, so its id cannot be derived from its content.
			o.submissionID = core.SubmissionID("members-" + strings.ToLower(rand.Text()))
		}
	case commandApply:
		if o.submissionID != "" && len(o.files) > 1 {
			return errors.Errorf("--submission-id fits one file, but %d are given", len(o.files))
		}
	}
	return nil
}

func (r rawOptions) checkMove(o *options, now time.Time) error {
	if o.command != commandMove {
		return nil
	}
	if r.maxRiskPerMille > uint32(core.FullShare) {
		return errors.Errorf("--max-risk is %d, expected 0 to %d per mille", r.maxRiskPerMille, core.FullShare)
	}
	o.maxRiskShare = core.PerMille(r.maxRiskPerMille)
	if duration, err := time.ParseDuration(r.byText); err == nil {
		o.deadline, o.relativeDeadline = now.Add(duration).Truncate(time.Millisecond), true
	} else if o.deadline, err = time.Parse(time.RFC3339, r.byText); err != nil {
		return errors.Errorf("--by is %q, expected a time such as 2026-12-04T10:00:00Z or a duration such as 10m", r.byText)
	}
	if !o.deadline.After(now) {
		return errors.Errorf("--by is %q, expected a time in the future", r.byText)
	}
	return nil
}

func (r rawOptions) checkAudit(o *options, _ time.Time) error {
	if o.command != commandAudit {
		return nil
	}
	if o.auditLimit < 1 || o.auditLimit > maxAuditEntries {
		return errors.Errorf("--limit is %d, expected 1 to %d", o.auditLimit, maxAuditEntries)
	}
	if r.sinceText == "" {
		return nil
	}
	since, err := time.Parse(time.RFC3339, r.sinceText)
	if err != nil {
		return errors.Errorf("--since is %q, expected a time such as 2026-12-04T10:00:00Z", r.sinceText)
	}
	o.since = since
	return nil
}

func (o options) auditFilter() catalog.AuditFilter {
	return catalog.AuditFilter{
		Operator:   o.operator,
		Submission: o.submissionID,
		Move:       o.moveID,
		Since:      o.since,
		Limit:      o.auditLimit,
		Before:     o.beforeEntry,
	}
}
