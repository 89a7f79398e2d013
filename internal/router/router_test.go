package router

import (
	"fmt"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// testGroups returns n groups spread over three failure domains of one region.
func testGroups(n int) []Group {
	var groups []Group
	for i := range n {
		groups = append(groups, Group{Name: fmt.Sprintf("g%d", i), Spec: messenger.GroupSpec{
			Model: "m", Epoch: 5, Active: true, Region: "r", FailureDomain: fmt.Sprintf("d%d", i%3),
			Members: []messenger.Member{{Instance: fmt.Sprintf("i%d", i), Address: fmt.Sprintf("a%d", i)}},
		}})
	}
	return groups
}

// loadReport returns a report of group i, which runs the given number of at most
// 8 parallel requests.
func loadReport(i, running int) messenger.GroupLoad {
	return messenger.GroupLoad{Group: fmt.Sprintf("g%d", i), Epoch: 5, Ready: true, Running: running, Parallel: 8, FirstTokenMs: 100, ServiceMs: 1000, Incarnation: "x.1"}
}

// newTestRouter returns a router in failure domain d0 with n idle groups.
func newTestRouter(n int, opts ...Option) *Router {
	r := New(append([]Option{WithLocation("r", "d0"), WithSeed(1)}, opts...)...)
	r.Update(0, GroupsMsg{Groups: testGroups(n)})
	for i := range n {
		r.Update(0, LoadsMsg{Loads: []messenger.GroupLoad{loadReport(i, 0)}})
	}
	return r
}

func TestPrefersOwnFailureDomain(t *testing.T) {
	r := newTestRouter(3)
	for range 20 {
		choice, _, ok := r.Choose(0, Query{Model: "m"})
		assert.Assert(t, ok)
		assert.Equal(t, choice.Group, "g0")
	}
}

// TestFullFailureDomainSpillsOver checks that a request goes to another failure domain
// when the entry's own has no free slot.
func TestFullFailureDomainSpillsOver(t *testing.T) {
	r := newTestRouter(3)
	r.Update(time.Second, LoadsMsg{Loads: []messenger.GroupLoad{loadReport(0, 8)}})
	choice, _, _ := r.Choose(time.Second, Query{Model: "m"})
	assert.Assert(t, choice.Group != "g0")
}

func TestUnavailableGroupIsNotChosen(t *testing.T) {
	for name, change := range map[string]func(r *Router){
		"of another epoch": func(r *Router) {
			load := loadReport(0, 0)
			load.Epoch = 6
			r.Update(time.Second, LoadsMsg{Loads: []messenger.GroupLoad{load}})
		},
		"not ready": func(r *Router) {
			load := loadReport(0, 0)
			load.Ready = false
			r.Update(time.Second, LoadsMsg{Loads: []messenger.GroupLoad{load}})
		},
		"draining": func(r *Router) {
			load := loadReport(0, 0)
			load.Draining = true
			r.Update(time.Second, LoadsMsg{Loads: []messenger.GroupLoad{load}})
		},
		"just refused": func(r *Router) { r.Update(time.Second, RefusedMsg{Group: "g0"}) },
		"retired":      func(r *Router) { r.Update(time.Second, GroupsMsg{}) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(1)
			change(r)
			_, _, ok := r.Choose(time.Second, Query{Model: "m"})
			assert.Assert(t, !ok)
		})
	}
}

// TestReportMuchOlderThanOthersIsIgnored checks that a group whose report lags far
// behind those of others is not chosen, even if it looks idle.
func TestReportMuchOlderThanOthersIsIgnored(t *testing.T) {
	r := newTestRouter(3)
	for i := 1; i < 3; i++ {
		r.Update(time.Minute, LoadsMsg{Loads: []messenger.GroupLoad{loadReport(i, 7)}})
	}
	for range 20 {
		choice, _, ok := r.Choose(time.Minute, Query{Model: "m"})
		assert.Assert(t, ok)
		assert.Assert(t, choice.Group != "g0")
	}
}

// TestOldReportsAreUsedWithoutNewerOnes checks that the router keeps choosing groups
// when control has sent no digests for a long time.
func TestOldReportsAreUsedWithoutNewerOnes(t *testing.T) {
	r := newTestRouter(3)
	_, _, ok := r.Choose(time.Hour, Query{Model: "m"})
	assert.Assert(t, ok)
}

func TestUnreachableGroupIsAvoidedUntilItReports(t *testing.T) {
	r := newTestRouter(1)
	r.Update(time.Second, RefusedMsg{Group: "g0", Unreachable: true})
	_, _, ok := r.Choose(time.Hour, Query{Model: "m"})
	assert.Assert(t, !ok)
	stale := loadReport(0, 0)
	stale.AgeMs = 5000
	r.Update(2*time.Second, LoadsMsg{Loads: []messenger.GroupLoad{stale}})
	_, _, ok = r.Choose(time.Hour, Query{Model: "m"})
	assert.Assert(t, !ok, "a report from before the failure must not make the group available")
	r.Update(3*time.Second, LoadsMsg{Loads: []messenger.GroupLoad{loadReport(0, 0)}})
	_, _, ok = r.Choose(time.Hour, Query{Model: "m"})
	assert.Assert(t, ok)
}

// TestStaleReportOfBusyGroupIsUncertain checks that the leader of a nearly full group
// is asked for its load when its report is a second old, but not when it is fresh.
func TestStaleReportOfBusyGroupIsUncertain(t *testing.T) {
	r := newTestRouter(1)
	r.Update(time.Millisecond, LoadsMsg{Loads: []messenger.GroupLoad{loadReport(0, 6)}})
	_, certain, _ := r.Choose(time.Second, Query{Model: "m"})
	assert.Assert(t, !certain)
	r.Update(time.Second, LoadsMsg{Loads: []messenger.GroupLoad{loadReport(0, 6)}})
	_, certain, _ = r.Choose(time.Second, Query{Model: "m"})
	assert.Assert(t, certain)
}

func TestOlderReportDoesNotReplaceNewerOne(t *testing.T) {
	r := newTestRouter(1)
	stale := loadReport(0, 8)
	stale.AgeMs = 5000
	r.Update(time.Second, LoadsMsg{Loads: []messenger.GroupLoad{loadReport(0, 2)}})
	r.Update(2*time.Second, LoadsMsg{Loads: []messenger.GroupLoad{stale}})
	assert.Equal(t, r.states["g0"].load.Running, 2)
}

func TestSentAttemptsCountUntilNextReport(t *testing.T) {
	r := newTestRouter(1)
	for range 8 {
		r.Update(0, SentMsg{Group: "g0"})
	}
	assert.Assert(t, !r.hasRoom(r.groups[0]))
	r.Update(time.Second, LoadsMsg{Loads: []messenger.GroupLoad{loadReport(0, 3)}})
	assert.Assert(t, r.hasRoom(r.groups[0]))
}

// TestGroupWithoutReportIsSampled checks that an entry without any digest can ask the
// leaders of configured groups and then choose among them.
func TestGroupWithoutReportIsSampled(t *testing.T) {
	r := New(WithSeed(1))
	r.Update(0, GroupsMsg{Groups: testGroups(1)})
	_, _, ok := r.Choose(0, Query{Model: "m"})
	assert.Assert(t, !ok)
	sample := r.SampleConfigured(Query{Model: "m"})
	assert.Equal(t, sample[0].Group, "g0")
	r.Update(0, LoadsMsg{Loads: []messenger.GroupLoad{loadReport(0, 0)}})
	_, ok = r.BestOf(0, Query{Model: "m"}, sample)
	assert.Assert(t, ok)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{13, 26, 53, 106} {
		b.Run(fmt.Sprintf("groups-%d", n), func(b *testing.B) {
			r := newTestRouter(n)
			b.ReportAllocs()
			for b.Loop() {
				r.Choose(0, Query{Model: "m"})
			}
		})
	}
}
