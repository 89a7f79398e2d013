package director

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/placer"
	"papayaseam/internal/prober"
	"papayaseam/internal/tracker"

	"gotest.tools/v3/assert"
)

// TestMembersOfADoubtedGroupAreAskedAtOnce guards against a crash that is found at the
// member's next turn, although an entry lost its streams at the head; and against probes
// on the word of an entry about an earlier boot.
func TestMembersOfADoubtedGroupAreAskedAtOnce(t *testing.T) {
	d, err := New(Config{Name: "c", Address: "127.0.0.1:1"}, unresponsiveEndpoints{}, discardLogger())
	assert.NilError(t, err)
	d.leading, d.leader = true, "c@127.0.0.1:1"
	var endpoints []tracker.Endpoint
	for i, state := range []string{placer.MemberOpen, placer.MemberReady, ""} {
		e := tracker.Endpoint{View: messenger.EndpointView{Instance: fmt.Sprintf("e%d", i), Born: 5, Service: "s"}, ReportedAt: time.Second}
		if state != "" {
			e.Report = messenger.EndpointReport{Group: "small/1", Epoch: 1, Rank: i, State: state, Models: []string{"small"}}
		}
		endpoints = append(endpoints, e)
	}
	d.fleet.placers["s"] = placer.New(1)
	d.fleet.placers["s"].Update(placer.PlanMsg{
		Now: time.Second, Service: "s", Endpoints: endpoints, ObserveOnly: true,
		Engine: describer.Engine{Models: []describer.Model{{Name: "small", GroupSize: 2}}},
	})
	due := func(now time.Duration) []string {
		var ids []string
		for _, probe := range d.fleet.prober.Update(prober.TickMsg{Now: now, Endpoints: endpoints}) {
			ids = append(ids, probe.Endpoint.View.Instance)
			d.fleet.prober.Update(prober.ProbeDoneMsg{ID: probe.Endpoint.View.Instance})
		}
		return slices.Sorted(slices.Values(ids))
	}
	assert.Equal(t, len(due(time.Second)), 3)
	assert.Assert(t, d.handleDoubt(t.Context(), messenger.Doubt{Instance: "e0", Born: 4}).Accepted)
	assert.DeepEqual(t, due(time.Second+time.Millisecond), []string(nil))
	assert.Assert(t, d.handleDoubt(t.Context(), messenger.Doubt{Instance: "e0", Born: 5}).Accepted)
	assert.DeepEqual(t, due(time.Second+2*time.Millisecond), []string{"e0", "e1"})
}
