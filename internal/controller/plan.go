package controller

import (
	"context"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/planner"
	"papayaseam/internal/recorder"
	"papayaseam/internal/registrar"
)

// plan runs the planner and commits its assignments. It does nothing unless this
// process has been the leader for leaderSettleDelay, which gives all processes
// time to report their status.
func (c *Controller) plan(ctx context.Context) {
	c.mu.Lock()
	if !c.isLeader || time.Since(c.leaderSince) < leaderSettleDelay {
		c.mu.Unlock()
		return
	}
	view := c.plannerView()
	assignments := c.planner.Update(view)
	c.recordGroupObjectives(view)
	c.mu.Unlock()
	for _, assignment := range assignments {
		answer := c.commitCommand(ctx, messenger.Command{Kind: registrar.CommandAssign, Assignment: &assignment})
		c.log.Info("group assignment submitted", "group", assignment.Name, "active", assignment.Group.Active, "members", memberNames(assignment.Group.Members),
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

// recordGroupObjectives records group downtime and stranded accelerators since
// the last plan, in milliseconds times count, for the objectives that measure
// them. The caller must hold mu.
func (c *Controller) recordGroupObjectives(view planner.ViewMsg) {
	elapsed := min(time.Since(c.lastPlanAt), 2*planInterval)
	c.lastPlanAt = time.Now()
	elapsedMs := float64(elapsed / time.Millisecond)
	for _, object := range c.registrar.Objects(registrar.KindObjective) {
		objective := object.Objective
		var total, bad int
		switch objective.Measure {
		case recorder.MeasureDowntime:
			total, bad = countDeclaredGroups(view, objective.Target)
		case recorder.MeasureStranded:
			total, bad = strandedAccelerators(view)
		default:
			continue
		}
		c.burnRecorder.Add(time.Since(c.startedAt), recorder.Series{Measure: objective.Measure, Target: objective.Target, Percent: objective.Percent}, float64(total)*elapsedMs, float64(bad)*elapsedMs)
	}
}

// countDeclaredGroups returns how many groups are declared for a model and how
// many of those are not serving.
func countDeclaredGroups(view planner.ViewMsg, model string) (declared, down int) {
	for _, object := range view.Models {
		if object.Name == model {
			declared = object.Model.Groups
		}
	}
	serving := 0
	for _, object := range view.Groups {
		if object.Group.Active && object.Group.Model == model && view.ReadyEpochs[object.Name] == object.Group.Epoch {
			serving++
		}
	}
	return declared, max(0, declared-serving)
}

// strandedAccelerators returns how many model engines are up and how many of
// those are idle because their group is not serving.
func strandedAccelerators(view planner.ViewMsg) (up, stranded int) {
	usable := map[string]bool{}
	for _, instance := range view.Instances {
		if instance.ModelEngine && instance.EndpointUp && time.Duration(instance.SilenceMs)*time.Millisecond < aliveTimeout {
			usable[instance.Name] = true
		}
	}
	for _, object := range view.Groups {
		if !object.Group.Active || view.ReadyEpochs[object.Name] == object.Group.Epoch {
			continue
		}
		for _, m := range object.Group.Members {
			if usable[m.Instance] {
				stranded++
			}
		}
	}
	return len(usable), stranded
}

// plannerView builds the planner's input from the applied state and the presence
// table. The caller must hold mu.
func (c *Controller) plannerView() planner.ViewMsg {
	now := time.Now()
	view := planner.ViewMsg{
		NowMs:       int(now.Sub(c.leaderSince) / time.Millisecond),
		Models:      c.registrar.Objects(registrar.KindModel),
		Services:    c.registrar.Objects(registrar.KindService),
		Groups:      c.registrar.Objects(registrar.KindGroup),
		ReadyEpochs: map[string]int{},
	}
	for _, entry := range c.presence {
		status := entry.status
		if status.Role != "side" {
			continue
		}
		view.Instances = append(view.Instances, plannerInstance(entry, now))
		if status.Load != nil && status.Load.Ready && now.Sub(entry.reportedAt) < aliveTimeout {
			view.ReadyEpochs[status.Load.Group] = status.Load.Epoch
		}
	}
	return view
}

func plannerInstance(entry presenceEntry, now time.Time) planner.Instance {
	status := entry.status
	return planner.Instance{
		Name: status.Instance, Address: status.Address, Region: status.Region, FailureDomain: status.FailureDomain,
		FabricDomain: status.FabricDomain, Service: status.Service, ModelEngine: status.ModelEngine,
		EndpointUp: status.EndpointUp, Leaving: status.Leaving, Straggling: status.Straggling, StepMs: status.StepMs,
		SilenceMs: int(now.Sub(entry.reportedAt) / time.Millisecond), Group: status.Group, Epoch: status.Epoch, LoadedWeights: status.Loaded,
	}
}
