package core

// HeaderNames holds the names of the HTTP headers exchanged between callers, nodes and backend servers. A header with an empty
// name is not used.
type HeaderNames struct {
	CallID         string // identifies the call towards its caller and the backend server
	Deadline       string // remaining time in milliseconds
	Attempts       string // attempts left for nested calls
	Depth          string // number of nested calls
	Tenant         string // tenant that a caller states; ignored where the configuration has tenants
	Session        string
	IdempotencyKey string

	Outcome  string // in answers: the core.Outcome of the call
	Cause    string // in refusals: the core.RefusalCause
	Release  string // in answers: the release that answered
	Revision string // in answers: the configuration revision by which the call was routed

	BackendTenant    string // to backend servers: the tenant whose API key the request had
	CallerService    string // to backend servers: the service whose node accepted the call
	ExpectedInstance string // to backend servers: the instance that the call is addressed to
	NotRun           string // from backend servers: the call has not been run
}

// DefaultHeaderNames returns the names of parsleyport's own HTTP interface.
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

		BackendTenant:    "Parsleyport-Tenant-Id",
		CallerService:    "Parsleyport-Caller-Service",
		ExpectedInstance: "Parsleyport-Expected-Instance",
		NotRun:           "Parsleyport-Not-Run",
	}
}
