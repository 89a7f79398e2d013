package planner

import "slices"

// slowRecord holds when an instance became slow and its time per token at that
// moment, both in milliseconds.
type slowRecord struct{ sinceMs, stepMs int }

// detectStragglers compares the time per token of each member with the median of
// all members of the same model. A member that exceeds it for stragglerAfterMs is
// marked as straggling and replaced once its replacement has loaded.
func (r *round) detectStragglers() {
	stepTimes := map[string][]int{}
	for name, group := range r.groupByInstance {
		if ms := r.instances[name].StepMs; ms > 0 {
			model := r.groups[group].Model
			stepTimes[model] = append(stepTimes[model], ms)
		}
	}
	for _, times := range stepTimes {
		slices.Sort(times)
	}
	for name, instance := range r.instances {
		if !r.remainsSlow(instance, stepTimes) {
			delete(r.slowInstances, name)
			continue
		}
		if _, tracked := r.slowInstances[name]; !tracked {
			r.slowInstances[name] = slowRecord{sinceMs: r.msg.NowMs, stepMs: instance.StepMs}
		}
		if r.msg.NowMs-r.slowInstances[name].sinceMs >= r.options.stragglerAfterMs {
			instance.Straggling = true
			r.instances[name] = instance
		}
	}
}

// remainsSlow reports whether an instance is slow compared with members of the same
// model. An instance that was removed from its group has no model to compare with
// and remains slow until it reports a shorter time per token.
func (r *round) remainsSlow(instance Instance, stepTimes map[string][]int) bool {
	group := r.groupByInstance[instance.Name]
	if group != "" {
		return exceedsMedian(instance.StepMs, stepTimes[r.groups[group].Model])
	}
	record, slow := r.slowInstances[instance.Name]
	return slow && instance.StepMs >= record.stepMs
}

// exceedsMedian reports whether a time per token is far above the median of sorted
// times. With too few samples or an unknown time (0) it returns false.
func exceedsMedian(ms int, sortedMs []int) bool {
	if len(sortedMs) < stragglerMinSamples || ms == 0 {
		return false
	}
	return ms*stragglerRatioDenominator > sortedMs[len(sortedMs)/2]*stragglerRatioNumerator
}
