package e2e

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"parsleyport/core"
	"parsleyport/core/catalog"
	"parsleyport/core/raft"
	"parsleyport/io/operatorhttp"
)

// members runs a command of the operators against all control instances and returns its output and whether it succeeded.
func (d *deployment) runMembersCommand(args ...string) (string, bool) {
	args = append([]string{"members"}, args...)
	for i := 1; i <= controls; i++ {
		args = append(args, "--server", d.operatorAddress(i))
	}
	command := exec.Command(programs.parsleyport, args...)
	command.Env = append(os.Environ(), "PARSLEYPORT_OPERATOR=e2e")
	output, err := command.CombinedOutput()
	return string(output), err == nil
}

// awaitMissingChange waits until the list names a change of an instance as missing.
func (d *deployment) awaitMissingChange(i int, change raft.ChangeKind) {
	d.awaitCondition(fmt.Sprintf("%s of c%d is missing", change, i), 15*time.Second, func() bool {
		members, err := d.listMembers()
		return err == nil && lo.ContainsBy(members.Missing, func(m operatorhttp.MissingChange) bool {
			return m.ID == core.ControlID(fmt.Sprintf("c%d", i)) && m.Change == change
		})
	})
}

func (d *deployment) listMembers() (operatorhttp.Members, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	return d.client().Members(ctx)
}

// wipe loses an instance with its disk.
func (d *deployment) wipe(i int) {
	d.kill(fmt.Sprintf("c%d", i))
	d.c.Assert(os.RemoveAll(d.dataFolder(i)), qt.IsNil)
}

// repair replaces an instance that has restarted without its disk.
func (d *deployment) repair(i int) {
	id := fmt.Sprintf("c%d", i)
	d.awaitMissingChange(i, raft.ChangeReplace)
	for _, change := range []string{"replace", "promote"} {
		output, succeeded := d.runMembersCommand(change, id)
		d.c.Assert(succeeded, qt.IsTrue, qt.Commentf("%s %s: %s", change, id, output))
	}
	members, err := d.listMembers()
	d.c.Assert(err, qt.IsNil)
	d.c.Assert(members.ToleratedFailures, qt.Equals, 1, qt.Commentf("%+v", members))
}

// submitRange submits versions and returns the revisions of their verdicts.
func (d *deployment) submitRange(from, to core.RecordVersion) map[core.RecordVersion]core.Revision {
	accepted := make(map[core.RecordVersion]core.Revision)
	for version := from; version <= to; version++ {
		verdict := d.submit(d.client(), serviceSubmission("kept", version))
		d.c.Assert(verdict.Result, qt.Equals, catalog.Accepted, qt.Commentf("%+v", verdict))
		accepted[version] = verdict.Revision
	}
	return accepted
}

func (d *deployment) assertRevisionsKept(accepted map[core.RecordVersion]core.Revision) {
	for version, revision := range accepted {
		verdict := d.submit(d.client(), serviceSubmission("kept", version))
		d.c.Assert(verdict.Revision, qt.Equals, revision, qt.Commentf("version %d: %+v", version, verdict))
	}
	status, err := d.status(d.client(d.leader()))
	d.c.Assert(err, qt.IsNil)
	d.c.Assert(status.Revision, qt.Equals, lo.Max(lo.Values(accepted)))
}

// Guards against accepted records that are lost when a second instance is lost right after a repair, and against a
// service that stops then because the repaired instance does not count.
func TestSecondDiskLossAfterRepair(t *testing.T) {
	d := newDeployment(qt.New(t))
	d.startControls()
	accepted := d.submitRange(1, 20)
	first := d.leader()
	others := lo.Without([]int{1, 2, 3}, first)
	d.wipe(first)
	d.startControl(first)
	d.repair(first)
	d.wipe(others[0])
	d.leader()
	d.assertRevisionsKept(accepted)
	accepted = lo.Assign(accepted, d.submitRange(21, 25))

	// After the second repair, the two instances that lost their disks hold everything without the third.
	d.startControl(others[0])
	d.repair(others[0])
	d.kill(fmt.Sprintf("c%d", others[1]))
	d.leader()
	d.assertRevisionsKept(accepted)
}

// Guards against an accepted submission without a majority when the second instance is lost before the repair of the
// first one has ended, and against a service that stays away once that instance is back with its disk.
func TestSecondInstanceLossDuringRepair(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprintf("replaced=%t", replaced), func(t *testing.T) {
			c := qt.New(t)
			d := newDeployment(c)
			d.startControls()
			accepted := d.submitRange(1, 20)
			first := d.leader()
			others := lo.Without([]int{1, 2, 3}, first)
			d.wipe(first)
			d.startControl(first)
			d.awaitMissingChange(first, raft.ChangeReplace)
			id := fmt.Sprintf("c%d", first)
			if replaced {
				output, succeeded := d.runMembersCommand("replace", id)
				c.Assert(succeeded, qt.IsTrue, qt.Commentf("%s", output))
			}
			second := lo.Without(others, d.leader())[0] // the leader is left and leads on for up to an election timeout
			d.kill(fmt.Sprintf("c%d", second))

			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second) // several election timeouts
			defer cancel()
			verdict, err := d.client().Submit(ctx, serviceSubmission("kept", 21))
			c.Assert(err, qt.IsNotNil, qt.Commentf("accepted without a majority: %+v", verdict))
			change := lo.Ternary(replaced, "promote", "replace")
			output, succeeded := d.runMembersCommand(change, id, "--timeout", "6s")
			c.Assert(succeeded, qt.IsFalse, qt.Commentf("%s", output))

			d.startControl(second)
			d.leader()
			// The change that got no answer may have been appended, so the list says what is left to do.
			d.awaitCondition("the repair has ended", 15*time.Second, func() bool {
				members, err := d.listMembers()
				c.Assert(err, qt.IsNil)
				missing, exists := lo.Find(members.Missing, func(m operatorhttp.MissingChange) bool { return string(m.ID) == id })
				if exists {
					output, succeeded := d.runMembersCommand(string(missing.Change), id)
					c.Assert(succeeded, qt.IsTrue, qt.Commentf("%s", output))
				}
				return !exists && members.ToleratedFailures == 1
			})
			accepted = lo.Assign(accepted, d.submitRange(21, 22))
			d.assertRevisionsKept(accepted)
		})
	}
}
