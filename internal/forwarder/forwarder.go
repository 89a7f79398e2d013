// Package forwarder implements the entry role. It accepts client requests on the
// OpenAI-compatible API and on the paths of plain services, and forwards each to
// a group until it has one complete response, or an error that says whether the
// request may have run.
//
// # Usage
//
//	f := forwarder.New(cfg, logger, health)
//	f.RegisterAPI(apiMux)     // for clients
//	f.RegisterInner(innerMux) // for operators
//	err := f.Run(ctx)
//
// Forwarder.mu is the only lock. It is never held during a remote call.
package forwarder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	"papayaseam/internal/exposer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/recorder"
	"papayaseam/internal/registrar"
	"papayaseam/internal/retrier"
	"papayaseam/internal/router"
	"papayaseam/internal/syncer"
	"papayaseam/internal/transporter"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
)

const (
	retryBudgetRatio = 0.1 // retryBudgetRatio is in retries per request.
	retryBudgetLimit = 50  // retryBudgetLimit is the most retries that an organisation can save up.
	pollInterval     = 50 * time.Millisecond
	frameTimeout     = 3 * time.Second // frameTimeout is how long a connection may deliver no frame before it counts as broken.
	reattachDelay    = 250 * time.Millisecond
	commandTimeout   = 3 * time.Second
	revokeTimeout    = 2 * time.Second
	groupWaitTimeout = 10 * time.Second
	// lastAnswersMargin is the time reserved at the end of a planned stop to end the
	// requests in progress: a revocation, and an answer. A short stop gives half its time.
	lastAnswersMargin = revokeTimeout + 500*time.Millisecond
	prefixHashBytes   = 256 // prefixHashBytes is how much of the messages identifies a prompt prefix.
	maxBodyBytes      = 8 << 20
	responsePoolBytes = 2 * maxResponseBytes // responsePoolBytes bounds the responses that are buffered together.
	maxResponseBytes  = 16 << 20
)

// Config configures an entry process: its identity, its location, the addresses
// of the control processes and the seed for routing.
type Config struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	Controls      []string
	Seed          uint64
	CutOffLimit   time.Duration       // CutOffLimit is how long requests are accepted without contact to control; 0 means no limit.
	Limits        *transporter.Limits // Limits bounds what requests and responses hold together; nil for no bound.
}

// Forwarder accepts client requests and forwards them to groups.
type Forwarder struct {
	cfg        Config
	log        *log.Logger
	health     *exposer.Health
	responses  *transporter.Pool // responses holds the large responses that are buffered.
	client     *transporter.Client
	syncer     *syncer.Syncer
	startedAt  time.Time
	objectives *recorder.Recorder

	ending      context.Context // ending ends when a planned stop leaves requests no more time.
	endRequests context.CancelFunc

	mu           sync.Mutex
	router       *router.Router
	budget       *retrier.Budget
	openRequests int
	draining     bool
}

// New returns a Forwarder. It accepts requests once Run has synchronised with
// control.
func New(cfg Config, logger *log.Logger, health *exposer.Health) *Forwarder {
	ending, endRequests := context.WithCancel(context.Background())
	f := &Forwarder{
		ending: ending, endRequests: endRequests,
		cfg: cfg, log: logger, health: health, client: transporter.NewClient(), startedAt: time.Now(), objectives: recorder.New(),
		router: router.New(router.WithLocation(cfg.Region, cfg.FailureDomain), router.WithSeed(cfg.Seed)),
		budget: retrier.New(retryBudgetRatio, retryBudgetLimit), responses: cfg.Limits.Pool(responsePoolBytes),
	}
	f.syncer = syncer.New(syncer.Config{Name: cfg.Name, Controls: cfg.Controls}, f.status, f.applySync)
	return f
}

// now returns the time since the process started.
func (f *Forwarder) now() time.Duration { return time.Since(f.startedAt) }

// Run synchronises configuration and load reports with control until the context
// ends.
func (f *Forwarder) Run(ctx context.Context) error { return f.syncer.Run(ctx) }

// Open returns the number of requests in progress, which a stop would abort.
func (f *Forwarder) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openRequests
}

// begin counts a request as in progress, so that a stop waits for it. It returns false
// if the entry drains: the stop may be over before the request is.
func (f *Forwarder) begin(organisation string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.openRequests++
	f.budget.RecordRequest(organisation)
	return true
}

// end ends what begin began.
func (f *Forwarder) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openRequests--
}

// announceStop asks the client to send its next request over another connection if
// the entry drains.
func (f *Forwarder) announceStop(w http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		w.Header().Set("Connection", "close")
	}
}

// Drain refuses new requests and waits until those in progress have ended or the
// context ends. Shortly before it ends, the requests in progress are ended and their
// clients told whether they may have run.
func (f *Forwarder) Drain(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		ending := time.AfterFunc(max(left-lastAnswersMargin, left/2), f.endRequests)
		defer ending.Stop()
	}
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.health.SetReady("not-draining", false)
	for f.Open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

// status returns what this process reports to control.
func (f *Forwarder) status() messenger.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return messenger.Status{
		Instance: f.cfg.Name, Role: "entry", Address: f.cfg.Address, Region: f.cfg.Region,
		FailureDomain: f.cfg.FailureDomain, Leaving: f.draining,
	}
}

// applySync passes the groups and load reports of a synchronisation to the router.
// If it brought new configuration, the next synchronisation starts at once.
func (f *Forwarder) applySync(response messenger.SyncResponse) {
	f.health.SetReady("synced", true)
	changed := len(response.Objects) > 0 || response.Snapshot
	var groups []router.Group
	if changed {
		for _, object := range f.syncer.Objects(registrar.KindGroup) {
			if object.Group.Active {
				groups = append(groups, router.Group{Name: object.Name, Spec: *object.Group})
			}
		}
	}
	f.mu.Lock()
	if changed {
		f.router.Update(f.now(), router.GroupsMsg{Groups: groups})
	}
	f.router.Update(f.now(), router.LoadsMsg{Loads: response.Loads})
	f.mu.Unlock()
	if len(response.Objects) > 0 {
		f.syncer.Poke()
	}
}

// organisationByKey returns the organisation whose configuration lists the SHA-256
// digest of the API key, and false if there is none.
func (f *Forwarder) organisationByKey(key string) (string, bool) {
	keyDigest := sha256.Sum256([]byte(key))
	wantedDigest := hex.EncodeToString(keyDigest[:])
	for _, object := range f.syncer.Objects(registrar.KindOrganisation) {
		for _, digest := range object.Organisation.Keys {
			if strings.EqualFold(digest, wantedDigest) {
				return object.Name, true
			}
		}
	}
	return "", false
}

// crashCount returns how many replicas are known to have crashed while they ran a
// request with this fingerprint.
func (f *Forwarder) crashCount(fingerprint string) int {
	object, ok := f.syncer.Object(registrar.KindHold, fingerprint)
	if !ok {
		return 0
	}
	return len(object.Hold.Replicas)
}

// commitCommand sends a command to each control process in turn until one commits
// it. It returns false if none did within commandTimeout.
func (f *Forwarder) commitCommand(ctx context.Context, command messenger.Command) (messenger.CommandAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, address := range f.cfg.Controls {
			var reply messenger.CommandAnswer
			attemptCtx, cancelAttempt := context.WithTimeout(ctx, commandTimeout/2)
			err := f.client.Call(attemptCtx, "http://"+address+"/inner/command", command, &reply)
			cancelAttempt()
			if err == nil && reply.Kind == "" {
				return reply, true
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	return messenger.CommandAnswer{}, false
}

// newRequestID returns the X-Request-Id header if it has at most 64 bytes, and a
// random id otherwise.
func newRequestID(r *http.Request) string {
	if id := r.Header.Get("X-Request-Id"); id != "" && len(id) <= 64 {
		return id
	}
	return uuid.NewString()
}
