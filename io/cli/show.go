package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"parsleyport/core/catalog"
	"parsleyport/core/record"
	"parsleyport/io/operatorhttp"
)

func (p *program) status(ctx context.Context, o options, client *operatorhttp.Client) int {
	query := client.Status
	if o.listNodes {
		query = client.StatusWithNodes
	}
	status, err := request(ctx, o, query)
	if err != nil {
		return p.failRequest(err)
	}
	if o.json {
		p.printJSON(status)
		return StatusOK
	}
	p.printStatus(status)
	if o.listNodes {
		p.printNodes(status.Nodes)
	}
	return StatusOK
}

func (p *program) printStatus(status operatorhttp.Status) {
	fmt.Fprintf(p.stdout, "current:          %t\n", status.Current)
	if len(status.Tenants) > 0 {
		fmt.Fprintf(p.stdout, "limited to:       %v\n", status.Tenants)
		fmt.Fprintf(p.stdout, "accepted:         revision %d\n", status.Revision)
		fmt.Fprintf(p.stdout, "in force:         revision %d or later on all nodes\n", status.Fleet.LowestInForce)
	} else {
		fmt.Fprintf(p.stdout, "accepted:         revision %d, hash %s\n", status.Revision, status.Hash)
		fmt.Fprintf(p.stdout, "in force:         revision %d or later on %d nodes\n", status.Fleet.LowestInForce, status.Fleet.Nodes)
	}
	fmt.Fprintf(p.stdout, "schema floor:     %d\n", status.Fleet.SchemaFloor)
	fmt.Fprintf(p.stdout, "open moves:       %v\n", status.OpenMoves)
	if len(status.Tenants) == 0 {
		fmt.Fprintf(p.stdout, "control instance: %s, %s, term %d, leader %q\n", status.Replica.Self, status.Replica.Role, status.Replica.Term, status.Replica.Leader)
		fmt.Fprintf(p.stdout, "rules:            version %d\n", status.Rules)
		fmt.Fprintf(p.stdout, "members:          %v, learners %v\n", status.Replica.Voters, status.Replica.Learners)
	}
	services := lo.Keys(status.Fleet.Endpoints)
	slices.Sort(services)
	for _, service := range services {
		fmt.Fprintf(p.stdout, "endpoints:        %s %d\n", service, status.Fleet.Endpoints[service])
	}
}

func (p *program) audit(ctx context.Context, o options, client *operatorhttp.Client) int {
	page, err := client.AuditPages(o.auditFilter(), func(filter catalog.AuditFilter) (catalog.AuditPage, error) {
		return request(ctx, o, func(ctx context.Context) (catalog.AuditPage, error) { return client.AuditPage(ctx, filter) })
	})
	if err != nil {
		return p.failRequest(err)
	}
	if page.Next > 0 {
		fmt.Fprintf(p.stderr, "There are older entries; to see them, run the same command with --before %d.\n", page.Next)
	}
	if o.json {
		p.printJSON(page.Entries)
		return StatusOK
	}
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tOPERATOR\tTOKEN\tACTION\tRESULT\tREVISION\tMOVE\tSUBMISSION\tWHAT")
	for _, e := range page.Entries {
		result := string(e.Result)
		if e.Cause != "" {
			result += " (" + string(e.Cause) + ")"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", e.At.Format(time.RFC3339), e.Operator, e.Token, e.Action, result, e.Revision,
			e.Move, e.Submission, strings.Join(e.Changes, "; "))
	}
	_ = table.Flush() // a failure to write to standard output cannot be reported
	return StatusOK
}

func (p *program) printNodes(nodes []operatorhttp.NodeStatus) {
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tDATA CENTRE\tIN FORCE\tSCHEMA\tLAST REPORT")
	for _, n := range nodes {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\n", n.Node, n.DataCentre, n.Revision, n.Schema, n.LastReport.Format(time.RFC3339))
	}
	_ = table.Flush() // a failure to write to standard output cannot be reported
}

func (p *program) records(ctx context.Context, o options, client *operatorhttp.Client) int {
	records, err := request(ctx, o, func(ctx context.Context) (operatorhttp.Records, error) { return client.Records(ctx, o.recordFilter) })
	if err != nil {
		return p.failRequest(err)
	}
	if o.json && o.recordFilter == (operatorhttp.RecordFilter{}) { // the whole configuration, as it was submitted
		p.printJSON(records)
		return StatusOK
	}
	records.Records = record.Redact(records.Records)
	if o.json {
		p.printJSON(records)
		return StatusOK
	}
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KIND\tNAME\tSCHEMA\tVERSION\tBODY")
	for _, r := range records.Records {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\n", r.Kind, r.Name, r.SchemaVersion, r.Version, r.Body)
	}
	_ = table.Flush() // a failure to write to standard output cannot be reported
	fmt.Fprintf(p.stdout, "revision: %d\n", records.Revision)
	return StatusOK
}
