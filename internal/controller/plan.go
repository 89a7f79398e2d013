package controller

import (
	"context"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/planner"
	"papayaseam/internal/registrar"
)

// plan runs the planner at a leader that has heard from everybody.
func (c *Controller) plan(ctx context.Context) {
	c.mu.Lock()
	if !c.leading || time.Since(c.leadSince) < settleAfter {
		c.mu.Unlock()
		return
	}
	assignments := c.planner.Update(c.view())
	c.mu.Unlock()
	for _, assignment := range assignments {
		answer := c.command(ctx, messenger.Command{Kind: registrar.CommandAssign, Assignment: &assignment})
		c.log.Info("group assigned", "group", assignment.Name, "active", assignment.Group.Active, "members", memberNames(assignment.Group.Members),
			"standbys", memberNames(assignment.Group.Standbys), "accepted", answer.Assigned, "kind", answer.Kind)
	}
}

func memberNames(members []messenger.Member) []string {
	var names []string
	for _, m := range members {
		names = append(names, m.Instance)
	}
	return names
}

// view builds the planner's view; mu is held.
func (c *Controller) view() planner.ViewMsg {
	now := time.Now()
	msg := planner.ViewMsg{
		NowMs:    int(now.Sub(c.leadSince) / time.Millisecond),
		Models:   c.registrar.Objects(registrar.KindModel),
		Services: c.registrar.Objects(registrar.KindService),
		Groups:   c.registrar.Objects(registrar.KindGroup),
		Ready:    map[string]int{},
	}
	for _, entry := range c.present {
		status := entry.status
		if status.Role != "side" {
			continue
		}
		msg.Instances = append(msg.Instances, instanceOf(entry, now))
		if status.Load != nil && status.Load.Ready && now.Sub(entry.at) < aliveFor {
			msg.Ready[status.Load.Group] = status.Load.Epoch
		}
	}
	return msg
}

func instanceOf(entry presence, now time.Time) planner.Instance {
	status := entry.status
	return planner.Instance{
		Name: status.Instance, Address: status.Address, Region: status.Region, FailureDomain: status.FailureDomain,
		FabricDomain: status.FabricDomain, Service: status.Service, ModelEngine: status.ModelEngine,
		EndpointUp: status.EndpointUp, Leaving: status.Leaving, Straggling: status.Straggling,
		SilentMs: int(now.Sub(entry.at) / time.Millisecond), Group: status.Group, Epoch: status.Epoch, Loaded: status.Loaded,
	}
}
