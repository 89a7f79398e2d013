package supervisor

import (
	"context"
	"slices"

	"papayaseam/internal/admitter"
	"papayaseam/internal/granter"
	"papayaseam/internal/messenger"
	"papayaseam/internal/registrar"
)

// maxSuspicions bounds the suspicions that are kept; the oldest are dropped.
const maxSuspicions = 256

// suspicion is a crash that was reported without a proof: a member's endpoint was lost,
// but no other incarnation of it has answered.
type suspicion struct {
	instance    string
	incarnation string // incarnation is set if the instance is this one.
	epoch       int
	crash       messenger.CrashRequest
	disproved   bool // disproved is set once the same incarnation has announced itself again.
}

// acquitEffect takes back the reports of all disproved suspicions.
type acquitEffect struct{}

// abortRunning aborts all running attempts. The caller must hold mu.
func (s *Supervisor) abortRunning(abortAll granter.AbortEffect) {
	fingerprints := s.admitter.Fingerprints()
	replica := s.replicaID()
	for _, effect := range s.admitter.Update(s.now(), admitter.AbortAllMsg{}) {
		abort, ok := effect.(admitter.AbortEffect)
		if !ok {
			continue
		}
		a := s.attempts[abort.ID]
		a.finish(messenger.Frame{Verdict: "may-have-run", Kind: abortAll.Reason, Message: "the group can no longer serve", Replica: replica})
		a.cancel()
	}
	if abortAll.Reason == granter.ReasonEndpointDown && len(fingerprints) > 0 {
		crash := messenger.CrashRequest{Replica: replica, Fingerprints: fingerprints}
		if abortAll.Lost == "" {
			s.enqueueEffect(crash)
		} else {
			s.reportLoss(s.newSuspicion(abortAll.Lost, crash))
		}
	}
	s.reportRunning()
}

// replicaID identifies the current incarnation of the group's replica, so that a
// crash which is reported several times counts once. The caller must hold mu.
func (s *Supervisor) replicaID() string {
	assignment, ok := s.granter.LedAssignment()
	if !ok {
		assignment = s.granter.Assignment()
	}
	return assignment.Group + "#" + s.announcement.Started
}

// newSuspicion returns the suspicion that follows from the loss of a member's endpoint
// in the current epoch. The caller must hold mu.
func (s *Supervisor) newSuspicion(instance string, crash messenger.CrashRequest) *suspicion {
	open := &suspicion{instance: instance, crash: crash}
	if instance == s.cfg.Name {
		open.incarnation = s.announcement.Started
	}
	if assignment, ok := s.granter.LedAssignment(); ok {
		open.epoch = assignment.Spec.Epoch
	}
	return open
}

// reportLoss reports fingerprints that ran when an endpoint was lost. The report
// precedes any proof, so that a request that crashes endpoints reaches no further one
// in the meantime. The caller must hold mu.
func (s *Supervisor) reportLoss(open *suspicion) {
	s.suspicions = append(s.suspicions, open)
	s.suspicions = s.suspicions[max(0, len(s.suspicions)-maxSuspicions):]
	s.enqueueEffect(open.crash)
}

// resolveSuspicions settles the suspicions about the endpoint when it announces itself.
// Another incarnation proves that the earlier one has ended, the same one disproves it.
// It is called with each announcement, which also repeats a failed acquittal. The caller
// must hold mu.
func (s *Supervisor) resolveSuspicions(incarnation string) {
	s.suspicions = slices.DeleteFunc(s.suspicions, func(open *suspicion) bool {
		own := open.instance == s.cfg.Name
		open.disproved = open.disproved || (own && open.incarnation == incarnation)
		return own && !open.disproved
	})
	s.acquitDisproved()
}

// memberReturned disproves the suspicions about a member's endpoint in an epoch. The
// caller must hold mu.
func (s *Supervisor) memberReturned(notice messenger.WithdrawNotice) {
	for _, open := range s.suspicions {
		open.disproved = open.disproved || (open.instance == notice.Instance && open.epoch == notice.Epoch)
	}
	s.acquitDisproved()
}

// acquitDisproved starts to take back the disproved suspicions, if there are any. The
// caller must hold mu.
func (s *Supervisor) acquitDisproved() {
	if !s.acquitting && slices.ContainsFunc(s.suspicions, func(open *suspicion) bool { return open.disproved }) {
		s.enqueueEffect(acquitEffect{})
	}
}

// acquit asks control to take back the reports of the disproved suspicions, and forgets
// those that it took back.
func (s *Supervisor) acquit(ctx context.Context) {
	s.mu.Lock()
	if s.acquitting {
		s.mu.Unlock()
		return
	}
	s.acquitting = true
	disproved := slices.DeleteFunc(slices.Clone(s.suspicions), func(open *suspicion) bool { return !open.disproved })
	s.mu.Unlock()
	var settled []*suspicion
	for _, open := range disproved {
		if s.commitCrash(ctx, registrar.CommandAcquit, open.crash) {
			s.log.Info("took back crash report: the endpoint has returned", "replica", open.crash.Replica, "fingerprints", len(open.crash.Fingerprints))
			settled = append(settled, open)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acquitting = false
	s.suspicions = slices.DeleteFunc(s.suspicions, func(open *suspicion) bool { return slices.Contains(settled, open) })
}

// reportCrash reports a crash to control.
func (s *Supervisor) reportCrash(ctx context.Context, crash messenger.CrashRequest) {
	if s.commitCrash(ctx, registrar.CommandCrash, crash) {
		s.log.Warn("reported replica crash to control process", "replica", crash.Replica, "fingerprints", len(crash.Fingerprints))
	}
}

// commitCrash sends a command about a crash to the control processes in turn until one
// accepts it, and returns false if none does.
func (s *Supervisor) commitCrash(ctx context.Context, kind string, crash messenger.CrashRequest) bool {
	for _, address := range s.cfg.ControlAddresses {
		var answer messenger.CommandAnswer
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := s.client.Call(callCtx, "http://"+address+"/inner/command", messenger.Command{Kind: kind, Crash: &crash}, &answer)
		cancel()
		if err == nil && answer.Crash != nil {
			return true
		}
	}
	return false
}
