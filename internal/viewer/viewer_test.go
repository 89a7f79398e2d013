package viewer

import (
	"encoding/json"
	"fmt"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// world is a leader's view of many endpoints in groups.
type world struct {
	term      int
	endpoints []messenger.EndpointView
	groups    []messenger.GroupView
}

func newWorld(endpoints, size int) *world {
	w := &world{term: 1}
	for i := range endpoints {
		w.endpoints = append(w.endpoints, messenger.EndpointView{
			Instance: fmt.Sprintf("i-%08x", i), Born: 1_790_000_000_000 + i, Address: fmt.Sprintf("10.%d.%d.9:8080", i/200, i%200),
			Service: "writers", FailureDomain: "ne-a", FabricDomain: fmt.Sprint(i / 19), Slots: 28,
		})
	}
	for i := 0; i+size <= endpoints; i += size {
		g := messenger.GroupView{Name: fmt.Sprintf("verse/%07d", 1_000_000+i), Epoch: 1_000_000 + i, Service: "writers", Model: "verse", FailureDomain: "ne-a", Open: true}
		for _, e := range w.endpoints[i : i+size] {
			g.Members = append(g.Members, e.Instance)
		}
		w.groups = append(w.groups, g)
	}
	return w
}

func (w *world) publish(v *Viewer) bool {
	return v.Update(PublishMsg{Term: w.term, Endpoints: w.endpoints, Groups: w.groups})
}

func assertSame(t assert.TestingT, a, b *Viewer) {
	assert.DeepEqual(t, a.Endpoints(), b.Endpoints())
	assert.DeepEqual(t, a.Groups(), b.Groups())
}

func TestLoadsAreNoNews(t *testing.T) {
	w, v := newWorld(16, 8), New()
	assert.Assert(t, w.publish(v))
	known := v.Position()
	w.groups[1].Active = 7
	assert.Assert(t, !w.publish(v))
	assert.Assert(t, !v.HasNewerView(known))
	changes := v.ChangesSince(known)
	assert.Equal(t, len(changes.Endpoints)+len(changes.Groups), 0)
	assert.DeepEqual(t, changes.HeadLoads, []messenger.HeadLoad{{Name: w.groups[1].Name, Active: 7}})
}

// TestPartialViewEndsNothing is a leader after a loss of all of control: the
// groups that it has not heard of yet may stand.
func TestPartialViewEndsNothing(t *testing.T) {
	w, v, c := newWorld(32, 8), New(), New()
	w.publish(v)
	c.Update(ApplyMsg{v.ChangesSince(c.Position())})
	next := New()
	next.Update(PublishMsg{Term: 2, Partial: true, Endpoints: w.endpoints[:8], Groups: w.groups[:1]})
	c.Update(ApplyMsg{next.ChangesSince(c.Position())})
	assert.Equal(t, len(c.Groups()), 4)
	assert.Assert(t, c.Partial())
	next.Update(PublishMsg{Term: 2, Endpoints: w.endpoints[:16], Groups: w.groups[:2]})
	changes := next.ChangesSince(c.Position())
	assert.Assert(t, changes.Whole, "what only the earlier view names must end now")
	c.Update(ApplyMsg{changes})
	assert.Equal(t, len(c.Groups()), 2)
}

func TestOlderViewsChangeNothing(t *testing.T) {
	w, v, c := newWorld(16, 8), New(), New()
	w.publish(v)
	old := v.ChangesSince(Position{})
	w.groups = w.groups[:1]
	w.publish(v)
	c.Update(ApplyMsg{v.ChangesSince(c.Position())})
	assert.Assert(t, !c.Update(ApplyMsg{old}))
	assert.Equal(t, len(c.Groups()), 1)
	lagging := New()
	lagging.Update(ApplyMsg{old})
	assert.Assert(t, !c.Update(ApplyMsg{lagging.ChangesSince(c.Position())}))
	assert.Equal(t, len(c.Groups()), 1)
}

// TestViewHistories drives random changes of a leader's view through two relays
// to entries that ask now this one, now that one. Whoever has caught up knows
// what the leader knows.
func TestViewHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, leader := newWorld(40, 4), New()
		relays := []*Viewer{New(), New()}
		entries := []*Viewer{New(), New(), New()}
		all := w.groups
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				w.groups = all[rapid.IntRange(0, 5).Draw(t, "from"):rapid.IntRange(5, 10).Draw(t, "to")]
			case 1:
				g := &all[rapid.IntRange(0, 9).Draw(t, "group")]
				g.Open = !g.Open
			case 2:
				all[rapid.IntRange(0, 9).Draw(t, "group")].Active++
			case 3:
				w.endpoints = newWorld(rapid.IntRange(1, 40).Draw(t, "endpoints"), 4).endpoints
			case 4:
				if rapid.IntRange(0, 4).Draw(t, "new-term") == 0 {
					w.term++
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
			w.publish(leader)
		}
		for i, r := range relays {
			r.Update(ApplyMsg{leader.ChangesSince(r.Position())})
			assertSame(t, r, leader)
			e := entries[i]
			e.Update(ApplyMsg{r.ChangesSince(e.Position())})
			assertSame(t, e, leader)
		}
	})
}

// syncsPerSecond is the pace at which an entry asks.
const syncsPerSecond = 5

// entryBytes is the aim's bound on what an entry hears in a second.
const entryBytes = 18_000

// TestEntryHearsLittleUnderTheChurnOfATroubleDay bounds the bytes a second of
// views at the sizes of the large deployment and of the aim, while one group a
// second is lost and formed anew and a third of the loads change every time.
func TestEntryHearsLittleUnderTheChurnOfATroubleDay(t *testing.T) {
	for _, size := range []struct{ endpoints, members int }{{380, 6}, {1700, 16}} {
		w, v, c := newWorld(size.endpoints, size.members), New(), New()
		w.publish(v)
		c.Update(ApplyMsg{v.ChangesSince(c.Position())})
		const seconds = 20
		bytes := 0
		for i := range seconds * syncsPerSecond {
			if i%syncsPerSecond == 0 {
				g := &w.groups[i%len(w.groups)]
				g.Epoch += len(w.groups)
				g.Name = fmt.Sprintf("verse/%07d", g.Epoch)
			}
			for j := i % 3; j < len(w.groups); j += 3 {
				w.groups[j].Active++
			}
			w.publish(v)
			changes := v.ChangesSince(c.Position())
			data, err := json.Marshal(changes)
			assert.NilError(t, err)
			bytes += len(data)
			c.Update(ApplyMsg{changes})
		}
		assertSame(t, c, v)
		t.Logf("%d endpoints: %d bytes a second", size.endpoints, bytes/seconds)
		assert.Assert(t, bytes/seconds <= entryBytes, "%d endpoints: %d bytes a second", size.endpoints, bytes/seconds)
	}
}
