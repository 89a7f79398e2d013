package controller

import (
	"context"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/planner"
	"papayaseam/internal/recorder"
	"papayaseam/internal/registrar"
)

// plan runs the planner at a leader that has heard from everybody.
func (c *Controller) plan(ctx context.Context) {
	c.mu.Lock()
	if !c.leading || time.Since(c.leadSince) < settleAfter {
		c.mu.Unlock()
		return
	}
	view := c.view()
	assignments := c.planner.Update(view)
	c.judge(view)
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

// judge counts group downtime and stranded accelerators since the last plan for
// the objectives that are about them; mu is held.
func (c *Controller) judge(view planner.ViewMsg) {
	since := min(time.Since(c.lastPlan), 2*planEvery)
	c.lastPlan = time.Now()
	ms := float64(since / time.Millisecond)
	for _, object := range c.registrar.Objects(registrar.KindObjective) {
		o := object.Objective
		var total, bad int
		switch o.Measure {
		case recorder.MeasureDowntime:
			total, bad = wantedGroups(view, o.Target)
		case recorder.MeasureStranded:
			total, bad = strandedAccelerators(view)
		default:
			continue
		}
		c.burn.Note(time.Since(c.began), recorder.Series{Measure: o.Measure, Target: o.Target, Percent: o.Percent}, float64(total)*ms, float64(bad)*ms)
	}
}

// wantedGroups counts the declared groups of a model and those that do not
// serve.
func wantedGroups(view planner.ViewMsg, model string) (wanted, down int) {
	for _, object := range view.Models {
		if object.Name == model {
			wanted = object.Model.Groups
		}
	}
	serving := 0
	for _, object := range view.Groups {
		if object.Group.Active && object.Group.Model == model && view.ReadyEpochs[object.Name] == object.Group.Epoch {
			serving++
		}
	}
	return wanted, max(0, wanted-serving)
}

// strandedAccelerators counts the engines that are up and those that idle
// because their group does not serve.
func strandedAccelerators(view planner.ViewMsg) (up, stranded int) {
	fit := map[string]bool{}
	for _, instance := range view.Instances {
		if instance.ModelEngine && instance.EndpointUp && time.Duration(instance.SilenceMs)*time.Millisecond < aliveFor {
			fit[instance.Name] = true
		}
	}
	for _, object := range view.Groups {
		if !object.Group.Active || view.ReadyEpochs[object.Name] == object.Group.Epoch {
			continue
		}
		for _, m := range object.Group.Members {
			if fit[m.Instance] {
				stranded++
			}
		}
	}
	return len(fit), stranded
}

// view builds the planner's view; mu is held.
func (c *Controller) view() planner.ViewMsg {
	now := time.Now()
	msg := planner.ViewMsg{
		NowMs:       int(now.Sub(c.leadSince) / time.Millisecond),
		Models:      c.registrar.Objects(registrar.KindModel),
		Services:    c.registrar.Objects(registrar.KindService),
		Groups:      c.registrar.Objects(registrar.KindGroup),
		ReadyEpochs: map[string]int{},
	}
	for _, entry := range c.present {
		status := entry.status
		if status.Role != "side" {
			continue
		}
		msg.Instances = append(msg.Instances, instanceOf(entry, now))
		if status.Load != nil && status.Load.Ready && now.Sub(entry.at) < aliveFor {
			msg.ReadyEpochs[status.Load.Group] = status.Load.Epoch
		}
	}
	return msg
}

func instanceOf(entry presence, now time.Time) planner.Instance {
	status := entry.status
	return planner.Instance{
		Name: status.Instance, Address: status.Address, Region: status.Region, FailureDomain: status.FailureDomain,
		FabricDomain: status.FabricDomain, Service: status.Service, ModelEngine: status.ModelEngine,
		EndpointUp: status.EndpointUp, Leaving: status.Leaving, Straggling: status.Straggling, StepMs: status.StepMs,
		SilenceMs: int(now.Sub(entry.at) / time.Millisecond), Group: status.Group, Epoch: status.Epoch, LoadedWeights: status.Loaded,
	}
}
