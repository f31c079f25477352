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

// runMembersCommand runs "parsleyport members" with the arguments and the addresses of all control instances, and returns its
// output and whether it succeeded.
func (d *deployment) runMembersCommand(args ...string) (string, bool) {
	args = append([]string{"members"}, args...)
	for i := 1; i <= controlCount; i++ {
		args = append(args, "--server", d.operatorAddress(i))
	}
	command := exec.Command(programs.parsleyport, args...)
	command.Env = append(os.Environ(), "PARSLEYPORT_OPERATOR=e2e")
	output, err := command.CombinedOutput()
	return string(output), err == nil
}

// awaitMissingChange waits until the list of members names the given change of an instance as missing.
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

// wipe kills a control instance and deletes its data folder.
func (d *deployment) wipe(i int) {
	d.kill(fmt.Sprintf("c%d", i))
	d.c.Assert(os.RemoveAll(d.dataFolder(i)), qt.IsNil)
}

// repair waits until a control instance that was restarted without its disk is listed as missing a replacement, and makes it a
// voter again.
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

// submitRange submits the versions of one record and returns the revisions at which they were accepted.
func (d *deployment) submitRange(from, to core.RecordVersion) map[core.RecordVersion]core.Revision {
	accepted := make(map[core.RecordVersion]core.Revision)
	for version := from; version <= to; version++ {
		verdict := d.submit(d.client(), serviceSubmission("kept", version))
		d.c.Assert(verdict.Result, qt.Equals, catalog.Accepted, qt.Commentf("%+v", verdict))
		accepted[version] = verdict.Revision
	}
	return accepted
}

// assertRevisionsKept checks that the accepted versions still have their revisions and that no later revision exists.
func (d *deployment) assertRevisionsKept(accepted map[core.RecordVersion]core.Revision) {
	for version, revision := range accepted {
		verdict := d.submit(d.client(), serviceSubmission("kept", version))
		d.c.Assert(verdict.Revision, qt.Equals, revision, qt.Commentf("version %d: %+v", version, verdict))
	}
	status, err := d.status(d.client(d.leader()))
	d.c.Assert(err, qt.IsNil)
	d.c.Assert(status.Revision, qt.Equals, lo.Max(lo.Values(accepted)))
}

// Guards against accepted records that are lost when a second instance loses its disk right after the repair of the first one,
// and against a deployment that then has no quorum because the repaired instance is not counted.
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

	// After the second repair, the two instances that lost their disks hold all records without the third one.
	d.startControl(others[0])
	d.repair(others[0])
	d.kill(fmt.Sprintf("c%d", others[1]))
	d.leader()
	d.assertRevisionsKept(accepted)
}

// Guards against a submission that is accepted without a majority when a second instance fails before the repair of the first
// one has ended, and against a deployment that does not recover when the second instance comes back with its disk.
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
			second := lo.Without(others, d.leader())[0] // not the leader, which keeps its role for up to an election timeout
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
			// A change that failed with a timeout may still have been appended to the log, so follow the list of missing changes.
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
