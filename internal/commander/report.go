package commander

import (
	"context"
	"io"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/reporter"
	"papayaseam/internal/transporter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func reportCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "report on what the system does",
		Commands: []*cli.Command{{
			Name: "burn", Usage: "report the burn of the declared objectives, the worst first",
			Description: "Example: papayaseam report burn --format html > burn.html",
			Flags:       []cli.Flag{controlFlag(), &cli.StringFlag{Name: "format", Aliases: []string{"f"}, Value: "text", Usage: "text, json or html"}},
			Action:      func(ctx context.Context, c *cli.Command) error { return reportBurn(ctx, c, stdout) },
		}},
	}
}

// reportBurn gathers the counts of all entries and control processes.
func reportBurn(ctx context.Context, c *cli.Command, stdout io.Writer) error {
	write, ok := map[string]func(io.Writer, reporter.Report) error{
		"text": reporter.WriteText, "json": reporter.WriteJSON, "html": reporter.WriteHTML,
	}[c.String("format")]
	if !ok {
		return errors.Wrapf(ErrUsage, "format %q; use text, json or html", c.String("format"))
	}
	var status messenger.StatusReport
	err := anyControl(ctx, c, func(ctx context.Context, base string) error {
		return transporter.NewOperatorClient().Get(ctx, base+"/v1/status", &status)
	})
	if err != nil {
		return err
	}
	histories, missing := gather(ctx, sources(status))
	return write(stdout, reporter.Build(histories, missing))
}

// sources maps the processes that count to their addresses.
func sources(status messenger.StatusReport) map[string]string {
	addresses := map[string]string{}
	for _, p := range status.Processes {
		if p.Role == "entry" {
			addresses[p.Instance] = p.Address
		}
	}
	for _, voter := range status.Voters {
		addresses[voter] = enroller.AddressOf(voter)
	}
	return addresses
}

func gather(ctx context.Context, addresses map[string]string) (histories []messenger.BurnHistory, missing []string) {
	client := transporter.NewOperatorClient()
	for name, address := range addresses {
		call, cancel := context.WithTimeout(ctx, tryTimeout)
		var history messenger.BurnHistory
		err := client.Get(call, "http://"+address+"/v1/burn", &history)
		cancel()
		if err != nil {
			missing = append(missing, name)
			continue
		}
		histories = append(histories, history)
	}
	return histories, missing
}
