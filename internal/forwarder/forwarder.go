// Package forwarder is the entry role: it takes callers' requests over the
// OpenAI-compatible API and the paths of plain services, and sees each of them
// through to one whole answer or a clear verdict.
//
// # Usage
//
//	f := forwarder.New(cfg, logger, health)
//	f.RegisterAPI(apiMux)     // for callers
//	f.RegisterInner(innerMux) // for health and metrics
//	err := f.Run(ctx)
//
// Lock order: Forwarder.mu is the only lock; it is never held during a call.
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
	retryRatio     = 0.1
	retryMost      = 50
	chooseEvery    = 50 * time.Millisecond
	silenceLimit   = 3 * time.Second
	attachPause    = 250 * time.Millisecond
	claimTimeout   = 3 * time.Second
	revokeTimeout  = 2 * time.Second
	waitForGroup   = 10 * time.Second
	prefixBytes    = 256
	maxBodyBytes   = 8 << 20
	maxAnswerBytes = 16 << 20
)

// Config is the place of one entry process.
type Config struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	Controls      []string
	Seed          uint64
	CutOffLimit   time.Duration // CutOffLimit is how long requests are taken without control; 0 means no limit.
}

// Forwarder is one entry process.
type Forwarder struct {
	cfg    Config
	log    *log.Logger
	health *exposer.Health
	client *transporter.Client
	syncer *syncer.Syncer
	began  time.Time
	burn   *recorder.Recorder

	mu       sync.Mutex
	router   *router.Router
	budget   *retrier.Budget
	open     int
	draining bool
}

// New returns an entry process; Run starts it.
func New(cfg Config, logger *log.Logger, health *exposer.Health) *Forwarder {
	f := &Forwarder{
		cfg: cfg, log: logger, health: health, client: transporter.NewClient(), began: time.Now(), burn: recorder.New(),
		router: router.New(router.WithLocation(cfg.Region, cfg.FailureDomain), router.WithSeed(cfg.Seed)),
		budget: retrier.New(retryRatio, retryMost),
	}
	f.syncer = syncer.New(syncer.Config{Name: cfg.Name, Controls: cfg.Controls}, f.status, f.configured)
	return f
}

func (f *Forwarder) now() time.Duration { return time.Since(f.began) }

// Run keeps the process in step with control until the context ends.
func (f *Forwarder) Run(ctx context.Context) error { return f.syncer.Run(ctx) }

// Open returns how many requests are open, which a stop would cut.
func (f *Forwarder) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// Drain refuses new requests and returns when the open ones have ended or the
// context ends.
func (f *Forwarder) Drain(ctx context.Context) {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.health.SetReady("not-draining", false)
	for f.Open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(chooseEvery):
		}
	}
}

func (f *Forwarder) status() messenger.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return messenger.Status{
		Instance: f.cfg.Name, Role: "entry", Address: f.cfg.Address, Region: f.cfg.Region,
		FailureDomain: f.cfg.FailureDomain, Leaving: f.draining,
	}
}

// configured takes newer configuration and load reports.
func (f *Forwarder) configured(response messenger.SyncResponse) {
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

// organisation finds the organisation of an API key by the key's digest.
func (f *Forwarder) organisation(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	want := hex.EncodeToString(sum[:])
	for _, object := range f.syncer.Objects(registrar.KindOrganisation) {
		for _, digest := range object.Organisation.Keys {
			if strings.EqualFold(digest, want) {
				return object.Name, true
			}
		}
	}
	return "", false
}

// crashes returns how many replicas are known to have crashed under a
// fingerprint.
func (f *Forwarder) crashes(fingerprint string) int {
	object, ok := f.syncer.Object(registrar.KindHold, fingerprint)
	if !ok {
		return 0
	}
	return len(object.Hold.Replicas)
}

// command commits a command through any control process that answers.
func (f *Forwarder) command(ctx context.Context, command messenger.Command) (messenger.CommandAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, address := range f.cfg.Controls {
			var answer messenger.CommandAnswer
			try, stop := context.WithTimeout(ctx, claimTimeout/2)
			err := f.client.Call(try, "http://"+address+"/inner/command", command, &answer)
			stop()
			if err == nil && answer.Kind == "" {
				return answer, true
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(chooseEvery):
		}
	}
	return messenger.CommandAnswer{}, false
}

func newRequestID(r *http.Request) string {
	if id := r.Header.Get("X-Request-Id"); id != "" && len(id) <= 64 {
		return id
	}
	return uuid.NewString()
}
