// Package faker is a small stand-in for the endpoints that the system meets: a
// model engine with an OpenAI-compatible API that takes orders, and an order
// service whose calls must not be repeated. It is willing to do wrong whatever
// it is wrongly asked, so that only the system's own care keeps the promises.
//
// # Usage
//
//	e := faker.New(faker.Config{Name: "instance-1", Address: address, Side: sideAddress}, logger)
//	e.Register(mux)
//	err := e.Run(ctx)
//
// Its answers follow from the prompt alone, so that a test can tell a whole
// answer, and its own from a neighbour's. A prompt that contains CrashWord
// crashes the engine.
package faker

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/timekeeper"
	"papayaseam/internal/transporter"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
)

// CrashWord in a prompt crashes the engine that runs it.
const CrashWord = "crash-the-engine"

const (
	announceTimeout = time.Second
	relinkMs        = 50
	leaveGrace      = 4 * time.Second
	leaveLinger     = 2 * time.Second
)

// Config is the place and the manners of one fake endpoint.
type Config struct {
	Name          string
	Address       string
	Side          string // Side is the address of the side process.
	Service       string // Service makes it a plain service of that name.
	ChecksFencing bool
	Parallel      int
	FirstToken    time.Duration
	Step          time.Duration
	Restart       time.Duration // Restart is how long a crashed engine stays away.
}

// Endpoint is one fake endpoint. It is safe for concurrent use.
type Endpoint struct {
	cfg    Config
	log    *log.Logger
	client *transporter.Client

	mu      sync.Mutex
	started string
	down    bool
	crashed chan struct{}
	order   messenger.Order
	loaded  string
	readyAt time.Time
	runs    map[string]int
	running int
	leaving bool

	refusing bool // refusing is set when a leaving endpoint takes no more work.
}

// New returns a fake endpoint; Run makes it announce itself.
func New(cfg Config, logger *log.Logger) *Endpoint {
	return &Endpoint{
		cfg: cfg, log: logger, client: transporter.NewClient(), started: uuid.NewString()[:8],
		crashed: make(chan struct{}), runs: map[string]int{},
	}
}

// Run announces the endpoint until the context ends.
func (e *Endpoint) Run(ctx context.Context) error {
	every := time.Second
	for ctx.Err() == nil {
		if announcement, up := e.announcement(); up {
			call, cancel := context.WithTimeout(ctx, announceTimeout)
			var answer messenger.AnnouncementAnswer
			if e.client.Call(call, "http://"+e.cfg.Side+"/v1/announce", announcement, &answer) == nil {
				every = time.Duration(answer.EveryMs) * time.Millisecond
			}
			cancel()
		}
		select {
		case <-ctx.Done():
		case <-time.After(e.pause(every)):
		}
	}
	return nil
}

// pause is the time to the next announcement: at a steady pace, or when a load
// ends.
func (e *Endpoint) pause(every time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if left := time.Until(e.readyAt); left > 0 {
		return min(every, left)
	}
	return every
}

// Open returns how many calls run, which a stop would cut.
func (e *Endpoint) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Drain announces that the endpoint leaves, and returns when nothing runs and
// the time has passed within which new work may still come. It lingers for a
// while after that, so that work which comes too late is seen.
func (e *Endpoint) Drain(ctx context.Context) {
	e.setLeaving()
	timekeeper.Sleep(ctx, leaveGrace)
	e.setRefusing()
	timekeeper.Sleep(ctx, leaveLinger)
	for e.Open() > 0 && ctx.Err() == nil {
		timekeeper.Sleep(ctx, relinkMs*time.Millisecond)
	}
}

func (e *Endpoint) setLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

func (e *Endpoint) setRefusing() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusing = true
}

func (e *Endpoint) announcement() (messenger.Announcement, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := messenger.Announcement{
		Instance: e.cfg.Name, Address: e.cfg.Address, ModelEngine: e.cfg.Service == "", Service: e.cfg.Service,
		ChecksFencing: e.cfg.ChecksFencing, Parallel: e.cfg.Parallel, Started: e.started,
		FencingNumber: e.order.FencingNumber, Rank: e.order.Rank, Running: e.running, Leaving: e.leaving, StepMs: int(e.cfg.Step / time.Millisecond),
	}
	if !time.Now().Before(e.readyAt) {
		a.Loaded = e.loaded
	}
	return a, !e.down
}

// obey takes an order. An endpoint that does not check fencing numbers obeys
// any of them.
func (e *Endpoint) obey(order messenger.Order) messenger.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && order.FencingNumber < e.order.FencingNumber {
		return messenger.OrderAnswer{FencingNumber: e.order.FencingNumber, Message: "the fencing number is old"}
	}
	e.order = order
	if order.Action == "unload" {
		e.loaded = ""
		return messenger.OrderAnswer{Accepted: true, FencingNumber: order.FencingNumber}
	}
	name := fmt.Sprintf("%s:%s:%d", order.Model, order.Version, order.Rank)
	loadMs := order.LoadMs
	if name == e.loaded {
		loadMs = min(loadMs, relinkMs)
	}
	e.loaded = name
	e.readyAt = time.Now().Add(time.Duration(loadMs) * time.Millisecond)
	return messenger.OrderAnswer{Accepted: true, FencingNumber: order.FencingNumber}
}

// Crash ends all work and takes the endpoint away for its restart time.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	close(e.crashed)
	e.log.Warn("engine crashed", "endpoint", e.cfg.Name)
	time.AfterFunc(e.cfg.Restart, e.restart)
}

func (e *Endpoint) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.crashed = make(chan struct{})
	e.started = uuid.NewString()[:8]
	e.loaded = ""
	e.order = messenger.Order{}
	e.readyAt = time.Time{}
	e.running = 0
}

// Runs returns how often each request was started here, by request identity.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := map[string]int{}
	for id, n := range e.runs {
		runs[id] = n
	}
	return runs
}

// Words returns the whole answer to a prompt.
func Words(prompt string, n int) []string {
	list := []string{"here", "be", "islands", "north", "of", "the", "old", "light", "past", "seven", "tall", "pines"}
	seed := 0
	for _, r := range prompt {
		seed = (seed*31 + int(r)) % 1_000_003
	}
	words := make([]string, 0, n)
	for i := range n {
		words = append(words, list[(seed+i*7)%len(list)])
	}
	return slices.Clip(words)
}
