package controller

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/registrar"
	"papayaseam/internal/transporter"
)

// listedTickets is how many tickets are listed unless a reader asks for more.
const listedTickets = 20

// confirm commits an empty read, so that what is read next is not stale.
func (c *Controller) confirm(ctx context.Context) messenger.CommandAnswer {
	return c.command(ctx, messenger.Command{Kind: registrar.CommandRead})
}

func (c *Controller) listTickets(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("last"))
	if err != nil || n < 1 {
		n = listedTickets
	}
	if c.redirect(w, r) {
		return
	}
	c.mu.Lock()
	states := c.registrar.NewestTickets(n)
	for i := range states {
		c.spread(&states[i])
	}
	c.mu.Unlock()
	transporter.Write(w, http.StatusOK, states)
}

func (c *Controller) showTicket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.Atoi(r.PathValue("number"))
	if err != nil {
		http.Error(w, "the number must be a whole number", http.StatusBadRequest)
		return
	}
	if c.redirect(w, r) {
		return
	}
	c.mu.Lock()
	state, ok := c.registrar.Ticket(number)
	c.spread(&state)
	c.mu.Unlock()
	if !ok {
		http.Error(w, "no accepted ticket has this number", http.StatusNotFound)
		return
	}
	transporter.Write(w, http.StatusOK, state)
}

// spread fills in which live processes have not yet applied a ticket; mu is
// held.
func (c *Controller) spread(state *messenger.TicketState) {
	now := time.Now()
	for name, entry := range c.present {
		if now.Sub(entry.at) < aliveFor && entry.status.Applied < state.Index {
			state.Lacking = append(state.Lacking, name)
		}
	}
	slices.Sort(state.Lacking)
	state.InForce = len(state.Lacking) == 0
}

// redirect sends a reader to the leader, whose view is whole; it also commits
// a read so that a cut-off leader answers nothing stale.
func (c *Controller) redirect(w http.ResponseWriter, r *http.Request) bool {
	leader, leading := c.leadership()
	if leading {
		if answer := c.confirm(r.Context()); answer.Kind != "" {
			http.Error(w, answer.Message, http.StatusServiceUnavailable)
			return true
		}
		return false
	}
	if leader == "" {
		http.Error(w, ErrNoLeader.Error(), http.StatusServiceUnavailable)
		return true
	}
	http.Redirect(w, r, "http://"+enroller.AddressOf(leader)+r.URL.RequestURI(), http.StatusTemporaryRedirect)
	return true
}

func (c *Controller) listObjects(w http.ResponseWriter, r *http.Request) {
	if c.redirect(w, r) {
		return
	}
	c.mu.Lock()
	response := c.registrar.ChangesSince(0)
	c.mu.Unlock()
	transporter.Write(w, http.StatusOK, response)
}

func (c *Controller) showStatus(w http.ResponseWriter, r *http.Request) {
	if c.redirect(w, r) {
		return
	}
	c.mu.Lock()
	report := c.status()
	c.mu.Unlock()
	transporter.Write(w, http.StatusOK, report)
}

// status builds the report; mu is held.
func (c *Controller) status() messenger.StatusReport {
	now := time.Now()
	report := messenger.StatusReport{Leader: c.leader, Term: c.term, Index: c.registrar.ModifiedIndex(), Voters: c.voters}
	loads := map[string]messenger.GroupLoad{}
	for name, entry := range c.present {
		status := entry.status
		age := now.Sub(entry.at)
		report.Processes = append(report.Processes, messenger.ProcessState{
			Instance: name, Address: status.Address, Role: status.Role, FailureDomain: status.FailureDomain, AgeMs: int(age / time.Millisecond),
			Applied: status.Applied, Behind: status.Applied < report.Index, Leaving: status.Leaving,
			Group: status.Group, Epoch: status.Epoch, EndpointUp: status.EndpointUp,
		})
		if status.Load != nil && age < aliveFor {
			loads[status.Load.Group] = *status.Load
		}
		if status.ModelEngine && status.EndpointUp && age < aliveFor && status.Group == "" {
			report.FreeAccelerators++
		}
	}
	slices.SortFunc(report.Processes, func(a, b messenger.ProcessState) int { return strings.Compare(a.Instance, b.Instance) })
	for _, object := range c.registrar.Objects(registrar.KindGroup) {
		report.Groups = append(report.Groups, groupState(object, loads[object.Name]))
	}
	_, report.StrandedAccelerators = strandedAccelerators(c.view())
	for _, object := range c.registrar.Objects(registrar.KindHold) {
		report.Holds = append(report.Holds, object.Name)
	}
	return report
}

func groupState(object messenger.Object, load messenger.GroupLoad) messenger.GroupState {
	group := object.Group
	current := load.Epoch == group.Epoch
	return messenger.GroupState{
		Name: object.Name, Model: group.Model, Service: group.Service, Version: group.Version, Epoch: group.Epoch,
		Active: group.Active, Ready: group.Active && current && load.Ready, Members: memberNames(group.Members),
		Standbys: memberNames(group.Standbys), Running: load.Running, Queued: load.Queued, Parallel: load.Parallel,
		FailureDomain: group.FailureDomain, FabricDomain: group.FabricDomain,
	}
}
