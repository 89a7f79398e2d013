package evacuator

import (
	"encoding/json"
	"fmt"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func order(domain string, active bool) CommandMsg {
	return CommandMsg{Evacuation: messenger.Evacuation{FailureDomain: domain, Active: active}}
}

// TestRepeatedOrdersChangeNothing guards against entries that begin an evacuation anew
// because the operator's order was sent again.
func TestRepeatedOrdersChangeNothing(t *testing.T) {
	e := New()
	assert.Assert(t, !e.Update(order("d0", false)), "there was no evacuation to revoke")
	assert.Assert(t, e.Update(order("d0", true)))
	assert.Assert(t, !e.Update(order("d0", true)))
	assert.Assert(t, e.Update(order("d1", true)))
	assert.DeepEqual(t, e.Domains(), []string{"d0", "d1"})
	assert.Assert(t, e.Update(order("d0", false)))
	assert.Assert(t, !e.Evacuated("d0") && e.Evacuated("d1"))
	assert.Equal(t, e.Revision(), 3)
	assert.DeepEqual(t, e.Records(), []messenger.Evacuation{{FailureDomain: "d0", Modified: 3}, {FailureDomain: "d1", Active: true, Modified: 2}})
}

// TestOrderWithoutAFailureDomainChangesNothing guards against a record that no process
// can ever match.
func TestOrderWithoutAFailureDomainChangesNothing(t *testing.T) {
	e := New()
	assert.Assert(t, !e.Update(order("", true)))
	assert.Equal(t, e.Revision(), 0)
}

// TestOlderListIsIgnored guards against a late answer of a lagging process that revokes
// an evacuation, or begins one that was revoked.
func TestOlderListIsIgnored(t *testing.T) {
	source, copied := New(), New()
	source.Update(order("d0", true))
	older := source.Snapshot()
	source.Update(order("d0", false))
	assert.Assert(t, copied.Update(ApplyMsg{List: source.Snapshot()}))
	assert.Assert(t, !copied.Update(ApplyMsg{List: older}))
	assert.Assert(t, !copied.Evacuated("d0"))
}

// TestNothingIsSentWithoutAnEvacuation guards against larger messages in deployments that
// never evacuate a failure domain.
func TestNothingIsSentWithoutAnEvacuation(t *testing.T) {
	e := New()
	assert.Assert(t, e.ListSince(0) == nil)
	for _, message := range []any{
		messenger.FleetResponse{Evacuations: e.ListSince(0)}, messenger.FleetRequest{Evacuations: e.Revision()}, messenger.Confirmation{Evacuations: e.Revision()},
	} {
		data, err := json.Marshal(message)
		assert.NilError(t, err)
		assert.Equal(t, string(data), "{}")
	}
	e.Update(order("d0", true))
	assert.Assert(t, e.ListSince(0) != nil)
	assert.Assert(t, e.ListSince(1) == nil)
}

// TestRevocationsAreBounded guards against a state that grows with every name that was
// ever evacuated, and against dropping an evacuation that is in force.
func TestRevocationsAreBounded(t *testing.T) {
	e := New(WithMaxRevoked(3))
	e.Update(order("kept", true))
	for i := range 10 {
		e.Update(order(fmt.Sprint("d", i), true))
		e.Update(order(fmt.Sprint("d", i), false))
	}
	assert.Equal(t, len(e.Records()), 4)
	assert.Assert(t, e.Evacuated("kept"))
	assert.Assert(t, e.Known("d9") && !e.Known("d0"))
}

// TestCopiesAgree checks for random orders that the state is that of the last order for
// each failure domain, and that a copy that is taken at any point and follows by orders
// or by lists is the same.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, copied := New(WithMaxRevoked(2)), New(WithMaxRevoked(2))
		want := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			msg := order(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "domain"), rapid.Bool().Draw(t, "active"))
			changed := e.Update(msg)
			if changed != (want[msg.Evacuation.FailureDomain] != msg.Evacuation.Active) {
				t.Fatalf("order %v reported changed = %v", msg, changed)
			}
			want[msg.Evacuation.FailureDomain] = msg.Evacuation.Active
			copied.Update(msg)
			if rapid.Bool().Draw(t, "list") {
				copied = New(WithMaxRevoked(2))
				copied.Update(ApplyMsg{List: e.Snapshot()})
			}
			for domain, active := range want {
				if e.Evacuated(domain) != active || copied.Evacuated(domain) != active {
					t.Fatalf("%s: %v, copy %v, want %v", domain, e.Evacuated(domain), copied.Evacuated(domain), active)
				}
			}
			if fmt.Sprint(e.Snapshot()) != fmt.Sprint(copied.Snapshot()) {
				t.Fatalf("state %v, copy %v", e.Snapshot(), copied.Snapshot())
			}
		}
	})
}

// TestLateOrdersChangeNothing checks for random orders, of which any copy may arrive late,
// again or never, and may be given up by its caller, that none is carried out after another
// one on its failure domain that was sent later; that one which names the newest state
// always is; and that all copies of the state decide alike.
func TestLateOrdersChangeNothing(t *testing.T) {
	type call struct {
		order messenger.Evacuation
		sent  int // sent is the log index at which the caller learned what it names.
	}
	rapid.Check(t, func(t *rapid.T) {
		e, copied := New(WithMaxRevoked(1)), New(WithMaxRevoked(1))
		index := rapid.IntRange(1, 5).Draw(t, "first")
		carriedOutAt := map[string]int{}
		var calls []call
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(calls) == 0 || rapid.Bool().Draw(t, "sent") {
				domain := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
				calls = append(calls, call{messenger.Evacuation{FailureDomain: domain, Active: rapid.Bool().Draw(t, "active"), After: index}, index})
				continue
			}
			index += rapid.IntRange(1, 3).Draw(t, "entries")
			c := rapid.SampledFrom(calls).Draw(t, "arrives")
			before := e.Evacuated(c.order.FailureDomain)
			carriedOut := e.Update(CommandMsg{Evacuation: c.order, Index: index})
			if want := c.sent >= carriedOutAt[c.order.FailureDomain]; carriedOut != want && (carriedOut || e.Known(c.order.FailureDomain)) {
				t.Fatalf("order %+v, sent at %d, after one at %d: carried out = %v", c.order, c.sent, carriedOutAt[c.order.FailureDomain], carriedOut)
			}
			want := before
			if carriedOut {
				want = c.order.Active
				carriedOutAt[c.order.FailureDomain] = index
			}
			if e.Evacuated(c.order.FailureDomain) != want {
				t.Fatalf("order %+v: evacuated = %v, want %v", c.order, !want, want)
			}
			copied.Update(CommandMsg{Evacuation: c.order, Index: index})
			if rapid.Bool().Draw(t, "snapshot") {
				copied = New(WithMaxRevoked(1))
				copied.Update(RestoreMsg{List: e.Snapshot()})
			}
			if fmt.Sprint(e.Snapshot()) != fmt.Sprint(copied.Snapshot()) {
				t.Fatalf("state %v, copy %v", e.Snapshot(), copied.Snapshot())
			}
		}
	})
}

// TestLogOfAnEarlierVersionIsAppliedAsItWas guards against replicas that differ after an
// update, since their logs and snapshots hold orders that name no log index.
func TestLogOfAnEarlierVersionIsAppliedAsItWas(t *testing.T) {
	replayed, restored := New(), New()
	restored.Update(RestoreMsg{List: messenger.EvacuationList{Revision: 2, FailureDomains: []messenger.Evacuation{{FailureDomain: "d0", Active: true, Modified: 1}, {FailureDomain: "d1", Active: true, Modified: 2}}}})
	for index, domain := range []string{"d0", "d0", "d1"} {
		replayed.Update(CommandMsg{Evacuation: messenger.Evacuation{FailureDomain: domain, Active: true}, Index: index + 1})
	}
	for _, e := range []*Evacuator{replayed, restored} {
		assert.Equal(t, e.Revision(), 2)
		assert.Assert(t, e.Update(CommandMsg{Evacuation: messenger.Evacuation{FailureDomain: "d0", After: 7}, Index: 8}))
		assert.Assert(t, !e.Update(CommandMsg{Evacuation: messenger.Evacuation{FailureDomain: "d0", Active: true, After: 7}, Index: 9}))
		assert.Assert(t, !e.Evacuated("d0") && e.Evacuated("d1"))
		assert.Equal(t, e.Revision(), 3)
	}
}
