package placer

import (
	"maps"
	"slices"
	"strings"

	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"
)

// adopt adds the groups that an earlier leader formed: those that it published and
// those that endpoints report.
func (p *Placer) adopt() {
	for _, view := range p.msg.KnownGroups {
		p.adoptKnown(view)
	}
	p.identifyMembers()
	for _, e := range p.msg.Endpoints {
		r := e.Report
		if r.Group == "" || r.State == MemberBroken || p.groups[r.Group] != nil {
			continue
		}
		if !p.ended[r.Group] {
			p.adoptReported(r.Group, r.Epoch)
		} else if p.servesReleased(e) {
			p.closeReleased(r.Group, r.Epoch)
		}
	}
}

// servesReleased reports whether an endpoint has reported to serve a group after that was
// released. The last report of an endpoint that can't be reached is from before.
func (p *Placer) servesReleased(e tracker.Endpoint) bool {
	switch p.health(Member{e.View.Instance, e.View.Born}) {
	case unreachable, dead:
		return false
	}
	return e.FailingSince == 0 && (e.Report.State == MemberOpen || e.Report.State == MemberClosing)
}

// closeReleased takes a released group back whose head reports to serve after all, so that
// its members leave it before they are free.
func (p *Placer) closeReleased(name string, epoch int) {
	delete(p.ended, name)
	p.adoptReported(name, epoch)
	if g := p.groups[name]; g != nil {
		p.setState(g, Closing, "its head serves after its release")
		g.Cutover = true
	}
}

// adoptKnown adds a published group that was open or being cut over.
func (p *Placer) adoptKnown(view messenger.GroupView) {
	if p.groups[view.Name] != nil || p.ended[view.Name] || len(view.Members) == 0 {
		return
	}
	if !view.Open && !view.Broken {
		// The group is forming or draining; its state follows from the members' reports.
		return
	}
	g := &Group{Name: view.Name, Service: view.Service, Model: view.Model, Epoch: view.Epoch, StateSince: p.msg.Now, State: Open, FailureDomain: view.FailureDomain, adopted: true}
	for _, id := range view.Members {
		g.Members = append(g.Members, Member{id, p.byID[id].View.Born})
	}
	if !view.Open {
		g.State = Closing
		g.Reason = "an earlier leader was closing the group"
		g.Cutover = true
	}
	g.FabricDomain = p.byID[view.Members[0]].Report.FabricDomain
	p.groups[g.Name] = g
	if !view.Open {
		p.expectOpening(g)
	}
}

// identifyMembers completes the members of published groups whose boot was not known when
// the group was adopted. Whether that boot is in the group follows from its reports.
func (p *Placer) identifyMembers() {
	for _, g := range p.groups {
		for i, m := range g.Members {
			if m.BootTime == 0 {
				g.Members[i].BootTime = p.byID[m.Instance].View.Born
			}
		}
	}
}

// adoptReported reconstructs a group from its members' reports. An incomplete
// group is closed, or ignored in an observe-only plan.
func (p *Placer) adoptReported(name string, epoch int) {
	modelName, _, _ := strings.Cut(name, "/")
	ranks := map[int]tracker.Endpoint{}
	for _, e := range p.msg.Endpoints {
		if e.Report.Group == name && e.Report.Epoch == epoch {
			ranks[e.Report.Rank] = e
		}
	}
	model, declared := p.msg.Engine.Model(modelName)
	g := &Group{Name: name, Service: p.msg.Service, Model: modelName, Epoch: epoch, StateSince: p.msg.Now, State: Open, adopted: true}
	if _, headReported := ranks[0]; !headReported {
		// The head may be serving although this leader cannot reach it.
		g.Members = append(g.Members, Member{})
	}
	for _, rank := range slices.Sorted(maps.Keys(ranks)) {
		e := ranks[rank]
		g.Members = append(g.Members, Member{e.View.Instance, e.View.Born})
	}
	head, complete := ranks[0], declared && len(ranks) == model.GroupSize
	if p.msg.ObserveOnly && (!complete || head.Report.State != MemberOpen) {
		return
	}
	g.FailureDomain = head.View.FailureDomain
	g.FabricDomain = head.Report.FabricDomain
	switch {
	case complete && head.Report.State == MemberOpen:
	case complete && head.Report.State != MemberClosing:
		g.State = Forming
		g.formDeadline = p.msg.Now + formDeadlineFactor*(model.ColdLoadTime+formMargin)
	default:
		g.State = Closing
		g.Cutover = true
		g.Reason = "found incomplete at takeover"
	}
	p.groups[name] = g
	p.expectOpening(g)
}
