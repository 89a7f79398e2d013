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

// Register registers the handlers for other processes of the system, for the
// endpoint's announcements and for the retire command.
func (s *Supervisor) Register(mux *http.ServeMux) {
	transporter.Handle(mux, "POST /inner/renew", s.handleRenew)
	transporter.Handle(mux, "POST /inner/withdraw", s.handleWithdraw)
	transporter.Handle(mux, "POST /inner/revoke", s.handleRevoke)
	transporter.Handle(mux, "POST /inner/load", s.handleLoad)
	mux.HandleFunc("POST /v1/announce", s.handleAnnouncement)
	mux.HandleFunc("POST /inner/attempt", s.handleAttempt)
	mux.HandleFunc("POST /inner/attach", s.handleAttach)
	mux.HandleFunc("POST /v1/retire", s.handleRetire)
}

// handleRenew answers a leader that asks to renew the lease that this instance
// grants to it.
func (s *Supervisor) handleRenew(_ context.Context, request messenger.RenewRequest) messenger.RenewAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewAnswers = nil
	s.updateMembership(granter.RenewMsg{Request: request})
	return s.renewAnswers[0]
}

// handleLoad returns the group's current load to an entry that doesn't know
// whether the group has free capacity. If this instance doesn't lead the group,
// it reports the group as not ready.
func (s *Supervisor) handleLoad(_ context.Context, request messenger.LoadRequest) messenger.GroupLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.groupLoad()
	if load == nil || load.Group != request.Group {
		return messenger.GroupLoad{Group: request.Group}
	}
	return *load
}

// handleWithdraw handles a member's notice that it withdraws its lease, or that the
// endpoint it lost has returned.
func (s *Supervisor) handleWithdraw(_ context.Context, notice messenger.WithdrawNotice) struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateMembership(granter.WithdrawMsg{Notice: notice})
	if notice.Reason == granter.ReasonEndpointReturned {
		s.memberReturned(notice)
	}
	return struct{}{}
}

// handleRetire asks the control processes to replace this instance before it is
// stopped.
func (s *Supervisor) handleRetire(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.retiring = true
	assignment := s.granter.Assignment()
	s.mu.Unlock()
	s.syncer.Poke()
	transporter.Write(w, http.StatusOK, messenger.ProcessState{Instance: s.cfg.Name, Group: assignment.Group, Epoch: assignment.Spec.Epoch})
}

// handleAnnouncement handles an announcement of the endpoint and remembers the
// connection that carried it.
func (s *Supervisor) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	var announcement messenger.Announcement
	if !transporter.Read(w, r, &announcement) {
		return
	}
	answer := s.applyAnnouncement(r.Context(), announcement)
	s.mu.Lock()
	s.announcerAddress = r.RemoteAddr
	s.mu.Unlock()
	transporter.Write(w, http.StatusOK, answer)
}

// ConnectionClosed must be called when an incoming connection from the given
// remote address closes. If the endpoint sent its last announcement over that
// connection, the endpoint is probed: a process that dies closes its connections
// at once, long before an announcement is missed.
func (s *Supervisor) ConnectionClosed(remoteAddress string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if remoteAddress != s.announcerAddress || s.announcement.Started == "" {
		return
	}
	s.enqueueEffect(probeEffect{address: s.announcement.Address, incarnation: s.announcement.Started})
}

// applyAnnouncement records the state that the endpoint announces. A changed
// incarnation means that the endpoint has crashed since its last announcement.
func (s *Supervisor) applyAnnouncement(_ context.Context, announcement messenger.Announcement) messenger.AnnouncementAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.announcement
	if previous.Started != "" && previous.Started != announcement.Started {
		s.log.Warn("endpoint restarted", "endpoint", announcement.Address)
		s.updateMembership(granter.EndpointMsg{})
	}
	s.announcedAt = s.now()
	s.announcement = announcement
	s.resolveSuspicions(announcement.Started)
	s.updateLeaving()
	s.health.SetReady("endpoint", true)
	s.updateMembership(granter.EndpointMsg{Endpoint: granter.Endpoint{
		Up: true, Incarnation: announcement.Started, Loaded: announcement.Loaded, FencingNumber: announcement.FencingNumber,
	}})
	if previous.Loaded != announcement.Loaded || previous.Started != announcement.Started {
		s.syncer.Poke()
	}
	return messenger.AnnouncementAnswer{EveryMs: int(announceInterval / time.Millisecond)}
}

// updateLeaving starts a planned shutdown of the instance when the endpoint
// announces that it is leaving. It cancels the shutdown when a new incarnation of
// the endpoint announces itself. The caller must hold mu.
func (s *Supervisor) updateLeaving() {
	leaving := s.stopping || s.announcement.Leaving
	switch {
	case leaving && !s.granter.Leaving():
		s.log.Info("instance is leaving", "endpoint", s.announcement.Address)
		s.updateMembership(granter.LeaveMsg{})
		s.syncer.Poke()
	case !leaving && s.granter.Leaving():
		s.updateMembership(granter.CancelLeaveMsg{})
		s.syncer.Poke()
	}
}

// handleRevoke reports whether an attempt is certain not to have run, and ensures
// that an attempt which has not started never will.
func (s *Supervisor) handleRevoke(_ context.Context, request messenger.RevokeRequest) messenger.RevokeAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	withinRetention := s.tokenIssuer.WithinRetention(request.Incarnation, now, s.admitter.Retention())
	revoked := s.updateAdmission(admitter.RevokeMsg{ID: request.Attempt, WithinRetention: withinRetention})
	if request.Cancel && revoked.State == admitter.Running {
		s.cancelAttempt(request.Attempt)
	}
	return messenger.RevokeAnswer{NotRun: revoked.NotRun, State: string(revoked.State)}
}

// cancelAttempt aborts a running attempt whose client has disconnected. The
// caller must hold mu.
func (s *Supervisor) cancelAttempt(id string) {
	a := s.attempts[id]
	a.finish(messenger.Frame{Verdict: "may-have-run", Kind: "cancelled", Message: "the caller left"})
	a.cancel()
}

// handleAttempt submits a new attempt and streams its response.
func (s *Supervisor) handleAttempt(w http.ResponseWriter, r *http.Request) {
	var request messenger.AttemptRequest
	if !transporter.ReadHeld(w, r, &request) {
		return
	}
	s.streamFrames(w, r, s.submit(request), 0)
}

// submit passes an attempt to admission and returns its record. An attempt whose
// token has expired, or that is meant for another group or epoch, is refused and
// never runs.
func (s *Supervisor) submit(request messenger.AttemptRequest) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	metrics.GetOrCreateCounter("papayaseam_side_attempts_total").Inc()
	if known, ok := s.attempts[request.Attempt]; ok {
		return known
	}
	a := newAttempt(request, s.responses)
	now := s.now()
	if request.Index > s.syncer.Index() {
		s.syncer.Poke()
	}
	if kind := s.misdirectedKind(request, now); kind != "" {
		a.finish(messenger.Frame{Verdict: "not-run", Kind: kind, Message: "the group's leader refused the attempt; try again elsewhere", Load: s.groupLoad(), Index: s.syncer.Index()})
		return a
	}
	deadline := time.Duration(0)
	if request.DeadlineMs > 0 {
		deadline = now + time.Duration(request.DeadlineMs)*time.Millisecond
	}
	if s.admitter.State(request.Attempt) == admitter.Unknown {
		s.attempts[request.Attempt] = a
	}
	s.updateAdmission(admitter.SubmitMsg{Attempt: admitter.Attempt{
		ID: request.Attempt, Organisation: request.Organisation, Fingerprint: request.Fingerprint,
		Priority: request.Priority, Deadline: deadline, Suspect: request.Suspect,
	}})
	if _, recorded := s.attempts[request.Attempt]; !recorded {
		a.finish(s.verdictWithoutRecord(request.Attempt))
	}
	s.dispatchWaiting()
	return a
}

// verdictWithoutRecord returns the final frame of an attempt whose record is gone:
// a refused attempt never runs, any other may have run. The caller must hold mu.
func (s *Supervisor) verdictWithoutRecord(id string) messenger.Frame {
	if s.admitter.State(id) == admitter.Refused {
		return messenger.Frame{Verdict: "not-run", Kind: admitter.RefusedRevoked, Message: "the attempt was revoked"}
	}
	return messenger.Frame{Verdict: "may-have-run", Kind: "answer-forgotten", Message: "the answer is no longer kept"}
}

// misdirectedKind returns the kind of refusal if this instance doesn't lead the
// attempt's group and epoch or the attempt's token is stale, else an empty string.
// The caller must hold mu.
func (s *Supervisor) misdirectedKind(request messenger.AttemptRequest, now time.Duration) string {
	assignment, ok := s.granter.LedAssignment()
	switch {
	case !ok || assignment.Group != request.Group || assignment.Spec.Epoch != request.Epoch:
		return "wrong-epoch"
	case !s.tokenIssuer.Accepts(request.Incarnation, now):
		return admitter.RefusedStaleToken
	}
	return ""
}

// handleAttach streams the response of a recorded attempt from an offset.
func (s *Supervisor) handleAttach(w http.ResponseWriter, r *http.Request) {
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
	s.streamFrames(w, r, a, request.Offset)
}

// streamFrames writes an attempt's frames as JSON lines, from a byte offset of the
// response body to the final frame. It sends an empty frame as heartbeat at a fixed
// interval, so that the reader can tell a slow attempt from a lost connection.
func (s *Supervisor) streamFrames(w http.ResponseWriter, r *http.Request, a *attempt, offset int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	headerSent := false
	for {
		frames, changed := a.framesFrom(offset, headerSent)
		for _, frame := range frames {
			if encoder.Encode(frame) != nil {
				return
			}
			headerSent = headerSent || frame.Status > 0
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
