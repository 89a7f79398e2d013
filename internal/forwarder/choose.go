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
	askTimeout = 100 * time.Millisecond
	askEach    = 5 // askEach is how many polls without a group pass between two rounds of questions.
)

// choose waits a while for a fit group; a retry needs budget.
func (x *run) choose(ctx context.Context, effect dispatcher.ChooseEffect) dispatcher.Msg {
	query := router.Query{Model: x.call.model, Adapter: x.call.adapter, Service: x.call.service, PrefixHash: x.call.prefix, Excluded: effect.Excluded}
	limit := x.now() + waitForGroup
	if x.call.deadline > 0 {
		limit = min(limit, x.call.deadline)
	}
	if effect.Retry && !x.spendRetry() {
		return dispatcher.ChosenMsg{Kind: "retry-budget", Message: "no retry is left in the organisation's budget; retry after a pause"}
	}
	for tries := 0; ; tries++ {
		if choice, ok := x.pick(ctx, query, tries%askEach == 0); ok {
			return dispatcher.ChosenMsg{Target: dispatcher.Target{Group: choice.Group, Address: choice.Address, Epoch: choice.Epoch, Incarnation: choice.Incarnation}}
		}
		if x.now() > limit {
			return dispatcher.ChosenMsg{Kind: "no-group", Message: "no complete group serves this now; retry after a pause"}
		}
		query.Excluded = nil
		select {
		case <-ctx.Done():
			return dispatcher.ChosenMsg{Kind: "no-group", Message: "the caller left"}
		case <-time.After(chooseEvery):
		}
	}
}

func (x *run) spendRetry() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.budget.TrySpend(x.call.organisation)
}

// noteRefusal keeps requests away from a group that does not serve now. One that
// is only full for this request may well take another one.
func (x *run) noteRefusal(effect dispatcher.ReportRefusalEffect) {
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

// pick chooses a group. Where the reports leave it open whether there is room,
// the leaders of a sample are asked first; where no group looks fit, those of
// some configured groups.
func (x *run) pick(ctx context.Context, query router.Query, mayAsk bool) (router.Choice, bool) {
	x.mu.Lock()
	choice, sure, ok := x.router.Choose(x.now(), query)
	sample := x.sample(query, sure, ok, mayAsk)
	x.mu.Unlock()
	if len(sample) > 0 {
		if best, found := x.ask(ctx, query, sample); found {
			choice, ok = best, true
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

// sample returns the leaders to ask after a choice, none where there is nothing
// to find out; mu is held.
func (x *run) sample(query router.Query, sure, ok, mayAsk bool) []router.Choice {
	switch {
	case !ok && mayAsk:
		return x.router.SampleConfigured(query)
	case !ok || sure:
		return nil
	}
	sample := x.router.SampleCandidates(x.now(), query)
	if len(sample) < 2 {
		return nil
	}
	return sample
}

// ask has the leaders of a sample report their load and chooses among them;
// those that do not answer in time are left out.
func (x *run) ask(ctx context.Context, query router.Query, sample []router.Choice) (router.Choice, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
