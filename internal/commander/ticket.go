package commander

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"time"

	"papayaseam/internal/controller"
	"papayaseam/internal/declarer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/transporter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const (
	callTimeout = 10 * time.Second
	tryTimeout  = 5 * time.Second
	retryPause  = 200 * time.Millisecond
)

func ticketCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "ticket", Usage: "submit and read numbered change tickets",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a ticket; the same ticket may be submitted again", ArgsUsage: "FILE",
				Description: "Example: papayaseam ticket submit tickets/0042.ini --wait 10s",
				Flags: []cli.Flag{controlFlag(), outputFlag(), &cli.DurationFlag{
					Name: "wait", Usage: "wait this long until the ticket is in force everywhere",
				}},
				Action: func(ctx context.Context, c *cli.Command) error { return submitTicket(ctx, c, stdout) },
			},
			{
				Name: "show", Usage: "show how far an accepted ticket has spread", ArgsUsage: "NUMBER", Flags: []cli.Flag{controlFlag(), outputFlag()},
				Action: func(ctx context.Context, c *cli.Command) error { return showTicket(ctx, c, stdout) },
			},
			{
				Name: "list", Usage: "list the newest accepted tickets", Flags: []cli.Flag{controlFlag(), outputFlag(), &cli.IntFlag{Name: "last", Value: 20, Usage: "how many"}},
				Action: func(ctx context.Context, c *cli.Command) error { return listTickets(ctx, c, stdout) },
			},
			{
				Name: "diff", Usage: "show what a ticket would change", ArgsUsage: "FILE", Flags: []cli.Flag{controlFlag()},
				Action: func(ctx context.Context, c *cli.Command) error { return diffTicket(ctx, c, stdout) },
			},
			{
				Name: "check", Usage: "check a ticket file without any control process", ArgsUsage: "FILE",
				Action: func(_ context.Context, c *cli.Command) error {
					ticket, err := readTicket(c)
					if err != nil {
						return err
					}
					_, err = fmt.Fprintf(stdout, "ticket %d: good, touches %d objects\n", ticket.Number, len(ticket.Objects))
					return err
				},
			},
			{
				Name: "key", Usage: "print the digest of an organisation's API key", ArgsUsage: "KEY",
				Action: func(_ context.Context, c *cli.Command) error {
					sum := sha256.Sum256([]byte(c.Args().First()))
					_, err := fmt.Fprintln(stdout, hex.EncodeToString(sum[:]))
					return err
				},
			},
		},
	}
}

func readTicket(c *cli.Command) (messenger.Ticket, error) {
	if c.NArg() != 1 {
		return messenger.Ticket{}, errors.Wrap(ErrUsage, "name one ticket file")
	}
	return declarer.ReadTicket(c.Args().First())
}

// anyControl makes a call at the control processes in turn until one of them
// answers.
func anyControl(ctx context.Context, c *cli.Command, call func(ctx context.Context, base string) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var last error
	for ctx.Err() == nil {
		for _, address := range c.StringSlice("control") {
			try, stop := context.WithTimeout(ctx, tryTimeout)
			last = call(try, "http://"+address)
			stop()
			var status *transporter.StatusError
			if last == nil || (errors.As(last, &status) && status.Status < 500) {
				return last
			}
		}
		time.Sleep(retryPause)
	}
	return last
}

// submitTicket submits a ticket, again and again until an answer is had: a
// ticket that was accepted before gets the same answer.
func submitTicket(ctx context.Context, c *cli.Command, stdout io.Writer) error {
	ticket, err := readTicket(c)
	if err != nil {
		return err
	}
	var answer messenger.CommandAnswer
	err = anyControl(ctx, c, func(ctx context.Context, base string) error {
		answer = messenger.CommandAnswer{}
		if err := transporter.NewOperatorClient().Call(ctx, base+"/v1/tickets", ticket, &answer); err != nil {
			return err
		}
		if answer.Kind == controller.FailedNoLeader || answer.Kind == controller.FailedOutcomeUnknown {
			return errors.New(answer.Message)
		}
		return nil
	})
	if err != nil || answer.Ticket == nil {
		return errors.Mark(errors.Wrap(err, "no control process answered"), ErrUnknown)
	}
	if !answer.Ticket.Accepted {
		_ = printTicketAnswer(c, stdout, *answer.Ticket)
		return errors.Wrap(ErrRefused, answer.Ticket.Message)
	}
	if err := printTicketAnswer(c, stdout, *answer.Ticket); err != nil || c.Duration("wait") == 0 {
		return err
	}
	return waitInForce(ctx, c, stdout, ticket.Number)
}

func printTicketAnswer(c *cli.Command, stdout io.Writer, answer messenger.TicketAnswer) error {
	if c.String("output") == "json" {
		return writeJSON(stdout, answer)
	}
	if !answer.Accepted {
		_, err := fmt.Fprintf(stdout, "ticket %d refused (%s): %s\n", answer.Number, answer.Kind, answer.Message)
		return err
	}
	_, err := fmt.Fprintf(stdout, "ticket %d accepted at index %d\n", answer.Number, answer.Index)
	return err
}

func waitInForce(ctx context.Context, c *cli.Command, stdout io.Writer, number int) error {
	limit := time.Now().Add(c.Duration("wait"))
	for {
		state, err := fetchTicket(ctx, c, number)
		switch {
		case err == nil && state.InForce:
			_, err = fmt.Fprintf(stdout, "ticket %d in force everywhere\n", number)
			return err
		case time.Now().After(limit):
			return errors.Newf("ticket %d is accepted but not yet in force; lacking: %v", number, state.Lacking)
		}
		time.Sleep(retryPause)
	}
}

func fetchTicket(ctx context.Context, c *cli.Command, number int) (messenger.TicketState, error) {
	var state messenger.TicketState
	err := anyControl(ctx, c, func(ctx context.Context, base string) error {
		return transporter.NewOperatorClient().Get(ctx, fmt.Sprintf("%s/v1/tickets/%d", base, number), &state)
	})
	return state, err
}

func showTicket(ctx context.Context, c *cli.Command, stdout io.Writer) error {
	number, err := strconv.Atoi(c.Args().First())
	if err != nil {
		return errors.Wrap(ErrUsage, "name a ticket's number")
	}
	state, err := fetchTicket(ctx, c, number)
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		return writeJSON(stdout, state)
	}
	return printTickets(stdout, []messenger.TicketState{state})
}

func listTickets(ctx context.Context, c *cli.Command, stdout io.Writer) error {
	var states []messenger.TicketState
	err := anyControl(ctx, c, func(ctx context.Context, base string) error {
		return transporter.NewOperatorClient().Get(ctx, fmt.Sprintf("%s/v1/tickets?last=%d", base, c.Int("last")), &states)
	})
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		return writeJSON(stdout, states)
	}
	return printTickets(stdout, states)
}

func printTickets(stdout io.Writer, states []messenger.TicketState) error {
	w := newTable(stdout)
	_, _ = fmt.Fprintln(w, "NUMBER\tINDEX\tAUTHOR\tREASON\tIN FORCE\tLACKING")
	for _, state := range states {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%t\t%v\n", state.Number, state.Index, state.Author, state.Reason, state.InForce, state.Lacking)
	}
	return w.Flush()
}

func diffTicket(ctx context.Context, c *cli.Command, stdout io.Writer) error {
	ticket, err := readTicket(c)
	if err != nil {
		return err
	}
	var response messenger.SyncResponse
	err = anyControl(ctx, c, func(ctx context.Context, base string) error {
		return transporter.NewOperatorClient().Get(ctx, base+"/v1/objects", &response)
	})
	if err != nil {
		return err
	}
	_, err = io.WriteString(stdout, declarer.Diff(response.Objects, ticket))
	return err
}
