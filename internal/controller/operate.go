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

// defaultTicketCount is how many tickets are listed unless the request gives a
// number.
const defaultTicketCount = 20

// confirmLeadership commits an empty read command, which proves that this process
// is still the leader, so that what is read next is not stale.
func (c *Controller) confirmLeadership(ctx context.Context) messenger.CommandAnswer {
	return c.commitCommand(ctx, messenger.Command{Kind: registrar.CommandRead})
}

func (c *Controller) listTickets(w http.ResponseWriter, r *http.Request) {
	count, err := strconv.Atoi(r.URL.Query().Get("last"))
	if err != nil || count < 1 {
		count = defaultTicketCount
	}
	if c.redirectToLeader(w, r) {
		return
	}
	c.mu.Lock()
	states := c.registrar.NewestTickets(count)
	for i := range states {
		c.fillPropagation(&states[i])
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
	if c.redirectToLeader(w, r) {
		return
	}
	c.mu.Lock()
	state, ok := c.registrar.Ticket(number)
	c.fillPropagation(&state)
	c.mu.Unlock()
	if !ok {
		http.Error(w, "no accepted ticket has this number", http.StatusNotFound)
		return
	}
	transporter.Write(w, http.StatusOK, state)
}

// fillPropagation sets which live processes have not yet applied a ticket, and
// whether all have. The caller must hold mu.
func (c *Controller) fillPropagation(state *messenger.TicketState) {
	now := time.Now()
	for name, entry := range c.presence {
		if now.Sub(entry.reportedAt) < aliveTimeout && entry.status.Applied < state.Index {
			state.Lacking = append(state.Lacking, name)
		}
	}
	slices.Sort(state.Lacking)
	state.InForce = len(state.Lacking) == 0
}

// redirectToLeader redirects a read request to the leader, the only process with
// the status of all processes. It reports whether it has written a response; if
// not, the caller answers. The leader first commits a read, so that a partitioned
// leader doesn't return stale data.
func (c *Controller) redirectToLeader(w http.ResponseWriter, r *http.Request) bool {
	leader, isLeader := c.leadership()
	if isLeader {
		if answer := c.confirmLeadership(r.Context()); answer.Kind != "" {
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
	if c.redirectToLeader(w, r) {
		return
	}
	c.mu.Lock()
	response := c.registrar.ChangesSince(0)
	c.mu.Unlock()
	transporter.Write(w, http.StatusOK, response)
}

func (c *Controller) showStatus(w http.ResponseWriter, r *http.Request) {
	if c.redirectToLeader(w, r) {
		return
	}
	c.mu.Lock()
	report := c.statusReport()
	c.mu.Unlock()
	transporter.Write(w, http.StatusOK, report)
}

// statusReport builds the report for operators. The caller must hold mu.
func (c *Controller) statusReport() messenger.StatusReport {
	now := time.Now()
	report := messenger.StatusReport{Leader: c.leader, Term: c.term, Index: c.registrar.ModifiedIndex(), Voters: c.voters}
	loads := map[string]messenger.GroupLoad{}
	for name, entry := range c.presence {
		status := entry.status
		age := now.Sub(entry.reportedAt)
		report.Processes = append(report.Processes, messenger.ProcessState{
			Instance: name, Address: status.Address, Role: status.Role, FailureDomain: status.FailureDomain, AgeMs: int(age / time.Millisecond),
			Applied: status.Applied, Behind: status.Applied < report.Index, Leaving: status.Leaving,
			Group: status.Group, Epoch: status.Epoch, EndpointUp: status.EndpointUp,
		})
		if status.Load != nil && age < aliveTimeout {
			loads[status.Load.Group] = *status.Load
		}
		if status.ModelEngine && status.EndpointUp && age < aliveTimeout && status.Group == "" {
			report.FreeAccelerators++
		}
	}
	slices.SortFunc(report.Processes, func(a, b messenger.ProcessState) int { return strings.Compare(a.Instance, b.Instance) })
	for _, object := range c.registrar.Objects(registrar.KindGroup) {
		report.Groups = append(report.Groups, groupState(object, loads[object.Name]))
	}
	_, report.StrandedAccelerators = strandedAccelerators(c.plannerView())
	for _, object := range c.registrar.Objects(registrar.KindHold) {
		report.Holds = append(report.Holds, object.Name)
	}
	return report
}

// groupState combines a group's assignment with its load report, which counts as
// ready only if it is of the current epoch.
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
