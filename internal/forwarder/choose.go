package forwarder

import (
	"context"
	"time"

	"papayaseam/internal/admitter"
	"papayaseam/internal/dispatcher"
	"papayaseam/internal/messenger"
	"papayaseam/internal/router"
)

const (
	loadPollTimeout = 100 * time.Millisecond
	loadPollEvery   = 5 // loadPollEvery is how many choices without a group it takes for the leaders to be polled again.
)

// waitForGroup waits until a group can take the request, up to groupWaitTimeout
// or the request's deadline. A retry also spends from the retry budget. Groups
// that the dispatcher excluded are only skipped in the first choice.
func (x *execution) waitForGroup(ctx context.Context, effect dispatcher.ChooseEffect) dispatcher.Msg {
	query := router.Query{Model: x.request.model, Adapter: x.request.adapter, Service: x.request.service, PrefixHash: x.request.prefixHash, Excluded: effect.Excluded}
	deadline := x.now() + groupWaitTimeout
	if x.request.deadline > 0 {
		deadline = min(deadline, x.request.deadline)
	}
	if effect.Retry && !x.spendRetryBudget() {
		return dispatcher.ChosenMsg{Kind: "retry-budget", Message: "no retry is left in the organisation's budget; retry after a pause"}
	}
	for choices := 0; ; choices++ {
		if choice, ok := x.selectGroup(ctx, query, choices%loadPollEvery == 0); ok {
			return dispatcher.ChosenMsg{Target: dispatcher.Target{Group: choice.Group, Address: choice.Address, Epoch: choice.Epoch, Incarnation: choice.Incarnation}}
		}
		if x.now() > deadline {
			return dispatcher.ChosenMsg{Kind: "no-group", Message: "no complete group serves this now; retry after a pause"}
		}
		query.Excluded = nil
		select {
		case <-ctx.Done():
			return dispatcher.ChosenMsg{Kind: "no-group", Message: "the caller left"}
		case <-time.After(pollInterval):
		}
	}
}

// spendRetryBudget reports whether the organisation's budget has a retry left, and
// spends it.
func (x *execution) spendRetryBudget() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.budget.TrySpend(x.request.organisation)
}

// recordRefusal makes the router avoid a group that cannot serve at present. A
// group that refused this request only for lack of capacity may still accept
// another one, so it is not avoided.
func (x *execution) recordRefusal(effect dispatcher.ReportRefusalEffect) {
	unreachable := false
	switch effect.Kind {
	case admitter.RefusedOverloaded, admitter.RefusedDeadline:
		return
	case dispatcher.KindUnreachable, dispatcher.KindLeaderUnreachable, dispatcher.KindLeaderGone:
		unreachable = true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.router.Update(x.now(), router.RefusedMsg{Group: effect.Target.Group, Unreachable: unreachable})
}

// selectGroup chooses a group and records the request as sent to it. If the load
// reports leave it uncertain whether the group has capacity, it first polls the
// leaders of a sample of groups. If no group looks available and pollAllowed is
// set, it polls the leaders of some configured groups.
func (x *execution) selectGroup(ctx context.Context, query router.Query, pollAllowed bool) (router.Choice, bool) {
	x.mu.Lock()
	choice, capacityKnown, ok := x.router.Choose(x.now(), query)
	sample := x.groupsToPoll(query, capacityKnown, ok, pollAllowed)
	x.mu.Unlock()
	if len(sample) > 0 {
		if polled, found := x.pollLoads(ctx, query, sample); found {
			choice, ok = polled, true
		}
	}
	if !ok {
		return choice, false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.router.Update(x.now(), router.SentMsg{Group: choice.Group})
	return choice, true
}

// groupsToPoll returns the groups whose leaders to poll after a choice, or nil if
// polling would not change it. The caller holds mu.
func (x *execution) groupsToPoll(query router.Query, capacityKnown, ok, pollAllowed bool) []router.Choice {
	switch {
	case !ok && pollAllowed:
		return x.router.SampleConfigured(query)
	case !ok || capacityKnown:
		return nil
	}
	sample := x.router.SampleCandidates(x.now(), query)
	if len(sample) < 2 {
		return nil
	}
	return sample
}

// pollLoads asks the leaders of the sampled groups for their load and returns the
// best of these groups. Leaders that do not respond within loadPollTimeout leave
// their groups' last known load unchanged.
func (x *execution) pollLoads(ctx context.Context, query router.Query, sample []router.Choice) (router.Choice, bool) {
	ctx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	loads := make(chan messenger.GroupLoad, len(sample))
	for _, choice := range sample {
		go func() {
			var load messenger.GroupLoad
			_ = x.client.Call(ctx, "http://"+choice.Address+"/inner/load", messenger.LoadRequest{Group: choice.Group}, &load)
			loads <- load
		}()
	}
	for range sample {
		load := <-loads
		if load.Epoch == 0 {
			continue
		}
		x.mu.Lock()
		x.router.Update(x.now(), router.LoadsMsg{Loads: []messenger.GroupLoad{load}})
		x.mu.Unlock()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.router.BestOf(x.now(), query, sample)
}
