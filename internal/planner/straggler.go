package planner

import "slices"

// slowness is since when an instance is slow, and its time for a token then.
type slowness struct{ sinceMs, stepMs int }

// noteStragglers compares each member's own time for a token with the median
// of all members that serve the same model. One that stays well above it counts
// as straggling, and is replaced once its replacement has loaded.
func (r *round) noteStragglers() {
	steps := map[string][]int{}
	for name, group := range r.memberOf {
		if ms := r.instances[name].StepMs; ms > 0 {
			model := r.groups[group].Model
			steps[model] = append(steps[model], ms)
		}
	}
	for _, list := range steps {
		slices.Sort(list)
	}
	for name, instance := range r.instances {
		if !r.staysSlow(instance, steps) {
			delete(r.slow, name)
			continue
		}
		if _, noted := r.slow[name]; !noted {
			r.slow[name] = slowness{sinceMs: r.msg.NowMs, stepMs: instance.StepMs}
		}
		if r.msg.NowMs-r.slow[name].sinceMs >= r.options.stragglerAfterMs {
			instance.Straggling = true
			r.instances[name] = instance
		}
	}
}

// staysSlow compares a member with its like. One that was taken out of its
// group has no like any more, and counts as slow until it reports a shorter
// time.
func (r *round) staysSlow(instance Instance, steps map[string][]int) bool {
	group := r.memberOf[instance.Name]
	if group != "" {
		return isSlow(instance.StepMs, steps[r.groups[group].Model])
	}
	noted, slow := r.slow[instance.Name]
	return slow && instance.StepMs >= noted.stepMs
}

// isSlow reports whether a time is far above the median of a sorted list.
func isSlow(ms int, list []int) bool {
	if len(list) < stragglerQuorum || ms == 0 {
		return false
	}
	return ms*stragglerDivisor > list[len(list)/2]*stragglerMultiple
}
