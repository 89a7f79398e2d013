package controller

import (
	"context"
	"net/http"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/transporter"
)

// Register adds the handlers for internal messages and for operator requests.
func (c *Controller) Register(mux *http.ServeMux) {
	transporter.Handle(mux, "POST /inner/replicate", c.receiveBatch)
	transporter.Handle(mux, "POST /inner/probe", c.answerProbe)
	transporter.Handle(mux, "POST /inner/membership", c.changeMembership)
	transporter.Handle(mux, "POST /inner/command", c.commitCommand)
	transporter.Handle(mux, "POST /inner/presence", c.receivePresence)
	transporter.Handle(mux, "POST /inner/sync", c.handleSync)
	transporter.Handle(mux, "POST /v1/tickets", c.commitTicket)
	mux.HandleFunc("GET /v1/tickets", c.listTickets)
	mux.HandleFunc("GET /v1/tickets/{number}", c.showTicket)
	mux.HandleFunc("GET /v1/objects", c.listObjects)
	mux.HandleFunc("GET /v1/status", c.showStatus)
	mux.HandleFunc("GET /v1/burn", func(w http.ResponseWriter, _ *http.Request) {
		transporter.Write(w, http.StatusOK, c.burnRecorder.History(time.Since(c.startedAt), c.cfg.Name))
	})
}

// handleSync records a process's status and returns the configuration changes it
// does not have yet. If there are none, it waits for a change for the requested
// time, at most maxSyncWait. Entry processes also get the load reports.
func (c *Controller) handleSync(ctx context.Context, request messenger.SyncRequest) messenger.SyncResponse {
	c.mu.Lock()
	c.presence.record(request.Status, time.Now())
	response := c.registrar.ChangesSince(request.Known)
	changed := c.changed
	c.mu.Unlock()
	if len(response.Objects) == 0 && request.Known >= response.Index {
		wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxSyncWait)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	response = c.registrar.ChangesSince(request.Known)
	response.Leader = c.leader
	if request.Status.Role == "entry" {
		response.Loads = c.loadReports()
	}
	return response
}

// loadReports returns the load reports that this process received, and on a
// follower also those of other groups that the leader last returned. The caller
// must hold mu.
func (c *Controller) loadReports() []messenger.GroupLoad {
	now := time.Now()
	loads := c.presence.loadReports(now)
	if c.isLeader {
		return loads
	}
	reported := map[string]bool{}
	for _, load := range loads {
		reported[load.Group] = true
	}
	age := int(now.Sub(c.leaderLoadsAt) / time.Millisecond)
	for _, load := range c.leaderLoads {
		if !reported[load.Group] {
			load.AgeMs += age
			loads = append(loads, load)
		}
	}
	return loads
}

// reportPresence sends the recently recorded statuses to the leader and stores the
// load reports of all groups that it returns. A failed call is not retried; the
// next report overlaps this one.
func (c *Controller) reportPresence(ctx context.Context) {
	c.mu.Lock()
	leader, isLeader := c.leader, c.isLeader
	now := time.Now()
	statuses := c.presence.updatedSince(now.Add(-2*presenceInterval-presenceOverlap), now)
	c.mu.Unlock()
	if isLeader || leader == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var response messenger.SyncResponse
	report := messenger.PresenceReport{From: c.cfg.Name, Statuses: statuses}
	if err := c.client.Call(callCtx, "http://"+enroller.AddressOf(leader)+"/inner/presence", report, &response); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderLoads = response.Loads
	c.leaderLoadsAt = time.Now()
}

// receivePresence records the statuses sent by another control process and
// returns the load reports of all groups.
func (c *Controller) receivePresence(_ context.Context, report messenger.PresenceReport) messenger.SyncResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, status := range report.Statuses {
		c.presence.record(status, now)
	}
	return messenger.SyncResponse{Loads: c.presence.loadReports(now)}
}
