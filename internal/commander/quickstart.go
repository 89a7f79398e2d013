package commander

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"papayaseam/internal/addresser"
	"papayaseam/internal/configurer"
	"papayaseam/internal/declarer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/runner"
	"papayaseam/internal/transporter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const (
	quickstartKey     = "papaya-demo-key"
	quickstartTimeout = 30 * time.Second
	quickstartSides   = 3
)

func quickstartCommand(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name: "quickstart", Usage: "run a whole small system in one process, with fake endpoints",
		Description: "Example: papayaseam quickstart --once",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "send one model request and one order, print the answers, and exit"},
			&cli.BoolFlag{Name: "logs", Usage: "show the logs of the processes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			logs := io.Discard
			if c.Bool("logs") {
				logs = stderr
			}
			return runQuickstart(ctx, c.Bool("once"), stdout, logs)
		},
	}
}

// quickstart is the small system.
type quickstart struct {
	folder  string
	control string
	api     string
	stdout  io.Writer
	logs    io.Writer
	ended   chan error
	started int
}

func runQuickstart(ctx context.Context, once bool, stdout, logs io.Writer) error {
	folder, err := os.MkdirTemp("", "papayaseam-quickstart-")
	if err != nil {
		return errors.Wrap(err, "create a temporary folder; check that the disk has room")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	q := &quickstart{folder: folder, stdout: stdout, logs: logs, ended: make(chan error, quickstartSides*2+4)}
	if err := q.start(ctx); err != nil {
		return err
	}
	err = q.show(ctx, once)
	stop()
	for range q.started {
		<-q.ended
	}
	return err
}

// start runs one control process, one entry, three model instances of which
// two form a group, and one order service.
func (q *quickstart) start(ctx context.Context) error {
	var addresses []string
	for range 3 + 2*(quickstartSides+1) {
		addresses = append(addresses, addresser.Next())
	}
	q.control, q.api = addresses[0], addresses[1]
	texts := []string{
		fmt.Sprintf("[process]\nroles = control\nname = control-1\nregion = maine\nfailure-domain = harbour\nlisten = %s\n[control]\npeers = control-1=%s\ndata-folder = %s\n", q.control, q.control, filepath.Join(q.folder, "control-1")),
		fmt.Sprintf("[process]\nroles = entry\nname = entry-1\nregion = maine\nfailure-domain = harbour\nlisten = %s\n[control]\npeers = control-1=%s\n[entry]\nlisten = %s\n", addresses[2], q.control, q.api),
	}
	for i := range quickstartSides + 1 {
		side, endpoint := addresses[3+2*i], addresses[4+2*i]
		name, service := fmt.Sprintf("instance-%d", i+1), ""
		if i == quickstartSides {
			name, service = "orders-1", "service = orders\n"
		}
		texts = append(texts, fmt.Sprintf("[process]\nroles = side, fake-endpoint\nname = %s\nregion = maine\nfailure-domain = harbour\nfabric-domain = fabric-1\nlisten = %s\n[control]\npeers = control-1=%s\n[side]\n[fake-endpoint]\nlisten = %s\nside = %s\n%s", name, side, q.control, endpoint, side, service))
	}
	for _, text := range texts {
		settings, err := configurer.Parse("quickstart", []byte(text))
		if err != nil {
			return err
		}
		q.started++
		go func() { q.ended <- runner.RunUntil(ctx, settings, q.logs, nil) }()
	}
	return nil
}

const quickstartTicket = `[ticket]
number = 1
author = quickstart
reason = a model over two instances, and an order service

[model verse-8b]
version = v1
members = 2
groups = 1
parallel = 8
load-ms = 200

[service orders]
repeatable = false

[organisation chart-desk]
weight = 1
keys-sha256 = %s
`

// show submits the sample ticket and shows or makes the calls.
func (q *quickstart) show(ctx context.Context, once bool) error {
	ctx, cancel := context.WithTimeoutCause(ctx, quickstartTimeout, errors.New("the quickstart took too long"))
	defer cancel()
	sum := sha256.Sum256([]byte(quickstartKey))
	f, err := declarer.Parse("quickstart ticket", fmt.Appendf(nil, quickstartTicket, hex.EncodeToString(sum[:])))
	if err != nil {
		return err
	}
	ticket, err := f.Ticket()
	if err != nil {
		return err
	}
	if err := q.submit(ctx, ticket); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(q.stdout, "ticket 1 accepted: model verse-8b over 2 of %d instances, service orders\n", quickstartSides)
	chat := `{"model":"verse-8b","stream":true,"messages":[{"role":"user","content":"a clue for the old lighthouse"}]}`
	if err := q.untilAnswered(ctx, chat); err != nil {
		return err
	}
	if !once {
		_, _ = fmt.Fprintf(q.stdout, "status:  papayaseam status --control %s\ncall:    curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '%s'\nstop with Ctrl-C\n", q.control, q.api, quickstartKey, chat)
		cancel()
		return q.untilStopped()
	}
	if _, err := q.call(ctx, "/v1/chat/completions", chat, "", q.printStream); err != nil {
		return err
	}
	_, err = q.call(ctx, "/services/orders/prints", `{"map":"cove","copies":1}`, "order-1", func(r io.Reader) error {
		body, err := io.ReadAll(r)
		_, _ = fmt.Fprintf(q.stdout, "order answered: %s\n", body)
		return err
	})
	return err
}

// untilStopped waits until a process of the system ends, as they all do at a
// signal.
func (q *quickstart) untilStopped() error {
	q.started--
	return <-q.ended
}

func (q *quickstart) submit(ctx context.Context, ticket messenger.Ticket) error {
	client := transporter.NewOperatorClient()
	for {
		var answer messenger.CommandAnswer
		err := client.Call(ctx, "http://"+q.control+"/v1/tickets", ticket, &answer)
		if err == nil && answer.Ticket != nil && answer.Ticket.Accepted {
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		time.Sleep(retryPause)
	}
}

// untilAnswered repeats a call until the first group serves.
func (q *quickstart) untilAnswered(ctx context.Context, body string) error {
	for {
		status, err := q.call(ctx, "/v1/chat/completions", body, "", func(r io.Reader) error {
			_, err := io.Copy(io.Discard, r)
			return err
		})
		if err == nil && status == http.StatusOK {
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		time.Sleep(retryPause)
	}
}

func (q *quickstart) call(ctx context.Context, path, body, key string, read func(io.Reader) error) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.api+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+quickstartKey)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := transporter.NewOperatorClient().Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, read(response.Body)
}

// printStream prints the streamed words as they come.
func (q *quickstart) printStream(r io.Reader) error {
	_, _ = fmt.Fprint(q.stdout, "streamed answer: ")
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		_, content, ok := strings.Cut(scanner.Text(), `"content":"`)
		if !ok {
			continue
		}
		word, _, _ := strings.Cut(content, `"`)
		_, _ = fmt.Fprint(q.stdout, word)
	}
	_, _ = fmt.Fprintln(q.stdout)
	return scanner.Err()
}
