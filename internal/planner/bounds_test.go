package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	boundMembers = 16
	boundLoadMs  = 60_000
	boundStore   = 32
)

// policies are the planner's and two plain baselines.
var policies = []struct {
	name string
	opts []Option
}{
	{"ours", []Option{WithMaxLoads(boundStore)}},
	{"always-wait", []Option{WithReplacement(false), WithStandbys(false), WithMaxLoads(100_000)}},
	{"replace-at-once", []Option{WithSilenceTimeout(0, 0), WithStandbys(false), WithMaxLoads(100_000)}},
}

// crash takes an endpoint down at once and brings it back without weights.
func (f *fleet) crash(name string, backMs int) {
	instance := f.instance(name)
	instance.EndpointUp = false
	instance.LoadedWeights = ""
	delete(f.loading, name)
	f.at(backMs, func() { instance.EndpointUp = true })
}

// silence makes an instance unheard for some time, as a pause or a cut does.
func (f *fleet) silence(name string, ms int) {
	instance := f.instance(name)
	instance.SilenceMs = 1
	f.at(ms, func() { instance.SilenceMs = 0 })
}

func (f *fleet) at(inMs int, change func()) {
	f.timers = append(f.timers, timer{f.nowMs + inMs, change})
}

// scenario is a fault whose cost is measured over the time that follows.
type scenario struct {
	name  string
	ms    int
	fault func(f *fleet)
}

const forever = 1 << 30

var scenarios = []scenario{
	{"crash, back in 30 s", 600_000, func(f *fleet) { f.crash(f.member("a-0", 3), 30_000) }},
	{"crash for good", 600_000, func(f *fleet) { f.crash(f.member("a-0", 3), forever) }},
	{"pause of 20 s", 600_000, func(f *fleet) { f.silence(f.member("a-0", 3), 20_000) }},
	{"silent for good", 600_000, func(f *fleet) { f.silence(f.member("a-0", 3), forever) }},
	{"straggler", 600_000, func(f *fleet) { f.straggle(f.member("a-0", 3)) }},
	{"second loss after the repair", 900_000, func(f *fleet) {
		f.crash(f.member("a-0", 3), forever)
		f.at(70_000, func() { f.crash(f.member("a-0", 5), forever) })
	}},
	{"two groups of a fabric lose one each", 900_000, func(f *fleet) {
		f.crash(f.member("a-0", 3), 600_000)
		f.crash(f.member("a-1", 5), 600_000)
		f.crash(f.member("a-0", 7), 600_000)
	}},
	{"dark domain for 10 min", 1_800_000, func(f *fleet) { f.dark("d0", 600_000) }},
	{"rolling replacement of all", 7_200_000, func(f *fleet) { f.rollAll(60_000) }},
}

func (f *fleet) member(group string, rank int) string { return f.groups[group].Members[rank].Instance }

// straggle marks an instance slow for ten minutes; a group counts as not
// serving while a straggler holds it back and nobody replaces it.
func (f *fleet) straggle(name string) {
	f.instance(name).Straggling = true
	f.slow[name] = true
	f.at(600_000, func() { f.instance(name).Straggling = false; delete(f.slow, name) })
}

// dark takes a whole failure domain away and brings it back without weights.
func (f *fleet) dark(domain string, ms int) {
	for _, instance := range f.instances {
		if instance.FailureDomain == domain {
			f.silence(instance.Name, ms)
			f.at(ms, func() { instance.LoadedWeights = ""; delete(f.loading, instance.Name) })
		}
	}
}

// rollAll replaces every instance, one after the other: it is announced, then
// restarted once no group holds it or a grace has passed.
func (f *fleet) rollAll(everyMs int) {
	for i, instance := range f.instances {
		f.at(i*everyMs, func() {
			instance.Straggling = true
			f.restartWhenFree(instance, 10)
		})
	}
}

func (f *fleet) restartWhenFree(instance *Instance, tries int) {
	if tries > 0 && f.holds(instance.Name) {
		f.at(10_000, func() { f.restartWhenFree(instance, tries-1) })
		return
	}
	instance.Straggling = false
	f.crash(instance.Name, 20_000)
}

func (f *fleet) holds(name string) bool {
	for _, group := range f.groups {
		for _, m := range group.Members {
			if group.Active && m.Instance == name {
				return true
			}
		}
	}
	return false
}

// cost runs a scenario under a policy: three fabrics of two groups of 16 and two
// spares each, and a weight store that serves 32 loads at full rate.
func cost(s scenario, opts []Option) *fleet {
	f := newFleet(3, 2*boundMembers+2, opts...)
	f.store = boundStore
	f.tickMs = 1000
	f.model("a", boundMembers, 6, 0, boundLoadMs)
	f.run(300_000)
	f.downMs, f.idleMs, f.mostLoads = 0, 0, 0
	s.fault(f)
	f.run(s.ms)
	return f
}

// TestBoundsRepair compares group downtime and stranded accelerators with the
// two baselines. The planner's choice must never cost more than twice the
// better baseline in any scenario (the bound of waiting as long as a load
// takes), must beat both over all of them under either office's weights, and
// must keep to the loads that the weight store bears.
func TestBoundsRepair(t *testing.T) {
	down := map[string]int{}
	idle := map[string]int{}
	for _, s := range scenarios {
		costs := map[string]*fleet{}
		for _, policy := range policies {
			f := cost(s, policy.opts)
			costs[policy.name] = f
			down[policy.name] += f.downMs
			idle[policy.name] += f.idleMs
			t.Logf("%-36s %-16s downtime %6d s, stranded %7d s, most loads %d", s.name, policy.name, f.downMs/1000, f.idleMs/1000, f.mostLoads)
		}
		better := min(costs["always-wait"].downMs, costs["replace-at-once"].downMs)
		const detectionMs = 10_000
		assert.Assert(t, costs["ours"].downMs <= 2*better+detectionMs, "%s: %d ms down, the better baseline %d ms", s.name, costs["ours"].downMs, better)
		assert.Assert(t, costs["ours"].mostLoads <= boundStore+1, "%s: %d loads at once", s.name, costs["ours"].mostLoads)
	}
	for _, weights := range []struct {
		office                string
		downtime, accelerator float64
	}{{"harrow-quill", 3 * boundMembers, 1}, {"taisetsu", boundMembers, 3}} {
		weighed := func(policy string) float64 {
			return (weights.downtime*float64(down[policy]) + weights.accelerator*float64(idle[policy])) / 1e6
		}
		line := ""
		for _, policy := range policies {
			line += fmt.Sprintf(" %s %.0f", policy.name, weighed(policy.name))
		}
		t.Logf("weighed cost over all, %s:%s", weights.office, line)
		assert.Assert(t, weighed("ours") < weighed("always-wait") && weighed("ours") < weighed("replace-at-once"), weights.office)
	}
}
