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
