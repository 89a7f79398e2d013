package controller

import (
	"context"
	"net/http"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/transporter"
)

// Register adds the inner and the operators' paths.
func (c *Controller) Register(mux *http.ServeMux) {
	transporter.Handle(mux, "POST /inner/replicate", c.receive)
	transporter.Handle(mux, "POST /inner/probe", c.probe)
	transporter.Handle(mux, "POST /inner/membership", c.changeMembership)
	transporter.Handle(mux, "POST /inner/command", c.command)
	transporter.Handle(mux, "POST /inner/presence", c.takePresence)
	transporter.Handle(mux, "POST /inner/sync", c.sync)
	transporter.Handle(mux, "POST /v1/tickets", c.ticket)
	mux.HandleFunc("GET /v1/tickets", c.listTickets)
	mux.HandleFunc("GET /v1/tickets/{number}", c.showTicket)
	mux.HandleFunc("GET /v1/objects", c.listObjects)
	mux.HandleFunc("GET /v1/status", c.showStatus)
	mux.HandleFunc("GET /v1/burn", func(w http.ResponseWriter, _ *http.Request) {
		transporter.Write(w, http.StatusOK, c.burn.History(time.Since(c.began), c.cfg.Name))
	})
}

// sync notes a process's status and answers with what it lacks, at once when
// there is something, else after the asked wait.
func (c *Controller) sync(ctx context.Context, request messenger.SyncRequest) messenger.SyncResponse {
	c.mu.Lock()
	c.present.note(request.Status, time.Now())
	response := c.registrar.ChangesSince(request.Known)
	changed := c.changed
	c.mu.Unlock()
	if len(response.Objects) == 0 && request.Known >= response.Index {
		wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxWait)
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
		response.Loads = c.loads()
	}
	return response
}

// loads returns all load reports known here; mu is held.
func (c *Controller) loads() []messenger.GroupLoad {
	now := time.Now()
	loads := c.present.loads(now)
	if c.leading {
		return loads
	}
	known := map[string]bool{}
	for _, load := range loads {
		known[load.Group] = true
	}
	age := int(now.Sub(c.remoteAt) / time.Millisecond)
	for _, load := range c.remote {
		if !known[load.Group] {
			load.AgeMs += age
			loads = append(loads, load)
		}
	}
	return loads
}

// reportPresence passes the statuses noted here to the leader, and takes the
// load reports of all groups in return.
func (c *Controller) reportPresence(ctx context.Context) {
	c.mu.Lock()
	leader, leading := c.leader, c.leading
	now := time.Now()
	statuses := c.present.since(now.Add(-2*presenceEvery-presenceOverlap), now)
	c.mu.Unlock()
	if leading || leader == "" {
		return
	}
	call, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	var response messenger.SyncResponse
	report := messenger.PresenceReport{From: c.cfg.Name, Statuses: statuses}
	if err := c.client.Call(call, "http://"+enroller.AddressOf(leader)+"/inner/presence", report, &response); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remote = response.Loads
	c.remoteAt = time.Now()
}

func (c *Controller) takePresence(_ context.Context, report messenger.PresenceReport) messenger.SyncResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, status := range report.Statuses {
		c.present.note(status, now)
	}
	return messenger.SyncResponse{Loads: c.present.loads(now)}
}
