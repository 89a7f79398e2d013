package supervisor

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"papayaseam/internal/admitter"
	"papayaseam/internal/granter"
	"papayaseam/internal/messenger"
	"papayaseam/internal/transporter"

	"github.com/VictoriaMetrics/metrics"
)

// Register adds the inner paths and the path of the endpoint's announcements.
func (s *Supervisor) Register(mux *http.ServeMux) {
	transporter.Handle(mux, "POST /inner/renew", s.renew)
	transporter.Handle(mux, "POST /inner/withdraw", s.withdraw)
	transporter.Handle(mux, "POST /inner/revoke", s.revoke)
	transporter.Handle(mux, "POST /inner/load", s.loadNow)
	mux.HandleFunc("POST /v1/announce", s.takeAnnouncement)
	mux.HandleFunc("POST /inner/attempt", s.attempt)
	mux.HandleFunc("POST /inner/attach", s.attach)
	mux.HandleFunc("POST /v1/retire", s.retire)
}

func (s *Supervisor) renew(_ context.Context, request messenger.RenewRequest) messenger.RenewAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = nil
	s.update(granter.RenewMsg{Request: request})
	return s.answers[0]
}

// loadNow answers an entry that is not sure whether there is room. Where this
// instance does not lead the group, it is reported as not ready.
func (s *Supervisor) loadNow(_ context.Context, request messenger.LoadRequest) messenger.GroupLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.load()
	if load == nil || load.Group != request.Group {
		return messenger.GroupLoad{Group: request.Group}
	}
	return *load
}

func (s *Supervisor) withdraw(_ context.Context, notice messenger.WithdrawNotice) struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(granter.WithdrawMsg{Notice: notice})
	return struct{}{}
}

// retire asks control to replace this instance before it is stopped.
func (s *Supervisor) retire(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.retiring = true
	held := s.granter.Assignment()
	s.mu.Unlock()
	s.syncer.Poke()
	transporter.Write(w, http.StatusOK, messenger.ProcessState{Instance: s.cfg.Name, Group: held.Group, Epoch: held.Spec.Epoch})
}

func (s *Supervisor) takeAnnouncement(w http.ResponseWriter, r *http.Request) {
	var announcement messenger.Announcement
	if !transporter.Read(w, r, &announcement) {
		return
	}
	answer := s.announce(r.Context(), announcement)
	s.mu.Lock()
	s.announcer = r.RemoteAddr
	s.mu.Unlock()
	transporter.Write(w, http.StatusOK, answer)
}

// ConnectionClosed looks after the endpoint when the connection closes over
// which it last announced itself: a process that dies closes it at once, long
// before an announcement is missed.
func (s *Supervisor) ConnectionClosed(remote string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if remote != s.announcer || s.announced.Started == "" {
		return
	}
	s.queue(probeEffect{address: s.announced.Address, started: s.announced.Started})
}

// announce takes what the endpoint says of itself. A changed incarnation means
// that the endpoint has crashed in between.
func (s *Supervisor) announce(_ context.Context, announcement messenger.Announcement) messenger.AnnouncementAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.announced
	if before.Started != "" && before.Started != announcement.Started {
		s.log.Warn("endpoint restarted", "endpoint", announcement.Address)
		s.update(granter.EndpointMsg{})
	}
	s.heard = s.now()
	s.announced = announcement
	s.noteLeaving()
	s.health.SetReady("endpoint", true)
	s.update(granter.EndpointMsg{Endpoint: granter.Endpoint{
		Up: true, Incarnation: announcement.Started, Loaded: announcement.Loaded, FencingNumber: announcement.FencingNumber,
	}})
	if before.Loaded != announcement.Loaded || before.Started != announcement.Started {
		s.syncer.Poke()
	}
	return messenger.AnnouncementAnswer{EveryMs: int(announceEvery / time.Millisecond)}
}

// noteLeaving starts a planned stop when the endpoint says that it leaves, and
// ends it when another incarnation of the endpoint has come; mu is held.
func (s *Supervisor) noteLeaving() {
	leaving := s.stopping || s.announced.Leaving
	switch {
	case leaving && !s.granter.Leaving():
		s.log.Info("endpoint leaving", "endpoint", s.announced.Address)
		s.update(granter.LeaveMsg{})
		s.syncer.Poke()
	case !leaving && s.granter.Leaving():
		s.update(granter.CancelLeaveMsg{})
		s.syncer.Poke()
	}
}

// revoke answers whether an attempt is certain not to have run, and makes sure
// that it never will.
func (s *Supervisor) revoke(_ context.Context, request messenger.RevokeRequest) messenger.RevokeAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	remembered := s.token.WithinRetention(request.Incarnation, now, s.admitter.Retention())
	revoked := s.admit(admitter.RevokeMsg{ID: request.Attempt, WithinRetention: remembered})
	if request.Cancel && revoked.State == admitter.Running {
		s.cancel(request.Attempt)
	}
	return messenger.RevokeAnswer{NotRun: revoked.NotRun, State: string(revoked.State)}
}

// cancel ends a running attempt whose caller has left; mu is held.
func (s *Supervisor) cancel(id string) {
	a := s.attempts[id]
	a.end(messenger.Frame{Verdict: "may-have-run", Kind: "cancelled", Message: "the caller left"})
	a.cancel()
}

// attempt takes a new attempt and streams its answer.
func (s *Supervisor) attempt(w http.ResponseWriter, r *http.Request) {
	var request messenger.AttemptRequest
	if !transporter.Read(w, r, &request) {
		return
	}
	s.stream(w, r, s.submit(request), 0)
}

// submit offers an attempt to the admission and returns its record. One that
// came too late, or for another group or epoch, is refused and never runs.
func (s *Supervisor) submit(request messenger.AttemptRequest) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	metrics.GetOrCreateCounter("papayaseam_side_attempts_total").Inc()
	if known, ok := s.attempts[request.Attempt]; ok {
		return known
	}
	a := newAttempt(request)
	now := s.now()
	if request.Index > s.syncer.Index() {
		s.syncer.Poke()
	}
	if kind := s.misdirected(request, now); kind != "" {
		a.end(messenger.Frame{Verdict: "not-run", Kind: kind, Message: "the group's leader refused the attempt; try again elsewhere", Load: s.load(), Index: s.syncer.Index()})
		return a
	}
	deadline := time.Duration(0)
	if request.DeadlineMs > 0 {
		deadline = now + time.Duration(request.DeadlineMs)*time.Millisecond
	}
	if s.admitter.State(request.Attempt) == admitter.Unknown {
		s.attempts[request.Attempt] = a
	}
	s.admit(admitter.SubmitMsg{Attempt: admitter.Attempt{
		ID: request.Attempt, Organisation: request.Organisation, Fingerprint: request.Fingerprint,
		Priority: request.Priority, Deadline: deadline, Suspect: request.Suspect,
	}})
	if _, taken := s.attempts[request.Attempt]; !taken {
		a.end(s.verdictOfKnown(request.Attempt))
	}
	s.startWaiting()
	return a
}

// verdictOfKnown tells what became of an attempt whose record is gone: one that
// was refused never runs, any other may have run; mu is held.
func (s *Supervisor) verdictOfKnown(id string) messenger.Frame {
	if s.admitter.State(id) == admitter.Refused {
		return messenger.Frame{Verdict: "not-run", Kind: admitter.RefusedRevoked, Message: "the attempt was revoked"}
	}
	return messenger.Frame{Verdict: "may-have-run", Kind: "answer-forgotten", Message: "the answer is no longer kept"}
}

// misdirected returns why an attempt is not for this leader now; mu is held.
func (s *Supervisor) misdirected(request messenger.AttemptRequest, now time.Duration) string {
	lead, ok := s.granter.LedAssignment()
	switch {
	case !ok || lead.Group != request.Group || lead.Spec.Epoch != request.Epoch:
		return "wrong-epoch"
	case !s.token.Accepts(request.Incarnation, now):
		return admitter.RefusedStaleToken
	}
	return ""
}

// attach streams a known attempt's answer from an offset.
func (s *Supervisor) attach(w http.ResponseWriter, r *http.Request) {
	var request messenger.AttachRequest
	if !transporter.Read(w, r, &request) {
		return
	}
	s.mu.Lock()
	a, ok := s.attempts[request.Attempt]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "the attempt is not known here", http.StatusNotFound)
		return
	}
	s.stream(w, r, a, request.Offset)
}

// stream writes frames as JSON lines, with an empty one at a fixed pace so
// that silence can be told from waiting.
func (s *Supervisor) stream(w http.ResponseWriter, r *http.Request, a *attempt, offset int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	heartbeat := time.NewTicker(heartbeatEvery)
	defer heartbeat.Stop()
	begun := false
	for {
		frames, changed := a.next(offset, begun)
		for _, frame := range frames {
			if encoder.Encode(frame) != nil {
				return
			}
			begun = begun || frame.Status > 0
			offset += len(frame.Data)
			if frame.Final {
				_ = controller.Flush()
				return
			}
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if encoder.Encode(messenger.Frame{Attempt: a.request.Attempt, Offset: offset}) != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}
