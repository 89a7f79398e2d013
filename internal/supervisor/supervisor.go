// Package supervisor implements the side role: the process that runs next to
// one endpoint. It grants the instance's leases to its group's leader and sends
// orders to the endpoint. On the group's leader it also admits attempts,
// dispatches them to the endpoint and retains their responses, so that a client
// can attach to an attempt again.
//
// # Usage
//
//	s := supervisor.New(cfg, logger, health)
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
	tickInterval          = 50 * time.Millisecond
	announceInterval      = 500 * time.Millisecond
	announceTimeout       = 2 * time.Second
	renewTimeout          = time.Second
	orderTimeout          = 2 * time.Second
	probeTimeout          = 500 * time.Millisecond
	heartbeatInterval     = time.Second
	maxResponseBytes      = 16 << 20
	responsePoolBytes     = 2 * maxResponseBytes // responsePoolBytes bounds the responses of running attempts together.
	controlSilenceTimeout = 5 * time.Second      // controlSilenceTimeout is how long control may be silent before this process counts as isolated.
	returnNoticeTries     = 30
	effectQueueSize       = 1024
	endedQueueSize        = 1024
)

// Config configures one side process.
type Config struct {
	Name             string
	Address          string
	Region           string
	FailureDomain    string
	FabricDomain     string
	ControlAddresses []string
	QueueSize        int
	DrainTimeout     time.Duration
	MaxRetainedBytes int                 // MaxRetainedBytes bounds the requests and responses of ended attempts that clients can still attach to.
	Limits           *transporter.Limits // Limits bounds what requests and responses hold together; nil for no bound.
}

// Supervisor is one side process. It is safe for concurrent use.
type Supervisor struct {
	cfg           Config
	log           *log.Logger
	health        *exposer.Health
	client        *transporter.Client
	oneShotClient *transporter.Client
	syncer        *syncer.Syncer
	tokenIssuer   admitter.TokenIssuer
	startTime     time.Time
	effects       chan any        // effects queues the effects that call another process.
	ended         chan string     // ended receives the ID of each ended attempt, and "effect" for each executed effect.
	baseCtx       context.Context // baseCtx is the parent context of all calls to the endpoint; it is cancelled when Run returns.

	mu               sync.Mutex
	granter          *granter.Machine
	admitter         *admitter.Machine
	attempts         map[string]*attempt
	responses        *transporter.Pool
	retained         []*attempt // retained holds the ended attempts whose responses are still available, oldest first.
	retainedBytes    int
	announcement     messenger.Announcement  // announcement is the endpoint's last one; it is empty while the endpoint is down.
	announcerAddress string                  // announcerAddress is the remote address of the connection that carried the last announcement.
	announcedAt      time.Duration           // announcedAt is when the last announcement arrived, as returned by now.
	suspicions       []*suspicion            // suspicions holds the reported crashes that are not proven, oldest first.
	acquitting       bool                    // acquitting is set while disproved suspicions are being taken back.
	firstTokenTime   time.Duration           // firstTokenTime is the moving average of the time to the first token.
	renewAnswers     []messenger.RenewAnswer // renewAnswers collects the answers to the renewal being handled.
	retiring         bool                    // retiring is set once an operator has asked to replace this instance.
	stopping         bool                    // stopping is set once this process is shutting down.
}

// New returns a side process. Run starts it.
func New(cfg Config, logger *log.Logger, health *exposer.Health) *Supervisor {
	s := &Supervisor{
		cfg: cfg, log: logger, health: health, oneShotClient: transporter.NewOneShotClient(),
		tokenIssuer: admitter.NewTokenIssuer(uuid.NewString()[:8]), startTime: time.Now(), effects: make(chan any, effectQueueSize),
		ended: make(chan string, endedQueueSize), attempts: map[string]*attempt{}, responses: cfg.Limits.Pool(responsePoolBytes),
	}
	s.client = transporter.NewClient(transporter.WithLost(s.enqueueConnectionLost))
	s.granter = granter.New(cfg.Name, 0, granter.WithDrain(cfg.DrainTimeout))
	s.admitter = admitter.New(admitter.WithQueueLimit(cfg.QueueSize))
	s.syncer = syncer.New(syncer.Config{Name: cfg.Name, Controls: cfg.ControlAddresses}, s.status, s.applyConfiguration)
	return s
}

// now returns the time since the process started, on the monotonic clock.
func (s *Supervisor) now() time.Duration { return time.Since(s.startTime) }

// Run drives the process until ctx is cancelled, and returns the error of the
// configuration sync.
func (s *Supervisor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.baseCtx = ctx
	s.mu.Unlock()
	syncDone := make(chan error, 1)
	go func() { syncDone <- s.syncer.Run(ctx) }()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return <-syncDone
		case <-ticker.C:
			s.tick()
		case effect := <-s.effects:
			go s.execute(ctx, effect)
		case <-s.ended:
		}
	}
}

// Drain starts a planned shutdown. It returns when no lease that the instance has
// granted is outstanding and it leads no group, or when ctx is cancelled.
func (s *Supervisor) Drain(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	s.updateMembership(granter.LeaveMsg{})
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
		case <-time.After(tickInterval):
		}
	}
}

// Open returns the number of running attempts, which stopping now would abort.
func (s *Supervisor) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admitter.Running()
}

// tick advances the membership and admission state machines.
func (s *Supervisor) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.announcement.Started != "" && now-s.announcedAt > announceTimeout {
		s.log.Warn("endpoint missed its announcements", "endpoint", s.announcement.Address)
		s.markEndpointLost()
	}
	sinceSync, synced := s.syncer.Age()
	s.updateMembership(granter.TickMsg{ControlUnreachable: synced && sinceSync > controlSilenceTimeout})
	s.updateAdmission(admitter.TickMsg{})
	s.dispatchWaiting()
}

// markEndpointLost records that the endpoint is down. The caller must hold mu.
func (s *Supervisor) markEndpointLost() {
	s.updateMembership(granter.EndpointMsg{})
	s.announcement = messenger.Announcement{}
	s.health.SetReady("endpoint", false)
	s.syncer.Poke()
}

// updateMembership passes msg to the membership state machine and executes the
// effects. The caller must hold mu.
func (s *Supervisor) updateMembership(msg granter.Msg) {
	now := s.now()
	for _, effect := range s.granter.Update(now, msg) {
		switch effect := effect.(type) {
		case granter.AnswerEffect:
			s.renewAnswers = append(s.renewAnswers, effect.Answer)
		case granter.AbortEffect:
			s.abortRunning(effect)
		case granter.DrainEffect:
			s.log.Info("draining running attempts", "running", s.admitter.Running())
			s.updateAdmission(admitter.CloseMsg{Reason: admitter.RefusedDraining})
		case granter.ServingEffect:
			s.setServing(effect)
		case granter.RefreshConfigEffect:
			s.syncer.Poke()
		default:
			s.enqueueEffect(effect)
		}
	}
}

// enqueueEffect leaves an effect that calls another process to Run. If the queue
// is full, the effect is dropped, because all such effects are repeated.
func (s *Supervisor) enqueueEffect(effect any) {
	select {
	case s.effects <- effect:
	default:
	}
}

// setServing opens or closes admission as the group becomes complete or
// incomplete. The caller must hold mu.
func (s *Supervisor) setServing(effect granter.ServingEffect) {
	s.log.Info("group serving state changed", "group", effect.Group, "epoch", effect.Epoch, "complete", effect.Complete)
	if effect.Complete {
		s.updateAdmission(admitter.OpenMsg{})
	} else {
		s.updateAdmission(admitter.CloseMsg{Reason: admitter.RefusedNotServing})
	}
	s.syncer.Poke()
}

// updateAdmission passes msg to the admission state machine and executes the
// effects. It returns the answer to a RevokeMsg. The caller must hold mu.
func (s *Supervisor) updateAdmission(msg admitter.Msg) (revoked admitter.RevokedEffect) {
	for _, effect := range s.admitter.Update(s.now(), msg) {
		switch effect := effect.(type) {
		case admitter.StartEffect:
			s.startAttempt(effect)
		case admitter.RefuseEffect:
			s.refuseAttempt(effect)
		case admitter.RevokedEffect:
			revoked = effect
		case admitter.EvictEffect:
			s.forgetAttempt(effect.ID)
		}
	}
	return revoked
}

// retainResponse keeps the response of an ended attempt so that clients can
// attach to it again. Above Config.MaxRetainedBytes the oldest responses are
// dropped, but never the newest. A client that submits a dropped attempt again is
// told that it may have run. The caller must hold mu.
func (s *Supervisor) retainResponse(a *attempt) {
	s.retained = append(s.retained, a)
	s.retainedBytes += a.size()
	for s.retainedBytes > s.cfg.MaxRetainedBytes && len(s.retained) > 1 {
		s.forgetAttempt(s.retained[0].request.Attempt)
	}
}

// forgetAttempt drops an attempt and its response. The caller must hold mu.
func (s *Supervisor) forgetAttempt(id string) {
	delete(s.attempts, id)
	i := slices.IndexFunc(s.retained, func(a *attempt) bool { return a.request.Attempt == id })
	if i < 0 {
		return
	}
	s.retainedBytes -= s.retained[i].size()
	s.retained = slices.Delete(s.retained, i, i+1)
}

// refuseAttempt ends an attempt that was never started. The caller must hold mu.
func (s *Supervisor) refuseAttempt(effect admitter.RefuseEffect) {
	a, ok := s.attempts[effect.ID]
	if !ok {
		return
	}
	metrics.GetOrCreateCounter(`papayaseam_side_refused_total{kind="` + effect.Kind + `"}`).Inc()
	a.finish(messenger.Frame{Verdict: "not-run", Kind: effect.Kind, Message: effect.Message, Load: s.groupLoad()})
	s.log.Info("attempt refused", "request", a.request.Request, "attempt", effect.ID, "kind", effect.Kind)
}

// dispatchWaiting starts the waiting attempts for which there is capacity. It
// checks the members' leases right before, since they may have expired. The
// caller must hold mu.
func (s *Supervisor) dispatchWaiting() {
	if !s.granter.MayDispatch(s.now()) {
		return
	}
	s.updateAdmission(admitter.StartMsg{})
	s.reportRunning()
}

// reportRunning passes the number of running attempts to the membership state
// machine. The caller must hold mu.
func (s *Supervisor) reportRunning() {
	s.updateMembership(granter.RunningCountMsg{Count: s.admitter.Running()})
}

// applyConfiguration applies a sync response that carries newer configuration.
func (s *Supervisor) applyConfiguration(response messenger.SyncResponse) {
	s.health.SetReady("synced", true)
	if len(response.Objects) == 0 && !response.Snapshot {
		return
	}
	assignment := s.assignment()
	limits := s.admissionLimits(assignment)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateAdmission(limits)
	s.updateMembership(granter.ConfigMsg{Assignment: assignment})
	s.log.Debug("applied configuration", "index", response.Index, "group", assignment.Group, "epoch", assignment.Spec.Epoch)
	s.syncer.Poke()
}

// assignment returns this instance's group and rank in the newest configuration,
// or an empty assignment if it belongs to no active group.
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

// admissionLimits returns the admission limits of the newest configuration,
// including the fingerprints that are held back because replicas crashed while
// they ran.
func (s *Supervisor) admissionLimits(assignment granter.Assignment) admitter.LimitsMsg {
	msg := admitter.LimitsMsg{ConcurrencyLimit: assignment.Spec.Parallel}
	for _, object := range s.syncer.Objects(registrar.KindOrganisation) {
		msg.Organisations = append(msg.Organisations, admitter.Organisation{
			Name: object.Name, Weight: object.Organisation.Weight, ConcurrencyLimit: object.Organisation.Parallel,
		})
	}
	for _, object := range s.syncer.Objects(registrar.KindHold) {
		if len(object.Hold.Replicas) >= registrar.HoldAfterCrashes {
			msg.HeldFingerprints = append(msg.HeldFingerprints, object.Name)
		}
	}
	return msg
}

// status returns the status that is sent to the control processes.
func (s *Supervisor) status() messenger.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	assignment := s.granter.Assignment()
	return messenger.Status{
		Instance: s.cfg.Name, Role: "side", Incarnation: s.tokenIssuer.TokenAt(s.now()), Address: s.cfg.Address,
		Region: s.cfg.Region, FailureDomain: s.cfg.FailureDomain, FabricDomain: s.cfg.FabricDomain,
		ModelEngine: s.announcement.ModelEngine, Service: s.announcement.Service, EndpointUp: s.announcement.Started != "",
		ChecksFencing: s.announcement.ChecksFencing, Leaving: s.granter.Leaving(), Straggling: s.retiring,
		Group: assignment.Group, Epoch: assignment.Spec.Epoch, Rank: assignment.Rank, Loaded: s.announcement.Loaded, StepMs: s.announcement.StepMs, Load: s.groupLoad(),
	}
}

// groupLoad returns the load of the group that this instance leads, or nil if it
// leads none. The caller must hold mu.
func (s *Supervisor) groupLoad() *messenger.GroupLoad {
	assignment, ok := s.granter.LedAssignment()
	if !ok {
		return nil
	}
	return &messenger.GroupLoad{
		Group: assignment.Group, Epoch: assignment.Spec.Epoch, Incarnation: s.tokenIssuer.TokenAt(s.now()), Ready: s.granter.Complete(s.now()),
		Draining: s.granter.Draining(), Running: s.admitter.Running(), Queued: s.admitter.QueuedAhead(),
		Parallel: s.admitter.ConcurrencyLimit(), FirstTokenMs: int(s.firstTokenTime / time.Millisecond),
		ServiceMs: int(s.admitter.ServiceTime() / time.Millisecond),
	}
}
