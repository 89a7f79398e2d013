package placer

import (
	"cmp"
	"slices"
	"time"
)

// setState moves a group to a state and clears its record of sent orders.
func (p *Placer) setState(g *Group, state State, reason string) {
	g.State = state
	g.Doubted = false
	g.StateSince = p.msg.Now
	g.Reason = reason
	g.lastSent = nil
}

// advance takes the next step in the lifecycle of a group.
func (p *Placer) advance(g *Group) {
	p.noteOpened(g)
	switch g.State {
	case Forming:
		p.form(g)
	case Opening:
		p.open(g)
	case Open:
		p.monitor(g)
	case Closing:
		p.close(g)
	}
}

// sendOrder adds an order to the plan, unless the same one was sent to the member
// within the retry interval. It reports whether it did.
func (p *Placer) sendOrder(g *Group, m Member, order Order) bool {
	key := orderKey(order.Op, m.Instance)
	acceptedOrders := p.byID[m.Instance].Report.Orders
	last, ok := g.lastSent[key]
	outdated := last.rejected && last.acceptedOrders != acceptedOrders
	if ok && !outdated && p.msg.Now-last.at < p.options.retryInterval {
		return false
	}
	if g.lastSent == nil {
		g.lastSent = map[string]sentOrder{}
	}
	g.lastSent[key] = sentOrder{at: p.msg.Now, acceptedOrders: acceptedOrders}
	order.Instance = m.Instance
	order.BootTime = m.BootTime
	order.Group = g.Name
	order.Epoch = g.Epoch
	order.AcceptedOrders = acceptedOrders
	p.orders = append(p.orders, order)
	return true
}

// maxRefusals is the number of refused orders that a group survives: an order can
// be overtaken in transit by a later one of the same leader.
const maxRefusals = 1

// RecordRefusal records that a member refused an order of a group because it has
// seen a newer epoch or fencing token: the group was formed from outdated
// information.
func (p *Placer) RecordRefusal(group string) {
	if g := p.groups[group]; g != nil {
		g.refusals++
	}
}

// RecordOutdated records that a member rejected an order that was decided on an outdated
// report, so that it is decided again on the next report with another count of accepted
// orders, instead of after the retry interval.
func (p *Placer) RecordOutdated(order Order) {
	g := p.groups[order.Group]
	if g == nil {
		return
	}
	key := orderKey(order.Op, order.Instance)
	if last, ok := g.lastSent[key]; ok && last.acceptedOrders == order.AcceptedOrders {
		last.rejected = true
		g.lastSent[key] = last
	}
}

func orderKey(op Op, instance string) string { return string(op) + instance }

// formFailure returns why a group that has not opened must be abandoned, or "".
func (p *Placer) formFailure(g *Group) string {
	switch {
	case g.refusals > maxRefusals:
		return "members refused its orders as superseded"
	case g.formDeadline != 0 && p.msg.Now > g.formDeadline:
		return "the group did not form before its deadline"
	}
	return ""
}

// form orders the members to join until all are ready. Members of an adopted group
// are not ordered again: they have joined it already or never will.
func (p *Placer) form(g *Group) {
	if reason := p.formFailure(g); reason != "" {
		p.abandon(g, reason)
		return
	}
	ready := 0
	for _, m := range g.Members {
		if h := p.health(m); h != healthy {
			p.abandon(g, "member "+m.Instance+" is unreachable or leaving")
			return
		}
		e := p.byID[m.Instance]
		switch {
		case !p.inGroup(g, m) && g.adopted:
			p.abandon(g, "member "+m.Instance+" is not in the group")
			return
		case p.inOtherGroup(g, m):
			p.abandon(g, "member "+m.Instance+" is in another group")
			return
		case !p.inGroup(g, m):
			p.sendOrder(g, m, Order{Op: OpJoin, Model: g.Model, Members: instanceNames(g.Members)})
		case e.Report.State == MemberReady || e.Report.State == MemberOpen:
			ready++
		case e.Report.State == MemberBroken:
			p.abandon(g, "member "+m.Instance+" reports the group broken")
			return
		}
	}
	switch {
	case ready < len(g.Members):
	case g.adopted:
		// An earlier leader may have ordered members to join another group, without an
		// answer. The next join of this leader rules that out.
		p.abandon(g, "an earlier leader formed the group")
	default:
		p.setState(g, Opening, "")
		p.open(g)
	}
}

// abandon ends a group that has not served. An earlier leader's order to open an
// adopted group may still be in transit, so its head must leave it first.
func (p *Placer) abandon(g *Group, reason string) {
	if g.adopted {
		p.startClose(g, reason, true)
		return
	}
	p.release(g, ProofNeverOpened)
}

// open orders the head to serve, as long as all members stay in the group.
func (p *Placer) open(g *Group) {
	if reason := cmp.Or(p.failureReason(g), p.formFailure(g)); reason != "" {
		p.startClose(g, reason, true)
		return
	}
	if p.headState(g) == MemberOpen {
		p.setState(g, Open, "")
		return
	}
	if p.sendOrder(g, g.Head(), Order{Op: OpOpen}) {
		p.expectOpening(g)
	}
}

// maxOrderDelay is how long after its sending an endpoint may carry out an order that it has
// not answered.
const maxOrderDelay = 12 * time.Second

// expectOpening records that an order to open a group may be under way from now on.
func (p *Placer) expectOpening(g *Group) { g.opensUntil = p.msg.Now + maxOrderDelay + formMargin }

// noteOpened records that no order to open a group is under way, if its head has reported to
// have carried one out: a second one is bound to the same count of accepted orders.
func (p *Placer) noteOpened(g *Group) {
	switch p.headState(g) {
	case MemberOpen, MemberClosing, MemberBroken:
		g.opensUntil = 0
	}
}

// failureReason returns why a group cannot continue, or "". A group whose streams
// make progress is kept even if a member is unreachable.
func (p *Placer) failureReason(g *Group) string {
	for _, m := range g.Members {
		switch p.health(m) {
		case dead:
			return "member " + m.Instance + " was replaced by a later boot"
		case unreachable:
			if !p.servesWithout(g, m) {
				return "member " + m.Instance + " is unreachable"
			}
		default:
			if !p.inGroup(g, m) {
				return "member " + m.Instance + " is not in the group"
			}
			if p.msg.StalledHeads[g.Head().Instance] && p.byID[m.Instance].FailingSince != 0 {
				return "member " + m.Instance + " does not respond and the group is stalled"
			}
		}
	}
	if p.headState(g) == MemberBroken {
		return "the head reports the group broken"
	}
	return ""
}

// maxQuietTime is longer than the pauses between the events of all streams of a fully
// loaded group, and the time that an entry takes to tell of an event.
const maxQuietTime = 220 * time.Millisecond

// servesWithout reports whether the streams of a group make progress although a member
// is unreachable. A member that refuses connections has crashed or is cut off. Which of
// these holds is known from the first event after the refusal, or from the lack of one.
func (p *Placer) servesWithout(g *Group, m Member) bool {
	lastEvent, streaming := p.msg.LastEvents[g.Head().Instance]
	if p.isDoubtful(g, m) {
		return streaming && p.msg.Now-lastEvent <= maxQuietTime
	}
	return p.msg.ProgressingHeads[g.Head().Instance]
}

// isDoubtful reports whether a member refuses connections and no event is known that its
// group delivered since.
func (p *Placer) isDoubtful(g *Group, m Member) bool {
	refusedSince := p.byID[m.Instance].RefusedSince
	return refusedSince != 0 && p.msg.LastEvents[g.Head().Instance] <= refusedSince
}

// monitor closes an open group that failed or has a leaving member, and opens it
// again if its head fell back to ready.
func (p *Placer) monitor(g *Group) {
	if reason := p.failureReason(g); reason != "" {
		p.startClose(g, reason, true)
		return
	}
	g.Doubted = slices.ContainsFunc(g.Members, func(m Member) bool { return p.isDoubtful(g, m) })
	for _, m := range g.Members {
		if p.health(m) == leaving {
			p.startClose(g, "member "+m.Instance+" is leaving", false)
			return
		}
	}
	if p.headState(g) == MemberReady {
		p.setState(g, Opening, "")
		g.formDeadline = p.msg.Now + formDeadlineFactor*formMargin
	}
}

// startClose begins to close a group; cutover ends its running requests at once.
func (p *Placer) startClose(g *Group, reason string, cutover bool) {
	p.setState(g, Closing, reason)
	g.Cutover = cutover
	p.close(g)
}

// drainTimeout is how long the running requests of a healthy group may take to
// finish before it is cut over; those left continue in other groups.
const drainTimeout = 3 * time.Second

// close makes the head stop serving, then releases the members. A head that is
// already draining is only ordered to leave on a cutover.
func (p *Placer) close(g *Group) {
	if !g.Cutover && (p.failureReason(g) != "" || p.msg.Now-g.StateSince > drainTimeout) {
		g.Cutover = true
		g.lastSent = nil
	}
	switch p.health(g.Head()) {
	case dead:
		p.release(g, ProofHeadEnded)
		return
	case unreachable:
		p.detachMembers(g)
		return
	}
	g.detachedAt = 0
	switch p.headState(g) {
	case "":
		p.release(g, ProofHeadLeft)
	case MemberClosing:
		if g.Cutover {
			p.sendOrder(g, g.Head(), Order{Op: OpLeave})
		}
	case MemberOpen:
		if g.Cutover {
			p.sendOrder(g, g.Head(), Order{Op: OpLeave})
			return
		}
		p.sendOrder(g, g.Head(), Order{Op: OpClose})
	default:
		p.sendOrder(g, g.Head(), Order{Op: OpLeave})
	}
}

// detachMembers orders the reachable members to leave an unreachable head. A group
// that a member has left stalls and stops by its own stall limit, after which it is
// released. The stall of a head that was not seen open may begin as late as it may open.
// A group whose members are all forgotten is dropped, and adopted again if one of them
// returns.
func (p *Placer) detachMembers(g *Group) {
	if !slices.ContainsFunc(g.Members, p.isKnown) {
		delete(p.groups, g.Name)
		return
	}
	memberLeft := false
	for _, m := range g.Members[1:] {
		switch h := p.health(m); {
		case h == unreachable:
		case h != dead && p.inGroup(g, m):
			p.sendOrder(g, m, Order{Op: OpLeave})
		default:
			memberLeft = true
		}
	}
	if memberLeft && g.detachedAt == 0 {
		g.detachedAt = p.msg.Now
	}
	if g.detachedAt != 0 && p.msg.Now-max(g.detachedAt, g.opensUntil) > p.options.stallTimeout {
		p.release(g, ProofHeadStalled)
	}
}

// isKnown reports whether any boot of a member's endpoint is known.
func (p *Placer) isKnown(m Member) bool {
	_, ok := p.byID[m.Instance]
	return ok
}

// HasDetached reports whether a member has left a closing group whose head is
// unreachable, so that it can join another one.
func (p *Placer) HasDetached(g Group, m Member) bool { return p.hasDetached(&g, m) }

// hasDetached is HasDetached for a group of this placer.
func (p *Placer) hasDetached(g *Group, m Member) bool {
	return g.State == Closing && g.detachedAt != 0 && m != g.Head() && p.health(m) == healthy && !p.inGroup(g, m)
}

// release ends a group, which frees its members. The proof says why its head can no
// longer serve.
func (p *Placer) release(g *Group, proof Proof) {
	p.releases = append(p.releases, Release{Group: g.Name, Proof: proof})
	p.ended[g.Name] = true
	delete(p.groups, g.Name)
}
