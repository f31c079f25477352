package cli

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"parsleyport/core/raft"
	"parsleyport/io/operatorhttp"
)

// Guards against a repair that stays incomplete because the output does not name the missing changes, and against an exit status
// that reports a refused or unanswered change as success.
func TestMembersCommands(t *testing.T) {
	f := newFixture(t)
	f.c.Assert(f.run(StatusUsage, "members", "replace", "c2"), qt.Contains, "--operator or PARSLEYPORT_OPERATOR is needed")
	f.c.Setenv(operatorVariable, "amina")
	f.replicator.leader = "c1"
	f.replicator.members = []raft.Member{
		{Peer: raft.Peer{ID: "c1", Identity: "a"}, Voter: true},
		{Peer: raft.Peer{ID: "c2", Identity: "b"}, Voter: true},
		{Peer: raft.Peer{ID: "c3", Identity: "c"}, Voter: true},
	}
	f.c.Assert(f.run(StatusRefused, "members", "replace", "c2"), qt.Contains, "no instance of that name has introduced itself")
	f.replicator.nonMembers = []raft.Peer{{ID: "c2", Identity: "new"}}
	text := f.run(StatusOK, "members")
	f.c.Assert(text, qt.Contains, "run: parsleyport members replace c2")
	f.c.Assert(text, qt.Contains, "tolerated failures: 1")

	text = f.run(StatusOK, "members", "replace", "c2")
	f.c.Assert(text, qt.Contains, "run: parsleyport members promote c2")
	f.c.Assert(text, qt.Contains, "tolerated failures: 0")
	var members operatorhttp.Members
	f.c.Assert(json.Unmarshal([]byte(f.run(StatusOK, "members", "promote", "--output", "json", "c2")), &members), qt.IsNil)
	f.c.Assert(members.Members[1], qt.DeepEquals, raft.Member{Peer: raft.Peer{ID: "c2", Identity: "new"}, Voter: true})
	f.c.Assert(members.Missing, qt.HasLen, 0)

	f.c.Assert(f.run(StatusRefused, "members", "remove", "c9"), qt.Contains, "not a member")
	f.run(StatusUsage, "members", "promote")
	f.replicator.leader = "c3"
	f.c.Assert(f.run(StatusUnknown, "members", "promote", "--timeout", "100ms", "c2"), qt.Contains, "c1 is not the leader; the leader is c3")
}
