package commander

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"papayaseam/internal/messenger"
	"papayaseam/internal/transporter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const tablePadding = 2

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
}

func statusCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show groups, processes, load, and who lacks the newest configuration",
		Description: "Example: papayaseam status --control 127.0.0.1:7101 --output json",
		Flags:       []cli.Flag{controlFlag(), outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			var report messenger.StatusReport
			err := anyControl(ctx, c, func(ctx context.Context, base string) error {
				return transporter.NewOperatorClient().Get(ctx, base+"/v1/status", &report)
			})
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return writeJSON(stdout, report)
			}
			return WriteStatus(stdout, report)
		},
	}
}

// WriteStatus writes a status report as text.
func WriteStatus(stdout io.Writer, report messenger.StatusReport) error {
	_, _ = fmt.Fprintf(stdout, "control: leader %s, term %d, configuration %d, voters %s\n", report.Leader, report.Term, report.Index, strings.Join(report.Voters, " "))
	_, _ = fmt.Fprintf(stdout, "accelerators: %d free, %d stranded\n", report.FreeAccelerators, report.StrandedAccelerators)
	if len(report.Holds) > 0 {
		_, _ = fmt.Fprintf(stdout, "held or suspected requests: %s\n", strings.Join(report.Holds, " "))
	}
	w := newTable(stdout)
	_, _ = fmt.Fprintln(w, "\nGROUP\tEPOCH\tSTATE\tRUNNING\tQUEUED\tPARALLEL\tPLACE\tMEMBERS\tSTANDBYS")
	for _, group := range report.Groups {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\t%s/%s\t%s\t%s\n", group.Name, group.Epoch, stateOf(group), group.Running, group.Queued,
			group.Parallel, group.FailureDomain, group.FabricDomain, strings.Join(group.Members, " "), strings.Join(group.Standbys, " "))
	}
	_, _ = fmt.Fprintln(w, "\nPROCESS\tROLE\tDOMAIN\tHEARD\tCONFIGURATION\tGROUP\tENDPOINT\tLEAVING")
	for _, p := range report.Processes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d ms\t%s\t%s\t%s\t%t\n", p.Instance, p.Role, p.FailureDomain, p.AgeMs, behind(p), p.Group, upOf(p), p.Leaving)
	}
	return w.Flush()
}

func stateOf(group messenger.GroupState) string {
	switch {
	case group.Ready:
		return "serving"
	case group.Active:
		return "incomplete"
	}
	return "retired"
}

func behind(p messenger.ProcessState) string {
	if p.Behind {
		return fmt.Sprintf("%d (behind)", p.Applied)
	}
	return fmt.Sprint(p.Applied)
}

func upOf(p messenger.ProcessState) string {
	switch {
	case p.Role != "side":
		return "-"
	case p.EndpointUp:
		return "up"
	}
	return "down"
}

func instanceCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "instance", Usage: "prepare an instance for a planned stop",
		Commands: []*cli.Command{{
			Name: "retire", Usage: "replace an instance in its group before it is stopped", ArgsUsage: "SIDE-ADDRESS",
			Description: "Example: papayaseam instance retire 10.0.0.7:7001\n\nWatch 'papayaseam status' until the instance holds no group, then stop its processes.",
			Action: func(ctx context.Context, c *cli.Command) error {
				if c.NArg() != 1 {
					return errors.Wrap(ErrUsage, "name the side process's address")
				}
				var state messenger.ProcessState
				err := transporter.NewOperatorClient().Call(ctx, "http://"+c.Args().First()+"/v1/retire", struct{}{}, &state)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintf(stdout, "%s is to be replaced in group %q\n", state.Instance, state.Group)
				return err
			},
		}},
	}
}
