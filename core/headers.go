package core

// HeaderNames are the names of the HTTP headers between callers, nodes and backend servers. A header without a name is not
// used.
type HeaderNames struct {
	CallID         string // identifies the call to its caller and to the backend server
	Deadline       string // remaining time in milliseconds
	Attempts       string // attempts that are left to the calls below
	Depth          string // number of nested calls
	Tenant         string
	Session        string
	IdempotencyKey string

	Outcome  string // of an answer: what is known about the call
	Cause    string // of a refusal
	Release  string // of an answer: the release that gave it
	Revision string // of an answer: the configuration by which the call was routed

	CallerService    string // to the backend server: the service beside whose node the call began
	ExpectedInstance string // to the backend server: the instance for which the call is meant
	NotRun           string // of a backend server's answer: it has not run the call
}

// DefaultHeaderNames returns the names of parsleyport's own interface.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		CallID:         "Parsleyport-Call-Id",
		Deadline:       "Parsleyport-Deadline-Ms",
		Attempts:       "Parsleyport-Attempts",
		Depth:          "Parsleyport-Depth",
		Tenant:         "Parsleyport-Tenant",
		Session:        "Parsleyport-Session",
		IdempotencyKey: "Idempotency-Key",

		Outcome:  "Parsleyport-Outcome",
		Cause:    "Parsleyport-Cause",
		Release:  "Parsleyport-Release",
		Revision: "Parsleyport-Revision",

		CallerService:    "Parsleyport-Caller-Service",
		ExpectedInstance: "Parsleyport-Expected-Instance",
		NotRun:           "Parsleyport-Not-Run",
	}
}
