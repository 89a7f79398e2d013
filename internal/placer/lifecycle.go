package placer

import (
	"cmp"
	"time"
)

func (p *Placer) enter(g *Group, state State, reason string) {
	g.State = state
	g.StateSince = p.msg.Now
	g.Reason = reason
	g.ordered = nil
}

func (p *Placer) advance(g *Group) {
	switch g.State {
	case Forming:
		p.form(g)
	case Opening:
		p.open(g)
	case Open:
		p.watch(g)
	case Closing:
		p.close(g)
	}
}

// order sends an order to a member unless it was sent a moment ago.
func (p *Placer) order(g *Group, m Member, order Order) {
	key := string(order.Op) + m.Instance
	if at, ok := g.ordered[key]; ok && p.msg.Now-at < p.options.repeatAfter {
		return
	}
	if g.ordered == nil {
		g.ordered = map[string]time.Duration{}
	}
	g.ordered[key] = p.msg.Now
	order.Instance = m.Instance
	order.Born = m.Born
	order.Group = g.Name
	order.Epoch = g.Epoch
	order.AcceptedOrders = p.byID[m.Instance].Report.Orders
	p.orders = append(p.orders, order)
}

// refusalsBorne is how many refused orders a group may have: one can be
// overtaken on its way by a later one of this leader.
const refusalsBorne = 1

// RecordRefusal tells that a member refused an order of a group since it has seen a
// newer epoch or token: the belief that formed the group is wrong.
func (p *Placer) RecordRefusal(group string) {
	if g := p.groups[group]; g != nil {
		g.refused++
	}
}

// formFailure returns why a group that forms is given up, or an empty string.
func (p *Placer) formFailure(g *Group) string {
	switch {
	case g.refused > refusalsBorne:
		return "its members have seen newer orders"
	case g.due != 0 && p.msg.Now > g.due:
		return "it did not form in time"
	}
	return ""
}

// form orders the members to join until all are ready. The members of an
// adopted group have joined it before, or never will.
func (p *Placer) form(g *Group) {
	if reason := p.formFailure(g); reason != "" {
		p.abandon(g, reason)
		return
	}
	ready := 0
	for _, m := range g.Members {
		if h := p.health(m); h != sound {
			p.abandon(g, "member "+m.Instance+" does not answer or leaves")
			return
		}
		e := p.byID[m.Instance]
		switch {
		case !p.inGroup(g, m) && g.adopted:
			p.abandon(g, "member "+m.Instance+" is in another group")
			return
		case !p.inGroup(g, m):
			p.order(g, m, Order{Op: OpJoin, Model: g.Model, Members: names(g.Members)})
		case e.Report.State == MemberReady || e.Report.State == MemberOpen:
			ready++
		case e.Report.State == MemberBroken:
			p.abandon(g, "member "+m.Instance+" reports it broken")
			return
		}
	}
	if ready == len(g.Members) {
		p.enter(g, Opening, "")
		p.open(g)
	}
}

// abandon gives up a group that has not served. An earlier leader's order to
// open an adopted one may still be on its way, so its head must leave first.
func (p *Placer) abandon(g *Group, reason string) {
	if g.adopted {
		p.startClose(g, reason, true)
		return
	}
	p.end(g)
}

// open orders the head to serve, as long as all members stay ready.
func (p *Placer) open(g *Group) {
	if reason := cmp.Or(p.lost(g), p.formFailure(g)); reason != "" {
		p.startClose(g, reason, true)
		return
	}
	if p.headState(g) == MemberOpen {
		p.enter(g, Open, "")
		return
	}
	p.order(g, g.Head(), Order{Op: OpOpen})
}

// lost returns why a group can not go on, or an empty string.
func (p *Placer) lost(g *Group) string {
	moving := p.msg.ProgressingHeads[g.Head().Instance]
	for _, m := range g.Members {
		switch p.health(m) {
		case dead:
			return "member " + m.Instance + " has ended"
		case silent:
			if !moving {
				return "member " + m.Instance + " is silent"
			}
		default:
			if !p.inGroup(g, m) {
				return "member " + m.Instance + " is in another group"
			}
			if p.msg.StalledHeads[g.Head().Instance] && p.byID[m.Instance].FailingSince != 0 {
				return "member " + m.Instance + " does not answer and the group stands still"
			}
		}
	}
	if p.headState(g) == MemberBroken {
		return "its head reports it broken"
	}
	return ""
}

func (p *Placer) watch(g *Group) {
	if reason := p.lost(g); reason != "" {
		p.startClose(g, reason, true)
		return
	}
	for _, m := range g.Members {
		if p.health(m) == leaving {
			p.startClose(g, "member "+m.Instance+" leaves", false)
			return
		}
	}
	if p.headState(g) == MemberReady {
		p.enter(g, Opening, "")
		g.due = p.msg.Now + formFactor*formSlack
	}
}

func (p *Placer) startClose(g *Group, reason string, cutover bool) {
	p.enter(g, Closing, reason)
	g.Cutover = cutover
	p.close(g)
}

// drainFor is how long the running work of a sound group may take to end before
// its members are needed; the rest goes on at other groups.
const drainFor = 3 * time.Second

// close makes sure that the head can not serve any more, then gives its
// members away.
func (p *Placer) close(g *Group) {
	if !g.Cutover && (p.lost(g) != "" || p.msg.Now-g.StateSince > drainFor) {
		g.Cutover = true
		g.ordered = nil
	}
	switch p.health(g.Head()) {
	case dead:
		p.end(g)
		return
	case silent:
		p.part(g)
		return
	}
	g.parted = 0
	switch p.headState(g) {
	case "":
		p.end(g)
	case MemberClosing:
		if g.Cutover {
			p.order(g, g.Head(), Order{Op: OpLeave})
		}
	case MemberOpen:
		if g.Cutover {
			p.order(g, g.Head(), Order{Op: OpLeave})
			return
		}
		p.order(g, g.Head(), Order{Op: OpClose})
	default:
		p.order(g, g.Head(), Order{Op: OpLeave})
	}
}

// part takes the members away from a head that does not answer: a group that a
// member has left stands still and breaks by its own limit.
func (p *Placer) part(g *Group) {
	left := false
	for _, m := range g.Members[1:] {
		switch h := p.health(m); {
		case h == silent:
		case h != dead && p.inGroup(g, m):
			p.order(g, m, Order{Op: OpLeave})
		default:
			left = true
		}
	}
	if left && g.parted == 0 {
		g.parted = p.msg.Now
	}
	if g.parted != 0 && p.msg.Now-g.parted > p.options.breakAfter {
		p.end(g)
	}
}

// hasParted reports whether a member has left a group whose head is silent, so
// that it can join another one.
func (p *Placer) hasParted(g *Group, m Member) bool {
	return g.State == Closing && g.parted != 0 && m != g.Head() && p.health(m) == sound && !p.inGroup(g, m)
}

// end gives the members of a group away.
func (p *Placer) end(g *Group) {
	p.ended[g.Name] = true
	delete(p.groups, g.Name)
}
