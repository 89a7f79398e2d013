package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const declared = 3 * time.Second

func announceCold(sequence int, now time.Duration, cold ColdAnnouncement) AnnounceMsg {
	msg := announce("a", 5, sequence, "x:1")
	msg.Now, msg.Cold = now, cold
	return msg
}

func assumed(string) time.Duration { return declared }

func isCold(t *testing.T, tr *Tracker, now time.Duration) bool {
	e, ok := tr.Endpoint("a")
	assert.Assert(t, ok)
	return e.Cold(now)
}

// TestColdEndsWithTheReportedTimeOrALaterAnnouncement guards against endpoints that stay
// cold without a further announcement, and against ones that are held back although they
// say that they are warm.
func TestColdEndsWithTheReportedTimeOrALaterAnnouncement(t *testing.T) {
	tr := New()
	assert.Assert(t, tr.Update(announceCold(1, time.Second, ColdAnnouncement{Reported: true, Remaining: 2 * time.Second})))
	assert.Assert(t, isCold(t, tr, 2999*time.Millisecond))
	assert.Assert(t, !isCold(t, tr, 3*time.Second))
	assert.Assert(t, tr.Update(announceCold(2, 4*time.Second, ColdAnnouncement{Reported: true, Remaining: 2 * time.Second})), "it became cold again")
	assert.Assert(t, isCold(t, tr, 5*time.Second))
	assert.Assert(t, tr.Update(announceCold(3, 5*time.Second, ColdAnnouncement{Reported: true})))
	assert.Assert(t, !isCold(t, tr, 5*time.Second))
	assert.Assert(t, !tr.Update(announceCold(2, 6*time.Second, ColdAnnouncement{Reported: true, Remaining: time.Second})), "the announcement is an earlier one")
	assert.Assert(t, !isCold(t, tr, 6*time.Second))
}

// TestSilentNewBootCountsAsColdForTheDeclaredTime guards against a flood on a new boot
// that says nothing of being cold, and on a boot that is already known.
func TestSilentNewBootCountsAsColdForTheDeclaredTime(t *testing.T) {
	tr := New()
	tr.Update(announceCold(1, time.Second, ColdAnnouncement{Default: declared}))
	assert.Assert(t, isCold(t, tr, 3999*time.Millisecond))
	tr.Update(announceCold(2, 2*time.Second, ColdAnnouncement{Default: declared}))
	assert.Assert(t, !isCold(t, tr, 4*time.Second), "a later announcement of the same boot extended the time")
	next := announceCold(1, 10*time.Second, ColdAnnouncement{Default: declared})
	next.Endpoint.Born = 6
	tr.Update(next)
	assert.Assert(t, isCold(t, tr, 12*time.Second))
}

// TestEndpointsOfADomainCountAsColdUntilTheySayOtherwise guards against full load on
// endpoints that became cold while nothing was sent to them: only an announcement that
// arrived afterwards proves that they are warm.
func TestEndpointsOfADomainCountAsColdUntilTheySayOtherwise(t *testing.T) {
	tr := New()
	tr.Update(announceCold(1, time.Second, ColdAnnouncement{Reported: true}))
	assert.Assert(t, !tr.Update(MaybeColdMsg{Now: 2 * time.Second, FailureDomain: "elsewhere", Default: assumed}))
	assert.Assert(t, !tr.Update(MaybeColdMsg{Now: 2 * time.Second, Default: func(string) time.Duration { return 0 }}), "the service declares no cold time")
	assert.Assert(t, tr.Update(MaybeColdMsg{Now: 2 * time.Second, Default: assumed}))
	assert.Assert(t, isCold(t, tr, time.Hour))
	tr.Update(HeartbeatMsg{Now: time.Hour, ID: "a", BootTime: 5, Sequence: 2})
	assert.Assert(t, isCold(t, tr, time.Hour), "the announcement that was repeated may be older")
	assert.Assert(t, tr.Update(announceCold(3, time.Hour, ColdAnnouncement{Reported: true, Remaining: time.Second})) == false, "it stays cold")
	assert.Assert(t, tr.Update(announceCold(4, time.Hour, ColdAnnouncement{Reported: true})))
	assert.Assert(t, !isCold(t, tr, time.Hour))
}

// TestSilentEndpointOfADomainBecomesWarmAfterTheDeclaredTime guards against endpoints that
// report nothing and would be cold for good.
func TestSilentEndpointOfADomainBecomesWarmAfterTheDeclaredTime(t *testing.T) {
	tr := New()
	tr.Update(announceCold(1, time.Second, ColdAnnouncement{}))
	tr.Update(MaybeColdMsg{Now: 2 * time.Second, Default: assumed})
	assert.Assert(t, isCold(t, tr, time.Minute))
	tr.Update(announceCold(2, 3*time.Second, ColdAnnouncement{}))
	assert.Assert(t, isCold(t, tr, 4999*time.Millisecond))
	assert.Assert(t, !isCold(t, tr, 5*time.Second))
}

// TestInheritedColdEndpointStaysColdUntilHeard guards against a new leader that takes
// endpoints for warm which the earlier one had reported as cold.
func TestInheritedColdEndpointStaysColdUntilHeard(t *testing.T) {
	tr := New()
	tr.Update(announceCold(-1, time.Second, ColdAnnouncement{Inherited: true, Default: declared}))
	assert.Assert(t, isCold(t, tr, time.Hour))
	e, _ := tr.Endpoint("a")
	assert.Assert(t, e.ColdAwaited())
	assert.Assert(t, tr.Update(announceCold(1, time.Hour, ColdAnnouncement{Reported: true})))
	assert.Assert(t, !isCold(t, tr, time.Hour))
}

// TestEndpointsWithoutAColdTimeAreNeverCold guards against changed decisions where no
// service declares a cold time.
func TestEndpointsWithoutAColdTimeAreNeverCold(t *testing.T) {
	tr := New()
	tr.Update(announceCold(1, time.Second, ColdAnnouncement{}))
	assert.Assert(t, !isCold(t, tr, time.Second))
	assert.Assert(t, !tr.Update(announceCold(2, 2*time.Second, ColdAnnouncement{})))
}
