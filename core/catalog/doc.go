// Package catalog is the replicated state machine of the control instances. It holds the configuration records with their
// revision, the verdicts of submissions, the moves and the audit trail. It is deterministic and reads no clock: the proposer
// puts the time, the result of checking each record by itself and the schema floor of all attached nodes into the command.
package catalog
