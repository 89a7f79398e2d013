package viewer

import (
	"encoding/json"
	"fmt"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fleet is the view of a leader that has many endpoints in groups.
type fleet struct {
	term      int
	endpoints []messenger.EndpointView
	groups    []messenger.GroupView
}

// newFleet returns a fleet with as many groups of groupSize members as fit.
func newFleet(endpoints, groupSize int) *fleet {
	f := &fleet{term: 1}
	for i := range endpoints {
		f.endpoints = append(f.endpoints, messenger.EndpointView{
			Instance: fmt.Sprintf("i-%08x", i), Born: 1_790_000_000_000 + i, Address: fmt.Sprintf("10.%d.%d.9:8080", i/200, i%200),
			Service: "writers", FailureDomain: "ne-a", FabricDomain: fmt.Sprint(i / 19), Slots: 28,
		})
	}
	for i := 0; i+groupSize <= endpoints; i += groupSize {
		g := messenger.GroupView{Name: fmt.Sprintf("verse/%07d", 1_000_000+i), Epoch: 1_000_000 + i, Service: "writers", Model: "verse", FailureDomain: "ne-a", Open: true}
		for _, e := range f.endpoints[i : i+groupSize] {
			g.Members = append(g.Members, e.Instance)
		}
		f.groups = append(f.groups, g)
	}
	return f
}

func (f *fleet) publish(v *Viewer) bool {
	return v.Update(PublishMsg{Term: f.term, Endpoints: f.endpoints, Groups: f.groups})
}

func assertEqualViews(t assert.TestingT, a, b *Viewer) {
	assert.DeepEqual(t, a.Endpoints(), b.Endpoints())
	assert.DeepEqual(t, a.Groups(), b.Groups())
}

// TestLoadsDoNotMakeANewerView guards against waking all processes whenever a
// load changes.
func TestLoadsDoNotMakeANewerView(t *testing.T) {
	f, leader := newFleet(16, 8), New()
	assert.Assert(t, f.publish(leader))
	known := leader.Position()
	f.groups[1].Active = 7
	assert.Assert(t, !f.publish(leader))
	assert.Assert(t, !leader.HasNewerView(known))
	changes := leader.ChangesSince(known)
	assert.Equal(t, len(changes.Endpoints)+len(changes.Groups), 0)
	assert.DeepEqual(t, changes.HeadLoads, []messenger.HeadLoad{{Name: f.groups[1].Name, Active: 7}})
}

// TestPartialViewRemovesNothing guards against removing groups that still exist:
// after the loss of all control processes, a new leader does not know them all.
func TestPartialViewRemovesNothing(t *testing.T) {
	f, leader, follower := newFleet(32, 8), New(), New()
	f.publish(leader)
	follower.Update(ApplyMsg{leader.ChangesSince(follower.Position())})
	newLeader := New()
	newLeader.Update(PublishMsg{Term: 2, Partial: true, Endpoints: f.endpoints[:8], Groups: f.groups[:1]})
	follower.Update(ApplyMsg{newLeader.ChangesSince(follower.Position())})
	assert.Equal(t, len(follower.Groups()), 4)
	assert.Assert(t, follower.Partial())
	newLeader.Update(PublishMsg{Term: 2, Endpoints: f.endpoints[:16], Groups: f.groups[:2]})
	changes := newLeader.ChangesSince(follower.Position())
	assert.Assert(t, changes.Whole, "groups that only the earlier view has must be removed now")
	follower.Update(ApplyMsg{changes})
	assert.Equal(t, len(follower.Groups()), 2)
}

// TestOlderViewsAreIgnored guards against returning to an earlier view that
// arrives late or by way of a process that lags behind.
func TestOlderViewsAreIgnored(t *testing.T) {
	f, leader, follower := newFleet(16, 8), New(), New()
	f.publish(leader)
	old := leader.ChangesSince(Position{})
	f.groups = f.groups[:1]
	f.publish(leader)
	follower.Update(ApplyMsg{leader.ChangesSince(follower.Position())})
	assert.Assert(t, !follower.Update(ApplyMsg{old}))
	assert.Equal(t, len(follower.Groups()), 1)
	lagging := New()
	lagging.Update(ApplyMsg{old})
	assert.Assert(t, !follower.Update(ApplyMsg{lagging.ChangesSince(follower.Position())}))
	assert.Equal(t, len(follower.Groups()), 1)
}

// TestViewHistories sends random changes of a leader's view through two relays to
// entries that alternate between the relays. It guards against a process that
// has caught up with the leader and still has a different view.
func TestViewHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, leader := newFleet(40, 4), New()
		relays := []*Viewer{New(), New()}
		entries := []*Viewer{New(), New(), New()}
		all := f.groups
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				f.groups = all[rapid.IntRange(0, 5).Draw(t, "from"):rapid.IntRange(5, 10).Draw(t, "to")]
			case 1:
				g := &all[rapid.IntRange(0, 9).Draw(t, "group")]
				g.Open = !g.Open
			case 2:
				all[rapid.IntRange(0, 9).Draw(t, "group")].Active++
			case 3:
				f.endpoints = newFleet(rapid.IntRange(1, 40).Draw(t, "endpoints"), 4).endpoints
			case 4:
				if rapid.IntRange(0, 4).Draw(t, "new-term") == 0 {
					f.term++
					leader = New()
					leader.Update(ApplyMsg{rapid.SampledFrom(relays).Draw(t, "successor").ChangesSince(Position{})})
				}
			case 5:
				r := rapid.SampledFrom(relays).Draw(t, "relay")
				r.Update(ApplyMsg{leader.ChangesSince(r.Position())})
			case 6:
				e := rapid.SampledFrom(entries).Draw(t, "entry")
				r := rapid.SampledFrom(relays).Draw(t, "asked")
				before := e.Position()
				e.Update(ApplyMsg{r.ChangesSince(e.Position())})
				assert.Assert(t, e.Position().Term >= before.Term)
			}
			f.publish(leader)
		}
		for i, r := range relays {
			r.Update(ApplyMsg{leader.ChangesSince(r.Position())})
			assertEqualViews(t, r, leader)
			e := entries[i]
			e.Update(ApplyMsg{r.ChangesSince(e.Position())})
			assertEqualViews(t, e, leader)
		}
	})
}

// syncsPerSecond is how often an entry requests changes.
const syncsPerSecond = 5

// maxBytesPerSecond is the required limit on the changes sent to an entry.
const maxBytesPerSecond = 18_000

// TestChangesToAnEntryStaySmallUnderChurn guards against views that use too much
// bandwidth. It runs at the sizes of the large deployment and of the target
// scale, with one group a second lost and replaced and a third of the loads
// changed at every sync.
func TestChangesToAnEntryStaySmallUnderChurn(t *testing.T) {
	for _, size := range []struct{ endpoints, members int }{{380, 6}, {1700, 16}} {
		f, leader, entry := newFleet(size.endpoints, size.members), New(), New()
		f.publish(leader)
		entry.Update(ApplyMsg{leader.ChangesSince(entry.Position())})
		const seconds = 20
		bytes := 0
		for i := range seconds * syncsPerSecond {
			if i%syncsPerSecond == 0 {
				g := &f.groups[i%len(f.groups)]
				g.Epoch += len(f.groups)
				g.Name = fmt.Sprintf("verse/%07d", g.Epoch)
			}
			for j := i % 3; j < len(f.groups); j += 3 {
				f.groups[j].Active++
			}
			f.publish(leader)
			changes := leader.ChangesSince(entry.Position())
			data, err := json.Marshal(changes)
			assert.NilError(t, err)
			bytes += len(data)
			entry.Update(ApplyMsg{changes})
		}
		assertEqualViews(t, entry, leader)
		t.Logf("%d endpoints: %d bytes per second", size.endpoints, bytes/seconds)
		assert.Assert(t, bytes/seconds <= maxBytesPerSecond, "%d endpoints: %d bytes per second", size.endpoints, bytes/seconds)
	}
}

// TestDoubtMakesANewerView guards against entries that learn late that control does not
// know whether a group serves.
func TestDoubtMakesANewerView(t *testing.T) {
	v := New()
	group := messenger.GroupView{Name: "g", Members: []string{"e1"}, Open: true}
	v.Update(PublishMsg{Term: 1, Groups: []messenger.GroupView{group}})
	known := v.Position()
	group.Doubted = true
	v.Update(PublishMsg{Term: 1, Groups: []messenger.GroupView{group}})
	assert.Assert(t, v.HasNewerView(known))
}
