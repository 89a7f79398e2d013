// Package gatekeeper is the entry role where endpoints are served without side
// processes: it takes the calls of clients, checks them against the declared
// configuration, and forwards each to one endpoint at a time.
//
// # Usage
//
//	g := gatekeeper.New(gatekeeper.Config{FailureDomain: "ne-a", Lease: lease}, dialect, logger)
//	mux.Handle("/", g)
//	err := g.Run(ctx) // keeps the configuration and the fleet up to date
//
// Lock order: mu guards the chooser, the budget and the open streams, and is
// never held during a call. The configuration is replaced as a whole.
package gatekeeper

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/retrier"
	"papayaseam/internal/throttler"
	"papayaseam/internal/timekeeper"
	"papayaseam/internal/transporter"
	"papayaseam/internal/viewer"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
)

const (
	dialTimeout = 400 * time.Millisecond
	// innerDialTimeout is far above the way to control, and far below the second
	// after which a lost first packet is sent again: another process is asked.
	innerDialTimeout = 250 * time.Millisecond
	idleConns        = 24
	// idleLife is below the idle limits that endpoints usually have.
	idleLife = 4 * time.Second
	// retryShare leaves room below the declared budget, since windows slide and
	// other entries are unseen.
	retryShare = 0.7
	// retryMost bounds what one entry saves up.
	retryMost = 12
)

// RequestMetadata is what a client says of its request.
type RequestMetadata struct {
	AttemptID    string
	Timeout      time.Duration // Timeout is how long the client waits; 0 where it does not say.
	APIKey       string
	Model        string
	PromptTokens int
	OutputTokens int // OutputTokens is the client's estimate, or the most that it takes.
	LastEventID  string
}

// ForwardMetadata is what the system adds to a forwarded request.
type ForwardMetadata struct {
	Instance     string
	Organisation string
	Timeout      time.Duration
	LastEventID  string
	Urgency      chooser.Urgency
}

// ResponseMetadata is what an endpoint's answer says beside its status and body.
type ResponseMetadata struct {
	AttemptID   string // AttemptID is the echoed attempt id; empty where none came.
	NotExecuted bool   // NotExecuted tells that the request did not and will not run.
	HasLoad     bool
	Running     int
	Waiting     int
}

// Dialect reads and writes what clients and endpoints speak.
type Dialect interface {
	// ParseRequest returns what a request says.
	ParseRequest(r *http.Request) RequestMetadata
	// ForwardHeader returns the header of a forwarded request.
	ForwardHeader(in http.Header, d ForwardMetadata) http.Header
	// ParseResponse returns what an answer says.
	ParseResponse(status int, h http.Header) ResponseMetadata
	// CopyResponseHeader copies the header of an answer for the client.
	CopyResponseHeader(out, in http.Header)
	// SetRetryAfter tells a client when to come back.
	SetRetryAfter(h http.Header, after time.Duration)
}

// Config is the place of one entry.
type Config struct {
	Name          string
	FailureDomain string
	Seeds         []string      // Seeds are the inner addresses of the seeds.
	Lease         time.Duration // Lease is how long a confirmed configuration serves keyed requests.
	RetryRatio    float64
	Decode        func(document []byte) (*describer.Configuration, error)
}

// snapshot is the configuration in force here.
type snapshot struct {
	config    *describer.Configuration
	confirmed time.Duration
}

// Gatekeeper is one entry.
type Gatekeeper struct {
	cfg     Config
	log     *log.Logger
	dialect Dialect
	client  *transporter.Client
	inner   *transporter.Client
	bodies  *transporter.Pool
	current atomic.Pointer[snapshot]
	leaving atomic.Int64 // leaving is when the stop began; 0 while it has not.
	open    atomic.Int64

	mu        sync.Mutex
	seeds     []string
	leader    string
	chooser   *chooser.Chooser
	throttle  *throttler.Throttler
	budget    *retrier.Budget
	returners *returners
	streams   map[*stream]struct{}
	seen      map[string]*sight
	demand    map[demandKey]float64
	viewer    *viewer.Viewer
	fleet     chooser.FleetMsg
}

type demandKey struct{ service, model string }

// sight is what this entry saw of one endpoint.
type sight struct {
	born int
	open int
	last time.Duration // last is when bytes last came from it.
}

// New returns an entry; Run keeps it up to date.
func New(cfg Config, dialect Dialect, logger *log.Logger) *Gatekeeper {
	return &Gatekeeper{
		cfg: cfg, log: logger, dialect: dialect, seeds: cfg.Seeds,
		client:  transporter.NewClient(transporter.WithDialTimeout(dialTimeout), transporter.WithIdle(idleConns, idleLife)),
		inner:   transporter.NewClient(transporter.WithDialTimeout(innerDialTimeout)),
		bodies:  transporter.NewPool(heldBytes),
		chooser: chooser.New(cfg.FailureDomain, chooser.WithSeed(xxhash.Sum64String(cfg.Name)), chooser.WithName(cfg.Name)), budget: retrier.New(cfg.RetryRatio*retryShare, retryMost),
		throttle: throttler.New(), returners: newReturners(), streams: map[*stream]struct{}{}, seen: map[string]*sight{}, demand: map[demandKey]float64{}, viewer: viewer.New(),
	}
}

// SetSeeds exchanges the seeds.
func (g *Gatekeeper) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Ready reports whether this entry can serve: it knows a configuration that was
// confirmed of late, and does not stop.
func (g *Gatekeeper) Ready() bool {
	s := g.current.Load()
	return s != nil && g.leaving.Load() == 0 && g.inTouch(s)
}

// readyPart is the part of the lease after which an entry that hears nothing
// from control is not ready: the balancer needs the rest to notice.
const readyPart = 0.5

// inTouch reports whether the configuration was confirmed so lately that new
// clients are served well here.
func (g *Gatekeeper) inTouch(s *snapshot) bool {
	return float64(timekeeper.Now()-s.confirmed) < readyPart*float64(g.cfg.Lease)
}

// Open returns the number of requests under way.
func (g *Gatekeeper) Open() int { return int(g.open.Load()) }

// Drain makes the entry not ready and returns when no request is under way and
// the balancer has had time to notice, or the context ends.
func (g *Gatekeeper) Drain(ctx context.Context) {
	g.leaving.Store(int64(timekeeper.Now()))
	least := time.NewTimer(leastDrain)
	defer least.Stop()
	select {
	case <-ctx.Done():
		return
	case <-least.C:
	}
	ticker := time.NewTicker(drainEvery)
	defer ticker.Stop()
	for g.Open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

const (
	// leastDrain is longer than the balancer needs to miss two answers.
	leastDrain = 3200 * time.Millisecond
	drainEvery = 50 * time.Millisecond
)

// sightings returns what this entry saw of endpoints with open work; mu is held.
func (g *Gatekeeper) sightings(now time.Duration) []messenger.Sighting {
	var list []messenger.Sighting
	for id, s := range g.seen {
		if s.open > 0 {
			list = append(list, messenger.Sighting{Instance: id, Born: s.born, Open: s.open, QuietMs: int((now - s.last) / time.Millisecond)})
		}
	}
	return list
}
