// Package supervisor is the side role: the process in the slot beside one
// endpoint. It keeps the instance's promises to its group, gives the endpoint
// its orders, and at the leader admits attempts, dispatches them and keeps
// their answers for re-attachment.
//
// # Usage
//
//	s := supervisor.New(cfg, logger)
//	s.Register(mux)
//	err := s.Run(ctx)
//
// Lock order: Supervisor.mu, then attempt.mu. Neither is held during a call to
// another process.
package supervisor

import (
	"context"
	"slices"
	"sync"
	"time"

	"papayaseam/internal/admitter"
	"papayaseam/internal/exposer"
	"papayaseam/internal/granter"
	"papayaseam/internal/messenger"
	"papayaseam/internal/registrar"
	"papayaseam/internal/syncer"
	"papayaseam/internal/transporter"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
)

const (
	tickEvery       = 50 * time.Millisecond
	announceEvery   = 500 * time.Millisecond
	announceTimeout = 2 * time.Second
	renewTimeout    = time.Second
	orderTimeout    = 2 * time.Second
	probeTimeout    = 500 * time.Millisecond
	heartbeatEvery  = time.Second
	maxAnswerBytes  = 16 << 20
	aloneAfter      = 5 * time.Second
	effectQueue     = 1024
	endedQueue      = 1024
)

// Config is the place of one side process.
type Config struct {
	Name             string
	Address          string
	Region           string
	FailureDomain    string
	FabricDomain     string
	ControlAddresses []string
	QueueSize        int
	DrainTimeout     time.Duration
	MaxRetainedBytes int // MaxRetainedBytes bounds the answers kept for re-attachment.
}

// Supervisor is one side process.
type Supervisor struct {
	cfg     Config
	log     *log.Logger
	health  *exposer.Health
	client  *transporter.Client
	oneShot *transporter.Client
	syncer  *syncer.Syncer
	token   admitter.Token
	began   time.Time
	effects chan any
	ended   chan string
	base    context.Context // base ends with Run and all calls to the endpoint with it.

	mu        sync.Mutex
	granter   *granter.Machine
	admitter  *admitter.Machine
	attempts  map[string]*attempt
	kept      []*attempt // kept holds the ended attempts whose answers are still here, the oldest first.
	keptBytes int
	announced messenger.Announcement
	announcer string // announcer is the remote address of the last announcement.
	heard     time.Duration
	first     time.Duration // first is the smoothed time to the first token.
	answers   []messenger.RenewAnswer
	retiring  bool
	stopping  bool // stopping is set when this process itself leaves.
}

// New returns a side process; Run starts it.
func New(cfg Config, logger *log.Logger, health *exposer.Health) *Supervisor {
	s := &Supervisor{
		cfg: cfg, log: logger, health: health, oneShot: transporter.NewOneShotClient(),
		token: admitter.NewToken(uuid.NewString()[:8]), began: time.Now(), effects: make(chan any, effectQueue),
		ended: make(chan string, endedQueue), attempts: map[string]*attempt{},
	}
	s.client = transporter.NewClient(transporter.WithLost(s.connectionLost))
	s.granter = granter.New(cfg.Name, 0, granter.WithDrain(cfg.DrainTimeout))
	s.admitter = admitter.New(admitter.WithQueue(cfg.QueueSize))
	s.syncer = syncer.New(syncer.Config{Name: cfg.Name, Controls: cfg.ControlAddresses}, s.status, s.configured)
	return s
}

// now returns the time since the start on the monotonic clock.
func (s *Supervisor) now() time.Duration { return time.Since(s.began) }

// Run drives the process until the context ends.
func (s *Supervisor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.base = ctx
	s.mu.Unlock()
	synced := make(chan error, 1)
	go func() { synced <- s.syncer.Run(ctx) }()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return <-synced
		case <-ticker.C:
			s.tick()
		case effect := <-s.effects:
			go s.execute(ctx, effect)
		case <-s.ended:
		}
	}
}

// Drain begins a planned stop and returns when nothing is left to lose or the
// context ends.
func (s *Supervisor) Drain(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	s.update(granter.LeaveMsg{})
	s.mu.Unlock()
	s.health.SetReady("not-draining", false)
	s.syncer.Poke()
	for {
		s.mu.Lock()
		idle := s.granter.Idle(s.now())
		s.mu.Unlock()
		if idle {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(tickEvery):
		}
	}
}

// Open returns how many attempts run, which a stop would cut.
func (s *Supervisor) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admitter.Running()
}

// tick passes time to the machines.
func (s *Supervisor) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.announced.Started != "" && now-s.heard > announceTimeout {
		s.log.Warn("endpoint silent", "endpoint", s.announced.Address)
		s.endpointLost()
	}
	age, heard := s.syncer.Age()
	s.update(granter.TickMsg{Alone: heard && age > aloneAfter})
	s.admit(admitter.TickMsg{})
	s.startWaiting()
}

// endpointLost notes that the endpoint is gone; mu is held.
func (s *Supervisor) endpointLost() {
	s.update(granter.EndpointMsg{})
	s.announced = messenger.Announcement{}
	s.health.SetReady("endpoint", false)
	s.syncer.Poke()
}

// update feeds the membership and executes its effects; mu is held.
func (s *Supervisor) update(msg granter.Msg) {
	now := s.now()
	for _, effect := range s.granter.Update(now, msg) {
		switch effect := effect.(type) {
		case granter.AnswerEffect:
			s.answers = append(s.answers, effect.Answer)
		case granter.CutEffect:
			s.cut(effect.Reason)
		case granter.DrainEffect:
			s.log.Info("draining", "running", s.admitter.Running())
			s.admit(admitter.CloseMsg{Reason: admitter.RefusedDraining})
		case granter.ServingEffect:
			s.serving(effect)
		case granter.RefreshEffect:
			s.syncer.Poke()
		default:
			s.queue(effect)
		}
	}
}

// queue hands an effect that calls another process to the loop; a full queue
// drops it, since all of them are repeated.
func (s *Supervisor) queue(effect any) {
	select {
	case s.effects <- effect:
	default:
	}
}

func (s *Supervisor) serving(effect granter.ServingEffect) {
	s.log.Info("group serving", "group", effect.Group, "epoch", effect.Epoch, "complete", effect.Complete)
	if effect.Complete {
		s.admit(admitter.OpenMsg{})
	} else {
		s.admit(admitter.CloseMsg{Reason: admitter.RefusedNotServing})
	}
	s.syncer.Poke()
}

// cut ends all running attempts with a reason; mu is held.
func (s *Supervisor) cut(reason string) {
	fingerprints := s.admitter.Fingerprints()
	replica := s.replica()
	for _, effect := range s.admitter.Update(s.now(), admitter.CutMsg{}) {
		abort, ok := effect.(admitter.AbortEffect)
		if !ok {
			continue
		}
		a := s.attempts[abort.ID]
		a.end(messenger.Frame{Verdict: "may-have-run", Kind: reason, Message: "the group can no longer serve", Replica: replica})
		a.cancel()
	}
	if reason == granter.ReasonEndpointDown && len(fingerprints) > 0 {
		s.queue(messenger.CrashRequest{Replica: replica, Fingerprints: fingerprints})
	}
	s.noteRunning()
}

// replica names the group's present incarnation, so that one crash counts
// once however often it is reported.
func (s *Supervisor) replica() string {
	lead, ok := s.granter.Leads()
	if !ok {
		lead = s.granter.Held()
	}
	return lead.Group + "#" + s.announced.Started
}

// admit feeds the admission and executes its effects; mu is held.
func (s *Supervisor) admit(msg admitter.Msg) (revoked admitter.RevokedEffect) {
	for _, effect := range s.admitter.Update(s.now(), msg) {
		switch effect := effect.(type) {
		case admitter.StartEffect:
			s.start(effect)
		case admitter.RefuseEffect:
			s.refuse(effect)
		case admitter.RevokedEffect:
			revoked = effect
		case admitter.ForgetEffect:
			s.forget(effect.ID)
		}
	}
	return revoked
}

// keep holds an ended attempt's answer for re-attachment. Beyond the bound the
// oldest answers go; who asks for one of them learns that it may have run.
func (s *Supervisor) keep(a *attempt) {
	s.kept = append(s.kept, a)
	s.keptBytes += a.size()
	for s.keptBytes > s.cfg.MaxRetainedBytes && len(s.kept) > 1 {
		s.forget(s.kept[0].request.Attempt)
	}
}

// forget drops an attempt's answer.
func (s *Supervisor) forget(id string) {
	delete(s.attempts, id)
	i := slices.IndexFunc(s.kept, func(a *attempt) bool { return a.request.Attempt == id })
	if i < 0 {
		return
	}
	s.keptBytes -= s.kept[i].size()
	s.kept = slices.Delete(s.kept, i, i+1)
}

func (s *Supervisor) refuse(effect admitter.RefuseEffect) {
	a, ok := s.attempts[effect.ID]
	if !ok {
		return
	}
	metrics.GetOrCreateCounter(`papayaseam_side_refused_total{kind="` + effect.Kind + `"}`).Inc()
	a.end(messenger.Frame{Verdict: "not-run", Kind: effect.Kind, Message: effect.Message, Load: s.load()})
	s.log.Info("attempt refused", "request", a.request.Request, "attempt", effect.ID, "kind", effect.Kind)
}

// startWaiting starts what fits, after checking the grants at this moment; mu
// is held.
func (s *Supervisor) startWaiting() {
	if !s.granter.MayDispatch(s.now()) {
		return
	}
	s.admit(admitter.StartMsg{})
	s.noteRunning()
}

func (s *Supervisor) noteRunning() {
	s.update(granter.RunningMsg{Count: s.admitter.Running()})
}

// configured takes newer configuration.
func (s *Supervisor) configured(response messenger.SyncResponse) {
	s.health.SetReady("synced", true)
	if len(response.Objects) == 0 && !response.Snapshot {
		return
	}
	assignment := s.assignment()
	limits := s.limits(assignment)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admit(limits)
	s.update(granter.ConfigMsg{Assignment: assignment})
	s.log.Debug("configured", "index", response.Index, "group", assignment.Group, "epoch", assignment.Spec.Epoch)
	s.syncer.Poke()
}

// assignment finds this instance's part in the newest configuration.
func (s *Supervisor) assignment() granter.Assignment {
	for _, object := range s.syncer.Objects(registrar.KindGroup) {
		if !object.Group.Active {
			continue
		}
		for rank, m := range object.Group.Members {
			if m.Instance == s.cfg.Name {
				return granter.Assignment{Group: object.Name, Spec: *object.Group, Rank: rank}
			}
		}
		for _, m := range object.Group.Standbys {
			if m.Instance == s.cfg.Name {
				return granter.Assignment{Group: object.Name, Spec: *object.Group, Rank: m.Rank, Standby: true}
			}
		}
	}
	return granter.Assignment{}
}

func (s *Supervisor) limits(assignment granter.Assignment) admitter.LimitsMsg {
	msg := admitter.LimitsMsg{Parallel: assignment.Spec.Parallel}
	for _, object := range s.syncer.Objects(registrar.KindOrganisation) {
		msg.Organisations = append(msg.Organisations, admitter.Organisation{
			Name: object.Name, Weight: object.Organisation.Weight, Parallel: object.Organisation.Parallel,
		})
	}
	for _, object := range s.syncer.Objects(registrar.KindHold) {
		if len(object.Hold.Replicas) >= registrar.HoldAfterCrashes {
			msg.Held = append(msg.Held, object.Name)
		}
	}
	return msg
}

// status reports this process to control.
func (s *Supervisor) status() messenger.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.granter.Held()
	return messenger.Status{
		Instance: s.cfg.Name, Role: "side", Incarnation: s.token.At(s.now()), Address: s.cfg.Address,
		Region: s.cfg.Region, FailureDomain: s.cfg.FailureDomain, FabricDomain: s.cfg.FabricDomain,
		ModelEngine: s.announced.ModelEngine, Service: s.announced.Service, EndpointUp: s.announced.Started != "",
		ChecksFencing: s.announced.ChecksFencing, Leaving: s.granter.Leaving(), Straggling: s.retiring,
		Group: held.Group, Epoch: held.Spec.Epoch, Rank: held.Rank, Loaded: s.announced.Loaded, StepMs: s.announced.StepMs, Load: s.load(),
	}
}

// load reports the group this instance leads; mu is held.
func (s *Supervisor) load() *messenger.GroupLoad {
	lead, ok := s.granter.Leads()
	if !ok {
		return nil
	}
	return &messenger.GroupLoad{
		Group: lead.Group, Epoch: lead.Spec.Epoch, Incarnation: s.token.At(s.now()), Ready: s.granter.Complete(s.now()),
		Draining: s.granter.Draining(), Running: s.admitter.Running(), Queued: s.admitter.Ahead(),
		Parallel: s.admitter.Parallel(), FirstTokenMs: int(s.first / time.Millisecond),
		ServiceMs: int(s.admitter.Service() / time.Millisecond),
	}
}
