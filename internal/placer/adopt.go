package placer

import (
	"maps"
	"slices"
	"strings"

	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"
)

// adopt takes in groups that an earlier leader formed.
func (p *Placer) adopt() {
	for _, view := range p.msg.KnownGroups {
		p.adoptKnown(view)
	}
	for _, e := range p.msg.Endpoints {
		r := e.Report
		if r.Group == "" || r.State == MemberBroken || p.groups[r.Group] != nil || p.ended[r.Group] {
			continue
		}
		p.adoptReported(r.Group, r.Epoch)
	}
}

func (p *Placer) adoptKnown(view messenger.GroupView) {
	if p.groups[view.Name] != nil || p.ended[view.Name] || len(view.Members) == 0 {
		return
	}
	if !view.Open && !view.Broken {
		// It forms or closes; its members tell how far it is.
		return
	}
	g := &Group{Name: view.Name, Service: view.Service, Model: view.Model, Epoch: view.Epoch, StateSince: p.msg.Now, State: Open, FailureDomain: view.FailureDomain, adopted: true}
	for _, id := range view.Members {
		g.Members = append(g.Members, Member{id, p.byID[id].View.Born})
	}
	if !view.Open {
		g.State = Closing
		g.Reason = "an earlier leader was closing it"
		g.Cutover = true
	}
	g.FabricDomain = p.byID[view.Members[0]].Report.FabricDomain
	p.groups[g.Name] = g
}

// adoptReported collects a group from the reports of its members; an
// incomplete one is closed.
func (p *Placer) adoptReported(name string, epoch int) {
	model, _, _ := strings.Cut(name, "/")
	ranks := map[int]tracker.Endpoint{}
	for _, e := range p.msg.Endpoints {
		if e.Report.Group == name && e.Report.Epoch == epoch {
			ranks[e.Report.Rank] = e
		}
	}
	declared, ok := p.msg.Engine.Model(model)
	g := &Group{Name: name, Service: p.msg.Service, Model: model, Epoch: epoch, StateSince: p.msg.Now, State: Open, adopted: true}
	if _, known := ranks[0]; !known {
		// The head may serve where this leader does not reach it.
		g.Members = append(g.Members, Member{})
	}
	for _, rank := range slices.Sorted(maps.Keys(ranks)) {
		e := ranks[rank]
		g.Members = append(g.Members, Member{e.View.Instance, e.View.Born})
	}
	head, whole := ranks[0], ok && len(ranks) == declared.GroupSize
	if p.msg.ObserveOnly && (!whole || head.Report.State != MemberOpen) {
		return
	}
	g.FailureDomain = head.View.FailureDomain
	g.FabricDomain = head.Report.FabricDomain
	switch {
	case whole && head.Report.State == MemberOpen:
	case whole && head.Report.State != MemberClosing:
		g.State = Forming
		g.due = p.msg.Now + formFactor*(declared.ColdLoadTime+formSlack)
	default:
		g.State = Closing
		g.Cutover = true
		g.Reason = "found incomplete"
	}
	p.groups[name] = g
}
