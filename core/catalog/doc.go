// Package catalog is the replicated state machine of the control instances: records with their revision, the verdicts of
// submissions, moves and the audit trail. It is deterministic: it reads no clock, and the proposer puts the time, the
// checks of single records and the schema floor of the fleet into the command.
package catalog
