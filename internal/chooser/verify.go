package chooser

import (
	"cmp"
	"maps"
	"time"
)

const (
	// firstCheck is how long after a check that failed the next one is due at first. It
	// doubles up to maxCheck, at which an endpoint that has returned is found sooner than
	// it would be tried again after refused attempts.
	firstCheck = 50 * time.Millisecond
	maxCheck   = time.Second
	// checkLimit is when a check that has not ended counts as failed.
	checkLimit = time.Second
)

// BrokenMsg records that an endpoint of a service that limits cold endpoints did not
// answer, or broke a connection. It may have been restarted, and gets no requests until
// a check tells for how long it is cold: the view may lag behind, or the entry may not
// reach control.
type BrokenMsg struct {
	Now      time.Duration
	ID       string
	BootTime int
}

// CheckedMsg carries the result of a check of an endpoint's health.
type CheckedMsg struct {
	Now       time.Duration
	StartedAt time.Duration // StartedAt is when the check was begun.
	ID        string
	BootTime  int
	Answered  bool
	Cold      time.Duration // Cold is how long the endpoint is cold; 0 if it is warm.
}

func (BrokenMsg) chooserMsg()  {}
func (CheckedMsg) chooserMsg() {}

// verification is what is known of an endpoint since it broke.
type verification struct {
	bootTime  int
	brokenAt  time.Duration
	pending   bool          // pending is set until a check that began after the break was answered.
	dueAt     time.Duration // dueAt is when the next check is due.
	interval  time.Duration // interval is the time to the check after the next failed one.
	coldUntil time.Duration // coldUntil is until when the endpoint is cold, as it reported.
}

// broken begins the verification of an endpoint. It goes on where one is under way.
func (s *coldState) broken(msg BrokenMsg) {
	v := s.verifications[msg.ID]
	if v == nil || v.bootTime != msg.BootTime {
		v = &verification{bootTime: msg.BootTime}
		s.verifications[msg.ID] = v
	}
	if !v.pending {
		v.pending, v.dueAt, v.interval = true, msg.Now, firstCheck
	}
	v.brokenAt = msg.Now
}

// checked applies the result of a check. One that began before the last break tells
// nothing of the endpoint since.
func (s *coldState) checked(msg CheckedMsg) {
	v := s.verifications[msg.ID]
	if v == nil || v.bootTime != msg.BootTime || !v.pending {
		return
	}
	if !msg.Answered || msg.StartedAt < v.brokenAt {
		v.dueAt = msg.Now + v.interval
		v.interval = min(2*v.interval, maxCheck)
		return
	}
	v.pending, v.coldUntil = false, msg.Now+msg.Cold
}

// dropReplaced forgets the endpoints that are gone from the view, or have another boot:
// of that one the view tells whether it is cold.
func (s *coldState) dropReplaced(msg FleetMsg) {
	if len(s.verifications) == 0 {
		return
	}
	boots := map[string]int{}
	for _, view := range msg.Endpoints {
		boots[view.Instance] = view.Born
	}
	maps.DeleteFunc(s.verifications, func(id string, v *verification) bool {
		born, known := boots[id]
		return !known || born != v.bootTime || (!v.pending && msg.Now >= v.coldUntil)
	})
}

// isHeld reports whether an endpoint gets nothing since it broke: it was not checked yet,
// or reported that it is cold. Where the view has it as cold, this entry's share tells
// what it may get.
func (s *coldState) isHeld(id string, now time.Duration) bool {
	v := s.verifications[id]
	return v != nil && (v.pending || (now < v.coldUntil && s.buckets[id] == nil))
}

// DueCheck returns the endpoint whose health check is due for longest, and false if none is
// due. The check must end with a CheckedMsg. Endpoints in closed failure domains, to which
// nothing is sent, are checked once the evacuation is revoked.
func (c *Chooser) DueCheck(now time.Duration) (Target, string, bool) {
	due := ""
	for id, v := range c.cold.verifications {
		cand := c.candidates[id]
		if !v.pending || now < v.dueAt || cand == nil || c.remaining(cand.domain, now) == 0 {
			continue
		}
		if due == "" || cmp.Or(cmp.Compare(v.dueAt, c.cold.verifications[due].dueAt), cmp.Compare(id, due)) < 0 {
			due = id
		}
	}
	if due == "" {
		return Target{}, "", false
	}
	c.cold.verifications[due].dueAt = now + checkLimit
	return c.candidates[due].target, c.candidates[due].service, true
}
