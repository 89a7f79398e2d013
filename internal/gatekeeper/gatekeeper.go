// Package gatekeeper is the entry role for endpoints that are served without side
// processes. It checks client requests against the declared configuration and
// forwards each to one endpoint at a time.
//
// # Usage
//
//	g := gatekeeper.New(gatekeeper.Config{FailureDomain: "ne-a", Lease: lease}, dialect, logger)
//	mux.Handle("/", g)
//	err := g.Run(ctx) // keeps the configuration and the fleet up to date
//
// Locking: mu guards the chooser, the retry budget and the open streams, and is
// never held during a network call. The active configuration is replaced as a
// whole.
package gatekeeper

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/describer"
	"papayaseam/internal/evacuator"
	"papayaseam/internal/messenger"
	"papayaseam/internal/rationer"
	"papayaseam/internal/retrier"
	"papayaseam/internal/throttler"
	"papayaseam/internal/timekeeper"
	"papayaseam/internal/transporter"
	"papayaseam/internal/viewer"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
)

const (
	// endpointDialTimeout is below the half second for which requests under way may still
	// reach an endpoint that has asked for rest.
	endpointDialTimeout = 400 * time.Millisecond
	// controlDialTimeout is far above a round trip to a control process and far
	// below 1 s, after which TCP retransmits a lost SYN: another control process
	// is tried instead.
	controlDialTimeout = 250 * time.Millisecond
	maxIdleConns       = 24
	// idleConnTimeout is shorter than the idle timeouts that endpoints usually have.
	idleConnTimeout = 4 * time.Second
	// retryRatioShare scales the declared retry ratio down, because the ratio is
	// measured in sliding windows and the retries of other entries are not known
	// here.
	retryRatioShare = 0.7
	// maxEarnedRetries bounds the unused retries that one entry accumulates.
	maxEarnedRetries = 12
)

// RequestMetadata is what a client's header says about its request.
type RequestMetadata struct {
	AttemptID    string
	Timeout      time.Duration // Timeout is how long the client waits; 0 if unknown.
	APIKey       string
	Model        string
	PromptTokens int      // PromptTokens is 0 if unknown.
	OutputTokens int      // OutputTokens is the client's estimate or its limit; 0 if unknown.
	LastEventID  string   // LastEventID is set when the client resumes a stream.
	PromptParts  []string // PromptParts identifies the parts of the prompt in order, the most widely shared first.
}

// ForwardMetadata is what the entry adds to the header of a forwarded request.
type ForwardMetadata struct {
	Instance     string // Instance is the instance that the request is meant for.
	Organisation string
	Timeout      time.Duration // Timeout is the time left until the client's deadline.
	LastEventID  string
	Urgency      chooser.Urgency
	Rank         int // Rank is the position of the request's priority among Ranks of its service, from 0, the most urgent.
	Ranks        int // Ranks is 0 where priorities have no effect.
}

// ResponseMetadata is what an endpoint's response says apart from its status code
// and body.
type ResponseMetadata struct {
	AttemptID   string        // AttemptID is the echoed attempt id; empty if the endpoint sent none.
	NotExecuted bool          // NotExecuted means that the request was not and will not be executed.
	HasLoad     bool          // HasLoad means that Running and Waiting are set.
	Running     int           // Running is the number of requests that the endpoint executes.
	Waiting     int           // Waiting is the number of requests in the endpoint's queue.
	Leaving     bool          // Leaving means that the endpoint takes no further requests.
	StayAway    time.Duration // StayAway is how long the endpoint wants no requests from this entry; 0 if it does not say.
	Malformed   string        // Malformed is a header of the endpoint that could not be read; empty if there is none.
}

// Dialect translates the headers that clients and endpoints use.
type Dialect interface {
	// ParseRequest reads the metadata of a client's request.
	ParseRequest(r *http.Request) RequestMetadata
	// ForwardHeader returns the header of a forwarded request, given the header
	// of the client's request.
	ForwardHeader(in http.Header, metadata ForwardMetadata) http.Header
	// ParseResponse reads the metadata of an endpoint's response.
	ParseResponse(status int, h http.Header) ResponseMetadata
	// CopyResponseHeader copies the header of an endpoint's response to out, the
	// header of the response to the client.
	CopyResponseHeader(out, in http.Header)
	// SetRetryAfter tells the client how long to wait before it retries.
	SetRetryAfter(h http.Header, after time.Duration)
}

// Config configures an entry.
type Config struct {
	Name          string // Name is the unique name of this process.
	FailureDomain string
	Seeds         []string      // Seeds are the internal addresses of the control processes to contact first.
	Lease         time.Duration // Lease is how long after its confirmation a configuration may authenticate requests.
	RetryRatio    float64       // RetryRatio is the declared number of retries per request.
	// EvacuateWithin is the time after which nothing more may be sent to an evacuated failure
	// domain.
	EvacuateWithin time.Duration
	Decode         func(document []byte) (*describer.Configuration, error)
	// OrganisationShares says for which services priorities and shares of organisations
	// are in effect; empty is rationer.Auto.
	OrganisationShares rationer.Mode
	Health             HealthClient        // Health checks endpoints that broke; nil for an entry that checks none.
	Limits             *transporter.Limits // Limits bounds what requests and responses hold together; nil for no bound.
}

// activeConfig is the configuration in use and the time of its last confirmation.
type activeConfig struct {
	config      *describer.Configuration
	confirmedAt time.Duration
}

// Gatekeeper is an entry process: an HTTP handler that forwards client requests.
type Gatekeeper struct {
	cfg            Config
	log            *log.Logger
	dialect        Dialect
	endpointClient *transporter.Client
	controlClient  *transporter.Client
	bufferPool     *transporter.Pool
	active         atomic.Pointer[activeConfig]
	stop           atomic.Pointer[plannedStop] // stop is nil before a planned stop.
	inFlight       atomic.Int64
	ending         context.Context // ending ends when a planned stop leaves requests no more time.
	endRequests    context.CancelFunc
	random         func() float64 // random returns a number from 0 up to 1.
	anyEvacuated   atomic.Bool    // anyEvacuated is set while any failure domain is evacuated.

	mu            sync.Mutex
	seeds         []string
	leader        string
	chooser       *chooser.Chooser
	throttler     *throttler.Throttler
	rationer      *rationer.Rationer
	retryBudget   *retrier.Budget
	clientRetries *clientRetryDetector
	streams       map[*streamAttempt]struct{}
	observations  map[string]*observation
	demand        map[demandKey]float64
	viewer        *viewer.Viewer
	fleet         chooser.FleetMsg
	checks        map[bootKey]*listenerCheck
	quarantine    *quarantine
	doubts        *doubts
	evacuations   *evacuator.Evacuator
}

type demandKey struct{ service, model string }

// observation is what this entry knows about an endpoint with open streams.
type observation struct {
	bootTime     int
	openStreams  int
	lastActivity time.Duration // lastActivity is when the endpoint last sent an event, or when its oldest open stream began.
}

// New returns an entry. Run keeps it up to date.
func New(cfg Config, dialect Dialect, logger *log.Logger) *Gatekeeper {
	ending, endRequests := context.WithCancel(context.Background())
	return &Gatekeeper{
		ending: ending, endRequests: endRequests, random: rand.Float64,
		cfg: cfg, log: logger, dialect: dialect, seeds: cfg.Seeds,
		endpointClient: transporter.NewClient(transporter.WithDialTimeout(endpointDialTimeout), transporter.WithIdle(maxIdleConns, idleConnTimeout)),
		controlClient:  transporter.NewClient(transporter.WithDialTimeout(controlDialTimeout)),
		bufferPool:     cfg.Limits.Pool(bufferPoolBytes),
		chooser:        chooser.New(cfg.FailureDomain, chooser.WithSeed(xxhash.Sum64String(cfg.Name)), chooser.WithName(cfg.Name)), retryBudget: retrier.New(cfg.RetryRatio*retryRatioShare, maxEarnedRetries),
		throttler: throttler.New(), rationer: rationer.New(), clientRetries: newClientRetryDetector(), streams: map[*streamAttempt]struct{}{}, observations: map[string]*observation{}, demand: map[demandKey]float64{}, viewer: viewer.New(),
		checks: map[bootKey]*listenerCheck{}, quarantine: newQuarantine(logger), doubts: newDoubts(),
		evacuations: evacuator.New(),
	}
}

// SetSeeds replaces the seed addresses.
func (g *Gatekeeper) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Ready reports whether this entry can serve new clients: its configuration was
// confirmed recently, and it is not draining.
func (g *Gatekeeper) Ready() bool {
	return g.stop.Load() == nil && g.inTouch()
}

// inTouch reports whether control confirmed the configuration recently.
func (g *Gatekeeper) inTouch() bool {
	active := g.active.Load()
	return active != nil && g.recentlyConfirmed(active)
}

// readyLeaseFraction is the part of the lease after which an entry that hears
// nothing from control is no longer ready. The load balancer needs the rest to
// notice.
const readyLeaseFraction = 0.5

// recentlyConfirmed reports whether the configuration was confirmed recently
// enough to accept new clients.
func (g *Gatekeeper) recentlyConfirmed(active *activeConfig) bool {
	return float64(timekeeper.Now()-active.confirmedAt) < readyLeaseFraction*float64(g.cfg.Lease)
}

// Open returns the number of requests in flight.
func (g *Gatekeeper) Open() int { return int(g.inFlight.Load()) }

// sightings reports the endpoints with open streams to control; mu is held.
func (g *Gatekeeper) sightings(now time.Duration) []messenger.Sighting {
	var list []messenger.Sighting
	for id, s := range g.observations {
		if s.openStreams > 0 {
			list = append(list, messenger.Sighting{Instance: id, Born: s.bootTime, Open: s.openStreams, QuietMs: int((now - s.lastActivity) / time.Millisecond)})
		}
	}
	return list
}
