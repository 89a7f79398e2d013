package tracker

import "time"

// ColdAnnouncement is what an announcement tells of the time for which its endpoint is
// cold.
type ColdAnnouncement struct {
	Reported  bool          // Reported is set if the endpoint stated Remaining.
	Remaining time.Duration // Remaining is how long the endpoint is cold from now on; 0 if it is warm.
	Default   time.Duration // Default is how long a boot that is first seen now, and reports nothing, counts as cold.
	Inherited bool          // Inherited is set for an endpoint that an earlier leader's view reported as cold.
}

// MaybeColdMsg records that the endpoints of a failure domain may have become cold
// unnoticed. Each counts as cold until a later announcement says that it is warm.
type MaybeColdMsg struct {
	Now           time.Duration
	FailureDomain string
	Default       func(service string) time.Duration // Default returns how long endpoints of a service that report nothing count as cold.
}

func (MaybeColdMsg) trackerMsg() {}

// coldState is what is known of the time for which one boot is cold.
type coldState struct {
	until    time.Duration // until is when the reported or assumed time ends.
	reported bool          // reported is set once the boot has stated its remaining time.
	awaited  bool          // awaited is set while the boot counts as cold until it states its remaining time.
}

// Cold reports whether an endpoint counts as cold.
func (e Endpoint) Cold(now time.Duration) bool { return e.cold.awaited || now < e.cold.until }

// ColdAwaited reports whether an endpoint counts as cold until its next announcement
// that states its remaining time.
func (e Endpoint) ColdAwaited() bool { return e.cold.awaited }

// announceCold applies what an announcement tells and reports whether the endpoint
// became cold or warm by it.
func (e *Endpoint) announceCold(a ColdAnnouncement, firstSeen bool, now time.Duration) bool {
	before := e.Cold(now)
	switch {
	case a.Reported:
		e.cold = coldState{until: now + a.Remaining, reported: true}
	case a.Inherited:
		e.awaitCold(now, a.Default)
	case firstSeen:
		e.cold.until = now + a.Default
	case e.cold.awaited && !e.cold.reported:
		// The endpoint was heard and reports nothing: the assumed time holds.
		e.cold.awaited = false
	}
	return e.Cold(now) != before
}

// awaitCold marks an endpoint as cold until it says that it is warm, or until the
// assumed time has passed if it turns out to report nothing.
func (e *Endpoint) awaitCold(now, assumed time.Duration) {
	e.cold.awaited = true
	e.cold.until = max(e.cold.until, now+assumed)
}

// maybeCold marks the endpoints of a failure domain.
func (t *Tracker) maybeCold(msg MaybeColdMsg) bool {
	changed := false
	for _, id := range t.ids {
		e := t.endpoints[id]
		if e.View.FailureDomain != msg.FailureDomain {
			continue
		}
		assumed := msg.Default(e.View.Service)
		if assumed <= 0 {
			continue
		}
		changed = changed || !e.Cold(msg.Now)
		e.awaitCold(msg.Now, assumed)
	}
	return changed
}
