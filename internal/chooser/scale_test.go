package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

const (
	scaleStep     = 5 * time.Millisecond
	scaleDuration = 12 * time.Second
	// viewInterval is how often an entry receives the loads of all groups, and
	// viewAge is how old they are then: the age of the report, the interval at
	// which heads are polled, and the transfer by way of control.
	viewInterval = 180 * time.Millisecond
	viewAge      = 550 * time.Millisecond
	// responseDelay is when the headers of a response report the group's load.
	responseDelay = 150 * time.Millisecond
	slots         = 28
	// promptsPerPass is how many prompts a group can process in one forward pass
	// without delaying their responses.
	promptsPerPass = 2
	passTime       = 60 * time.Millisecond
	meanDuration   = 2200 * time.Millisecond
	minDuration    = 800 * time.Millisecond
)

// simulation runs many entries that send requests to many groups, each entry
// with a stale view of the loads.
type simulation struct {
	random      *rand.Rand
	entries     []*Chooser
	running     []int                   // running counts the requests at each group.
	prompts     []map[time.Duration]int // prompts counts the prompts that each group started to process, by pass.
	pastLoads   []map[string]int        // pastLoads holds the loads after each step, oldest first.
	completions map[time.Duration][]attempt
	loadReports map[time.Duration][]attempt
	refused     int
	late        int
	arrived     int
	skew        float64 // skew is the fraction of requests that go to the entries of the first failure domain instead.
}

// attempt is a request from an entry to a group.
type attempt struct{ entry, group int }

func newSimulation(entries, groups int, opts ...Option) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(5, 5)), running: make([]int, groups), prompts: make([]map[time.Duration]int, groups),
		completions: map[time.Duration][]attempt{}, loadReports: map[time.Duration][]attempt{},
	}
	for i := range sim.prompts {
		sim.prompts[i] = map[time.Duration]int{}
	}
	for i := range entries {
		sim.entries = append(sim.entries, New(fmt.Sprint("d", i%5), append([]Option{WithSeed(uint64(i + 1)), WithName(fmt.Sprint("entry-", i))}, opts...)...))
	}
	return sim
}

func groupID(i int) string { return fmt.Sprintf("g%02d", i) }

// updateView gives an entry the loads as they were viewAge ago.
func (sim *simulation) updateView(entry int, now time.Duration) {
	loads := sim.pastLoads[max(len(sim.pastLoads)-int(viewAge/scaleStep), 0)]
	msg := FleetMsg{Now: now, EntryCount: len(sim.entries)}
	for i := range sim.running {
		id := groupID(i)
		msg.Endpoints = append(msg.Endpoints, messenger.EndpointView{Instance: id, Service: "s", Slots: slots, FailureDomain: fmt.Sprint("d", i%5)})
		msg.Groups = append(msg.Groups, messenger.GroupView{Name: "n" + id, Service: "s", Model: "m", Members: []string{id}, Open: true, Active: loads[id]})
	}
	sim.entries[entry].Update(msg)
}

// step advances the simulation by scaleStep. Load is the arrival rate as a
// fraction of the capacity of all groups.
func (sim *simulation) step(now time.Duration, load float64) {
	loads := map[string]int{}
	for i, n := range sim.running {
		loads[groupID(i)] = n
	}
	sim.pastLoads = append(sim.pastLoads, loads)
	for _, a := range sim.completions[now] {
		sim.running[a.group]--
		sim.entries[a.entry].Update(AttemptEndedMsg{ID: groupID(a.group), Now: now, Outcome: Served})
	}
	for _, a := range sim.loadReports[now] {
		sim.entries[a.entry].Update(LoadMsg{Now: now, ID: groupID(a.group), Running: sim.running[a.group]})
	}
	for i := range sim.entries {
		if int((now+time.Duration(i)*scaleStep)/scaleStep)%int(viewInterval/scaleStep) == 0 {
			sim.updateView(i, now)
		}
	}
	arrivals := load * float64(slots*len(sim.running)) / float64(meanDuration) * float64(scaleStep)
	for n := arrivals; n > 0; n-- {
		if sim.random.Float64() < n {
			sim.arrive(now)
		}
	}
}

// restart cancels all requests of a group, as after the loss of a member and the
// formation of a new group in its place.
func (sim *simulation) restart(group int, now time.Duration) {
	for end, attempts := range sim.completions {
		var kept []attempt
		for _, a := range attempts {
			if a.group != group {
				kept = append(kept, a)
				continue
			}
			sim.entries[a.entry].Update(AttemptEndedMsg{ID: groupID(group), Now: now, Outcome: Canceled})
		}
		sim.completions[end] = kept
	}
	sim.running[group] = 0
}

// arrive sends one request through a random entry.
func (sim *simulation) arrive(now time.Duration) {
	entry := sim.random.IntN(len(sim.entries))
	if sim.random.Float64() < sim.skew {
		entry -= entry % 5
	}
	sim.arrived++
	target, ok := sim.entries[entry].Pick(Request{Service: "s", Model: "m", Now: now})
	if !ok {
		sim.refused++
		return
	}
	group := 0
	_, _ = fmt.Sscanf(target.ID, "g%d", &group)
	sim.entries[entry].Update(AttemptStartedMsg{ID: target.ID})
	sim.running[group]++
	pass := now / passTime
	sim.prompts[group][pass]++
	if sim.running[group] > slots || sim.prompts[group][pass] > promptsPerPass {
		sim.late++
	}
	length := minDuration + time.Duration(sim.random.ExpFloat64()*float64(meanDuration-minDuration))
	end := now + length.Truncate(scaleStep) + scaleStep
	sim.completions[end] = append(sim.completions[end], attempt{entry, group})
	sim.loadReports[now+responseDelay] = append(sim.loadReports[now+responseDelay], attempt{entry, group})
}

// simulate returns the fractions of requests that started late or were refused.
func simulate(entries, groups int, load, skew float64, opts ...Option) (late, refused float64) {
	sim := newSimulation(entries, groups, opts...)
	sim.skew = skew
	for now := time.Duration(0); now < scaleDuration; now += scaleStep {
		sim.step(now, load)
	}
	return float64(sim.late) / float64(sim.arrived), float64(sim.refused) / float64(sim.arrived)
}

// TestPreferredGroupsReduceLateRequests guards against herding at scale. Many
// entries get stale loads of many groups, so that all of them send to the group
// that was emptiest half a second ago. An entry that sends most requests to the
// same few groups knows their load from its own responses. Also covers a fifth
// of the clients using the entries of a single failure domain.
func TestPreferredGroupsReduceLateRequests(t *testing.T) {
	for _, shape := range []struct{ entries, groups int }{{39, 40}, {39, 20}, {20, 20}, {9, 8}} {
		for _, load := range []float64{0.6, 0.75, 0.85} {
			for _, skew := range []float64{0, 0.2} {
				plain, _ := simulate(shape.entries, shape.groups, load, skew, WithMinPreferredGroups(0), WithFreeShareCap(noCap))
				late, refused := simulate(shape.entries, shape.groups, load, skew)
				t.Logf("%d entries, %d groups, load %.2f, skew %.1f: late %.3f (refused %.3f), late without preferred groups and cap %.3f", shape.entries, shape.groups, load, skew, late, refused, plain)
				assert.Assert(t, late <= plain)
				assert.Assert(t, load != 0.75 || late <= 0.7*plain)
			}
		}
	}
}

// noCap counts the free share of an endpoint in full.
const noCap = 1e9

// requestsAfterOpening returns the number of requests that a newly opened group
// gets in its first 200 ms, relative to an even share.
func requestsAfterOpening(opts ...Option) float64 {
	sim := newSimulation(39, 40, opts...)
	now := time.Duration(0)
	for ; now < 4*time.Second; now += scaleStep {
		sim.step(now, 0.75)
	}
	sim.restart(7, now)
	for end := now + viewAge + viewInterval; now < end; now += scaleStep {
		sim.step(now, 0.75)
	}
	sim.restart(7, now)
	running, arrived := sim.running[7], sim.arrived
	for end := now + 200*time.Millisecond; now < end; now += scaleStep {
		sim.step(now, 0.75)
	}
	return float64(sim.running[7]-running) * 40 / float64(sim.arrived-arrived)
}

// TestNewlyOpenedGroupIsNotFlooded guards against overloading a group that is
// replaced under load: all entries see the only empty group, and without a cap
// would send it several times as many prompts as it can process in time.
func TestNewlyOpenedGroupIsNotFlooded(t *testing.T) {
	capped, uncapped := requestsAfterOpening(), requestsAfterOpening(WithFreeShareCap(noCap))
	t.Logf("requests in the first 200 ms, relative to an even share: %.1f; without a cap %.1f", capped, uncapped)
	assert.Assert(t, capped <= 3)
	assert.Assert(t, capped < uncapped)
}
