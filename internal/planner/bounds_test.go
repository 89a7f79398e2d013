package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	membersPerGroup = 16
	weightLoadMs    = 60_000
	storeLoads      = 32
)

// policies are the planner's default policy and two simple baselines.
var policies = []struct {
	name string
	opts []Option
}{
	{"planner", []Option{WithMaxLoads(storeLoads)}},
	{"always-wait", []Option{WithReplacement(false), WithStandbys(false), WithMaxLoads(100_000)}},
	{"replace-at-once", []Option{WithSilenceTimeout(0, 0), WithStandbys(false), WithMaxLoads(100_000)}},
}

// crash stops an endpoint and restarts it later without weights.
func (f *fleet) crash(name string, recoverAfterMs int) {
	instance := f.instance(name)
	instance.EndpointUp = false
	instance.LoadedWeights = ""
	delete(f.loading, name)
	f.after(recoverAfterMs, func() { instance.EndpointUp = true })
}

// silence makes an instance unreachable for some time, as a paused process or a
// network partition does.
func (f *fleet) silence(name string, durationMs int) {
	instance := f.instance(name)
	instance.SilenceMs = 1
	f.after(durationMs, func() { instance.SilenceMs = 0 })
}

// after schedules a change.
func (f *fleet) after(delayMs int, change func()) {
	f.timers = append(f.timers, timer{f.nowMs + delayMs, change})
}

// scenario injects a fault and measures the cost over durationMs.
type scenario struct {
	name       string
	durationMs int
	fault      func(f *fleet)
}

const never = 1 << 30

var scenarios = []scenario{
	{"crash, back in 30 s", 600_000, func(f *fleet) { f.crash(f.member("a-0", 3), 30_000) }},
	{"permanent crash", 600_000, func(f *fleet) { f.crash(f.member("a-0", 3), never) }},
	{"pause of 20 s", 600_000, func(f *fleet) { f.silence(f.member("a-0", 3), 20_000) }},
	{"permanently unreachable", 600_000, func(f *fleet) { f.silence(f.member("a-0", 3), never) }},
	{"straggler", 600_000, func(f *fleet) { f.slowDown(f.member("a-0", 3)) }},
	{"second loss after the repair", 900_000, func(f *fleet) {
		f.crash(f.member("a-0", 3), never)
		f.after(70_000, func() { f.crash(f.member("a-0", 5), never) })
	}},
	{"two groups of a fabric lose members", 900_000, func(f *fleet) {
		f.crash(f.member("a-0", 3), 600_000)
		f.crash(f.member("a-1", 5), 600_000)
		f.crash(f.member("a-0", 7), 600_000)
	}},
	{"failure domain unreachable, 10 min", 1_800_000, func(f *fleet) { f.silenceDomain("d0", 600_000) }},
	{"rolling restart of all instances", 7_200_000, func(f *fleet) { f.restartAll(60_000) }},
}

func (f *fleet) member(group string, rank int) string { return f.groups[group].Members[rank].Instance }

// slowDown makes an instance a straggler for ten minutes. Its group counts as not
// serving until the straggler recovers or is replaced.
func (f *fleet) slowDown(name string) {
	f.instance(name).Straggling = true
	f.slowInstances[name] = true
	f.after(600_000, func() { f.instance(name).Straggling = false; delete(f.slowInstances, name) })
}

// silenceDomain makes a failure domain unreachable; its instances return without
// weights.
func (f *fleet) silenceDomain(domain string, durationMs int) {
	for _, instance := range f.instances {
		if instance.FailureDomain == domain {
			f.silence(instance.Name, durationMs)
			f.after(durationMs, func() { instance.LoadedWeights = ""; delete(f.loading, instance.Name) })
		}
	}
}

// restartAll restarts all instances one after the other. Each requests a
// replacement first and restarts once it is in no group, or after 100 s.
func (f *fleet) restartAll(intervalMs int) {
	for i, instance := range f.instances {
		f.after(i*intervalMs, func() {
			instance.Straggling = true
			f.restartWhenFree(instance, 10)
		})
	}
}

// restartWhenFree restarts an instance once it is in no group or all tries, 10 s
// apart, are used up.
func (f *fleet) restartWhenFree(instance *Instance, tries int) {
	if tries > 0 && f.isAssigned(instance.Name) {
		f.after(10_000, func() { f.restartWhenFree(instance, tries-1) })
		return
	}
	instance.Straggling = false
	f.crash(instance.Name, 20_000)
}

// isAssigned reports whether an instance is a member of an active group.
func (f *fleet) isAssigned(name string) bool {
	for _, group := range f.groups {
		for _, m := range group.Members {
			if group.Active && m.Instance == name {
				return true
			}
		}
	}
	return false
}

// runScenario simulates a scenario under a policy: three fabric domains with two
// groups of 16 and two spares each, and a weight store that serves 32 loads at full
// rate. The costs exclude the initial placement.
func runScenario(s scenario, opts []Option) *fleet {
	f := newFleet(3, 2*membersPerGroup+2, opts...)
	f.storeLoadLimit = storeLoads
	f.planIntervalMs = 1000
	f.addModel("a", membersPerGroup, 6, 0, weightLoadMs)
	f.run(300_000)
	f.downtimeMs, f.strandedMs, f.peakLoads = 0, 0, 0
	s.fault(f)
	f.run(s.durationMs)
	return f
}

// TestBoundsRepair guards against repairs that are more expensive than simple
// policies. In each scenario the planner's group downtime is at most twice that of
// the better baseline, which is the competitive ratio of waiting as long as a load
// takes. Over all scenarios its weighted cost is below both baselines for each
// organisation, and it stays within the load limit of the weight store.
func TestBoundsRepair(t *testing.T) {
	downtimeMs := map[string]int{}
	strandedMs := map[string]int{}
	for _, s := range scenarios {
		fleets := map[string]*fleet{}
		for _, policy := range policies {
			f := runScenario(s, policy.opts)
			fleets[policy.name] = f
			downtimeMs[policy.name] += f.downtimeMs
			strandedMs[policy.name] += f.strandedMs
			t.Logf("%-36s %-16s downtime %6d s, stranded %7d s, most loads %d", s.name, policy.name, f.downtimeMs/1000, f.strandedMs/1000, f.peakLoads)
		}
		bestBaselineMs := min(fleets["always-wait"].downtimeMs, fleets["replace-at-once"].downtimeMs)
		const detectionMs = 10_000
		assert.Assert(t, fleets["planner"].downtimeMs <= 2*bestBaselineMs+detectionMs, "%s: %d ms down, the better baseline %d ms", s.name, fleets["planner"].downtimeMs, bestBaselineMs)
		assert.Assert(t, fleets["planner"].peakLoads <= storeLoads+1, "%s: %d loads at once", s.name, fleets["planner"].peakLoads)
	}
	for _, weights := range []struct {
		organisation          string
		downtime, accelerator float64
	}{{"harrow-quill", 3 * membersPerGroup, 1}, {"taisetsu", membersPerGroup, 3}} {
		weightedCost := func(policy string) float64 {
			return (weights.downtime*float64(downtimeMs[policy]) + weights.accelerator*float64(strandedMs[policy])) / 1e6
		}
		summary := ""
		for _, policy := range policies {
			summary += fmt.Sprintf(" %s %.0f", policy.name, weightedCost(policy.name))
		}
		t.Logf("weighted cost of all scenarios, %s:%s", weights.organisation, summary)
		assert.Assert(t, weightedCost("planner") < weightedCost("always-wait") && weightedCost("planner") < weightedCost("replace-at-once"), weights.organisation)
	}
}
