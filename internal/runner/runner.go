// Package runner runs the roles of one process as oklog/run actors: its
// listeners, its roles, and the planned stop on signals.
//
// # Usage
//
//	err := runner.Run(ctx, settings, os.Stdout)
//
// Run returns nil after a planned stop. The first SIGTERM or SIGINT drains; a
// second one ends the process and says what it cut.
package runner

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"papayaseam/internal/configurer"
	"papayaseam/internal/controller"
	"papayaseam/internal/exposer"
	"papayaseam/internal/faker"
	"papayaseam/internal/forwarder"
	"papayaseam/internal/limiter"
	"papayaseam/internal/planner"
	"papayaseam/internal/supervisor"
	"papayaseam/internal/transporter"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

const (
	readyEvery = 100 * time.Millisecond
	// flushWithin is what the last log lines may take at the end of a process.
	flushWithin = 200 * time.Millisecond
)

// drainer is a role with work that a stop would cut.
type drainer interface {
	Drain(ctx context.Context)
	Open() int
}

// process is the assembly of one process.
type process struct {
	settings configurer.Settings
	log      *log.Logger
	health   *exposer.Health
	inner    *http.ServeMux
	group    run.Group
	drainers []drainer
	reseed   []func(seeds []string)
	limits   *transporter.Limits
}

// Run runs the process until it is stopped or an actor fails.
func Run(ctx context.Context, settings configurer.Settings, logs io.Writer) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return RunUntil(ctx, settings, logs, signals)
}

// RunUntil is Run with the channel of stop signals given.
func RunUntil(ctx context.Context, settings configurer.Settings, logs io.Writer, signals <-chan os.Signal) error {
	queue := exposer.NewQueue(logs)
	defer queue.Flush(flushWithin)
	p := &process{settings: settings, log: exposer.NewLogger(queue, settings.Name), inner: http.NewServeMux()}
	p.actor(ctx, queue.Run)
	level, err := log.ParseLevel(settings.LogLevel)
	if err == nil {
		p.log.SetLevel(level)
	}
	if err := p.assemble(ctx); err != nil {
		return err
	}
	p.actor(ctx, func(ctx context.Context) error { return p.waitForStop(ctx, signals) })
	if settings.IsDirect() {
		p.actor(ctx, p.watchSettings)
	}
	if len(settings.Placeholders) > 0 {
		p.log.Warn("settings were not filled in and have their defaults", "keys", settings.Placeholders)
	}
	p.log.Info("process started", "roles", settings.Roles, "listen", settings.Listen)
	err = p.group.Run()
	p.log.Info("process ended", "err", err)
	if errors.Is(err, errStopped) || ctx.Err() != nil {
		return nil
	}
	return err
}

var errStopped = errors.New("stopped")

func (p *process) assemble(ctx context.Context) error {
	s := p.settings
	p.health = exposer.NewHealth(conditions(s)...)
	p.addLimits(ctx)
	if s.IsDirect() {
		return p.assembleDirect(ctx)
	}
	if s.Has(configurer.RoleControl) {
		if err := p.addControl(ctx); err != nil {
			return err
		}
	}
	var options []transporter.Option
	if s.Has(configurer.RoleSide) {
		side := p.addSide(ctx)
		options = append(options, transporter.WithClosed(side.ConnectionClosed))
	}
	if s.Has(configurer.RoleEntry) {
		if err := p.addEntry(ctx); err != nil {
			return err
		}
	}
	if s.Has(configurer.RoleEndpoint) {
		if err := p.addEndpoint(ctx); err != nil {
			return err
		}
	}
	if s.Listen == "" {
		return nil
	}
	p.health.Register(p.inner)
	return p.listen(ctx, s.Listen, p.inner, limiter.PortInner, options...)
}

// conditions returns what must hold before the process is ready.
func conditions(s configurer.Settings) []string {
	var names []string
	if s.Has(configurer.RoleControl) {
		names = append(names, "leader-known")
	}
	if s.Has(configurer.RoleSide) {
		names = append(names, "endpoint", "synced")
	}
	if s.Has(configurer.RoleEntry) {
		names = append(names, "synced")
	}
	return names
}

// actor adds an actor that ends with its context.
func (p *process) actor(ctx context.Context, execute func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	p.group.Add(func() error { return execute(ctx) }, func(error) { cancel() })
}

// addLimits bounds the heap and what the clients of all ports can make the process hold.
func (p *process) addLimits(ctx context.Context) {
	bounds := p.settings.Limits
	debug.SetMemoryLimit(bounds.HeapBytes())
	p.limits = transporter.NewLimits(bounds, p.log)
	p.actor(ctx, p.limits.Run)
}

func (p *process) listen(ctx context.Context, address string, handler http.Handler, use limiter.Port, opts ...transporter.Option) error {
	server, err := transporter.Listen(address, handler, append(opts, transporter.WithLimits(p.limits, use))...)
	if err != nil {
		return err
	}
	p.actor(ctx, server.Run)
	return nil
}

func (p *process) addControl(ctx context.Context) error {
	s := p.settings
	c, err := controller.New(controller.Config{
		Name: s.Name, Address: s.Advertise, DataFolder: s.DataFolder, Peers: s.Controls, Seed: s.Seed,
		PlannerOptions: []planner.Option{
			planner.WithSilenceTimeout(int(s.MinPatience/time.Millisecond), int(s.MaxPatience/time.Millisecond)),
			planner.WithMaxLoads(s.MaxLoads),
			planner.WithWeights(s.DowntimeWeight, s.StrandedWeight),
		},
	}, p.log)
	if err != nil {
		return err
	}
	c.Register(p.inner)
	p.actor(ctx, c.Run)
	p.actor(ctx, func(ctx context.Context) error { return p.watchReady(ctx, "leader-known", c.Ready) })
	return nil
}

// watchReady keeps one condition up to date.
func (p *process) watchReady(ctx context.Context, name string, ready func() bool) error {
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.health.SetReady(name, ready())
		}
	}
}

func (p *process) addSide(ctx context.Context) *supervisor.Supervisor {
	s := p.settings
	side := supervisor.New(supervisor.Config{
		Name: s.Name, Address: s.Advertise, Region: s.Region, FailureDomain: s.FailureDomain, FabricDomain: s.FabricDomain,
		ControlAddresses: s.Addresses(), QueueSize: s.Queue, DrainTimeout: s.Drain, MaxRetainedBytes: min(s.KeepBytes, s.Limits.KeepBytes()), Limits: p.limits,
	}, p.log, p.health)
	side.Register(p.inner)
	p.drainers = append(p.drainers, side)
	p.actor(ctx, side.Run)
	return side
}

func (p *process) addEntry(ctx context.Context) error {
	s := p.settings
	entry := forwarder.New(forwarder.Config{
		Name: s.Name, Address: s.Advertise, Region: s.Region, FailureDomain: s.FailureDomain,
		Controls: s.Addresses(), Seed: s.Seed, CutOffLimit: s.CutOffLimit, Limits: p.limits,
	}, p.log, p.health)
	api := http.NewServeMux()
	entry.RegisterAPI(api)
	entry.RegisterInner(p.inner)
	p.health.Register(api)
	p.drainers = append(p.drainers, entry)
	p.actor(ctx, entry.Run)
	return p.listen(ctx, s.APIListen, api, limiter.PortMain)
}

func (p *process) addEndpoint(ctx context.Context) error {
	s := p.settings
	e := s.Endpoint
	endpoint := faker.New(faker.Config{
		Name: s.Name, Address: e.Listen, Side: e.Side, Service: e.Service, ChecksFencing: e.ChecksFencing,
		Parallel: e.Parallel, FirstToken: e.FirstToken, Step: e.Step, Restart: e.Restart,
	}, p.log)
	mux := http.NewServeMux()
	endpoint.Register(mux)
	p.actor(ctx, endpoint.Run)
	if !s.Has(configurer.RoleSide) {
		p.drainers = append(p.drainers, endpoint)
	}
	return p.listen(ctx, e.Listen, mux, limiter.PortMain)
}

// waitForStop drains at the first signal and ends the process when that is
// done, at the second signal, or after the set time.
func (p *process) waitForStop(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-ctx.Done():
		return nil
	case s := <-signals:
		p.log.Info("stop begun", "signal", s, "open", p.open())
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.StopAfter)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		p.drain(ctx)
	}()
	select {
	case <-drained:
		p.log.Info("stop complete", "cut", p.open())
	case s := <-signals:
		p.log.Warn("stop forced", "signal", s, "cut", p.open())
	}
	return errStopped
}

// drain drains all roles at once: an entry that another role kept waiting would take
// requests all the while.
func (p *process) drain(ctx context.Context) {
	var wg sync.WaitGroup
	for _, d := range p.drainers {
		wg.Go(func() { d.Drain(ctx) })
	}
	wg.Wait()
}

func (p *process) open() int {
	n := 0
	for _, d := range p.drainers {
		n += d.Open()
	}
	return n
}
