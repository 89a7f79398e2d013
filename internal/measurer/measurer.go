// Package measurer starts a system of real side, entry and control processes at
// a given size, with stand-in endpoints in its own process, and measures what
// control costs each role: bytes, processor time, memory, and the time until a
// ticket is in force everywhere.
//
// # Usage
//
//	result, err := measurer.Run(ctx, measurer.Size{Sides: 48, Entries: 12, Members: 16}, binary)
//
// Ports are taken from 127.0.0.1:30000 downwards; every process is ended by its
// number when the measurement ends.
package measurer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"papayaseam/internal/addresser"
	"papayaseam/internal/exposer"
	"papayaseam/internal/faker"
	"papayaseam/internal/messenger"
	"papayaseam/internal/transporter"

	"github.com/cockroachdb/errors"
)

const (
	serveLimit   = 3 * time.Minute
	settle       = 5 * time.Second
	pollEvery    = 100 * time.Millisecond
	forceEvery   = 20 * time.Millisecond
	forceLimit   = 30 * time.Second
	firstToken   = 50 * time.Millisecond
	tokenStep    = 34 * time.Millisecond
	commandLimit = 5 * time.Second
)

// Size is the size of a measured system.
type Size struct {
	Controls int
	Entries  int
	Sides    int
	Members  int           // Members is the number of instances in a group.
	Window   time.Duration // Window is how long the idle system is watched.
	Tickets  int           // Tickets is how many tickets are timed.
	Streams  int           // Streams is how many answers stream while the system is watched.
	Fail     bool          // Fail kills the control leader right before the tickets.
}

// Usage is what one process spent.
type Usage struct {
	BytesPerSecond float64
	CorePercent    float64
	MemoryMB       float64
}

// Role sums the processes of one role.
type Role struct {
	Name      string
	Processes int
	Mean      Usage
	Most      Usage
}

// Result is one measurement.
type Result struct {
	Size          Size
	Roles         []Role
	ServingAfter  time.Duration
	AcceptedAfter []time.Duration // AcceptedAfter are the times until a ticket was accepted, sorted.
	InForceAfter  []time.Duration // InForceAfter are the times until it was in force everywhere, sorted.
	ClaimsPerSec  float64
	Load          Load
}

// process is one started process.
type process struct {
	role    string
	address string
	cmd     *exec.Cmd
}

// system is the running system.
type system struct {
	size      Size
	binary    string
	folder    string
	peers     string
	controls  []string
	apis      []string
	processes []*process
	client    *transporter.Client
	ended     chan error
	started   int
	report    messenger.StatusReport
}

// Run measures one size. The binary is the built papayaseam program.
func Run(ctx context.Context, size Size, binary string) (Result, error) {
	folder, err := os.MkdirTemp("", "papayaseam-capacity-")
	if err != nil {
		return Result{}, errors.Wrap(err, "create a temporary folder; check that the disk has room")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithCancel(ctx)
	s := &system{
		size: size, binary: binary, folder: folder, client: transporter.NewOperatorClient(),
		ended: make(chan error, 2*size.Sides),
	}
	defer s.stop(cancel)
	if err := s.start(ctx); err != nil {
		return Result{}, err
	}
	return s.measure(ctx)
}

func (s *system) stop(cancel context.CancelFunc) {
	cancel()
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range s.processes {
		_ = p.cmd.Wait()
	}
	for range s.started {
		<-s.ended
	}
}

func (s *system) start(ctx context.Context) error {
	var pairs []string
	for i := range s.size.Controls {
		address := addresser.Next()
		s.controls = append(s.controls, address)
		pairs = append(pairs, fmt.Sprintf("control-%d=%s", i+1, address))
	}
	s.peers = strings.Join(pairs, ", ")
	for i, address := range s.controls {
		name := fmt.Sprintf("control-%d", i+1)
		err := s.launch(ctx, "control", name, address, i, fmt.Sprintf("data-folder = %s\n", filepath.Join(s.folder, name)))
		if err != nil {
			return err
		}
	}
	for i := range s.size.Sides {
		if err := s.startSide(ctx, i); err != nil {
			return err
		}
	}
	for i := range s.size.Entries {
		inner := addresser.Next()
		api := addresser.Next()
		s.apis = append(s.apis, api)
		if err := s.launch(ctx, "entry", fmt.Sprintf("entry-%d", i+1), inner, i, fmt.Sprintf("[entry]\nlisten = %s\n", api)); err != nil {
			return err
		}
	}
	return nil
}

// startSide starts a side process, and its stand-in endpoint in this process.
func (s *system) startSide(ctx context.Context, i int) error {
	side := addresser.Next()
	address := addresser.Next()
	name := fmt.Sprintf("instance-%d", i+1)
	endpoint := faker.New(faker.Config{Name: name, Address: address, Side: side, Parallel: 128, FirstToken: firstToken, Step: tokenStep}, exposer.NewLogger(io.Discard, name))
	mux := http.NewServeMux()
	endpoint.Register(mux)
	server, err := transporter.Listen(address, mux)
	if err != nil {
		return err
	}
	s.started += 2
	go func() { s.ended <- endpoint.Run(ctx) }()
	go func() { s.ended <- server.Run(ctx) }()
	return s.launch(ctx, "side", name, side, i/s.size.Members, "[side]\n")
}

// launch writes the settings of a process and starts it.
func (s *system) launch(ctx context.Context, role, name, listen string, place int, rest string) error {
	text := fmt.Sprintf("[process]\nroles = %s\nname = %s\nregion = region-%d\nfailure-domain = domain-%d\nfabric-domain = fabric-%d\nlisten = %s\nlog-level = error\n[control]\npeers = %s\n%s",
		role, name, place%3, place%12, place, listen, s.peers, rest)
	file := filepath.Join(s.folder, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write the settings")
	}
	cmd := exec.CommandContext(ctx, s.binary, "run", "--settings", file)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start a process; check the path of the program")
	}
	s.processes = append(s.processes, &process{role: role, address: listen, cmd: cmd})
	return nil
}

func (s *system) measure(ctx context.Context) (Result, error) {
	result := Result{Size: s.size}
	began := time.Now()
	groups := s.size.Sides / s.size.Members
	if _, err := s.submit(ctx, s.ticket(1, groups)); err != nil {
		return result, err
	}
	if err := s.awaitServing(ctx, groups); err != nil {
		return result, err
	}
	result.ServingAfter = time.Since(began)
	load := s.startLoad(ctx)
	time.Sleep(settle)
	roles, err := s.watch(ctx)
	result.Load = load.stop()
	if err != nil {
		return result, err
	}
	result.Roles = roles
	if s.size.Fail {
		s.killLeader()
	}
	for number := 2; number < 2+s.size.Tickets; number++ {
		accepted, inForce, err := s.timeTicket(ctx, number)
		if err != nil {
			return result, err
		}
		result.AcceptedAfter = append(result.AcceptedAfter, accepted)
		result.InForceAfter = append(result.InForceAfter, inForce)
	}
	slices.Sort(result.AcceptedAfter)
	slices.Sort(result.InForceAfter)
	if s.size.Fail {
		return result, nil
	}
	result.ClaimsPerSec, err = s.claims(ctx)
	return result, err
}

func (s *system) ticket(number, groups int) messenger.Ticket {
	sum := sha256.Sum256([]byte("key"))
	return messenger.Ticket{Number: number, Author: "capacity", Reason: "measurement", Objects: []messenger.Object{
		{Kind: "model", Name: "m", Model: &messenger.ModelSpec{Version: "v1", Members: s.size.Members, Groups: groups, Parallel: 128, LoadMs: 100}},
		{Kind: "organisation", Name: "o", Organisation: &messenger.OrganisationSpec{Weight: number, Keys: []string{hex.EncodeToString(sum[:])}}},
	}}
}

// submit sends a ticket to the control processes in turn until it is accepted.
func (s *system) submit(ctx context.Context, ticket messenger.Ticket) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < serveLimit {
		for _, address := range s.controls {
			call, cancel := context.WithTimeout(ctx, commandLimit)
			var answer messenger.CommandAnswer
			err := s.client.Call(call, "http://"+address+"/v1/tickets", ticket, &answer)
			cancel()
			if err == nil && answer.Ticket != nil && answer.Ticket.Accepted {
				return time.Since(began), nil
			}
		}
		time.Sleep(pollEvery)
	}
	return 0, errors.New("no ticket was accepted; read the logs above")
}

func (s *system) awaitServing(ctx context.Context, groups int) error {
	for limit := time.Now().Add(serveLimit); time.Now().Before(limit); time.Sleep(pollEvery) {
		var report messenger.StatusReport
		if s.get(ctx, "/v1/status", &report) != nil {
			continue
		}
		serving := 0
		for _, group := range report.Groups {
			if group.Ready {
				serving++
			}
		}
		if serving == groups && len(report.Processes) == s.size.Sides+s.size.Entries {
			return nil
		}
	}
	return errors.Newf("the %d groups did not all serve in time", groups)
}

// get reads from the first control process that answers.
func (s *system) get(ctx context.Context, path string, out any) error {
	err := errors.New("no control process answered")
	for _, address := range s.controls {
		call, cancel := context.WithTimeout(ctx, commandLimit)
		err = s.client.Get(call, "http://"+address+path, out)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// killLeader ends the control leader without warning.
func (s *system) killLeader() {
	for _, p := range s.processes {
		if p.role == "control" && strings.HasSuffix(s.report.Leader, "@"+p.address) {
			_ = p.cmd.Process.Kill()
		}
	}
}

// timeTicket times one change until it is accepted, and until every process has
// acknowledged it.
func (s *system) timeTicket(ctx context.Context, number int) (accepted, inForce time.Duration, err error) {
	began := time.Now()
	accepted, err = s.submit(ctx, s.ticket(number, s.size.Sides/s.size.Members))
	for err == nil && time.Since(began) < forceLimit {
		var state messenger.TicketState
		if s.get(ctx, fmt.Sprintf("/v1/tickets/%d", number), &state) == nil && state.InForce {
			return accepted, time.Since(began), nil
		}
		time.Sleep(forceEvery)
	}
	return accepted, 0, errors.Wrapf(err, "ticket %d was not in force in time", number)
}
