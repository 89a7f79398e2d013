package director

import (
	"context"
	"math"
	"net/http"
	"time"

	"papayaseam/internal/cataloguer"
	"papayaseam/internal/describer"
	"papayaseam/internal/enroller"
	"papayaseam/internal/messenger"
	"papayaseam/internal/packer"
	"papayaseam/internal/transporter"
	"papayaseam/internal/viewer"

	"github.com/cockroachdb/errors"
)

// RegisterHandlers adds the handlers of calls between entries and control processes.
func (d *Director) RegisterHandlers(mux *http.ServeMux) {
	transporter.Handle(mux, "POST /fleet/replicate", d.handleReplicate)
	transporter.Handle(mux, "POST /fleet/join", d.handleJoin)
	transporter.Handle(mux, "POST /fleet/leave", d.handleLeave)
	transporter.Handle(mux, "POST /fleet/sync", d.Sync)
	transporter.Handle(mux, "POST /fleet/follow", d.handleFollow)
	transporter.Handle(mux, "POST /fleet/digest", d.handleDigest)
	transporter.Handle(mux, "POST /fleet/hint", d.handleHint)
	transporter.Handle(mux, "POST /fleet/announce", d.handleAnnounce)
	transporter.Handle(mux, "POST /fleet/document", d.handleDocument)
	transporter.Handle(mux, "POST /fleet/quarantine", d.handleQuarantine)
	transporter.Handle(mux, "POST /fleet/doubt", d.handleDoubt)
	transporter.Handle(mux, "POST /fleet/evacuate", d.handleEvacuate)
}

// Sync returns what an entry lacks of the configuration and the view of the fleet:
// at once if there is something new, otherwise after the requested wait. Any control
// process can respond. The response is confirmed by a quorum after the request
// arrived, or says that it is not and then holds no configuration.
func (d *Director) Sync(ctx context.Context, request messenger.FleetRequest) messenger.FleetResponse {
	d.recordEntryRequest(request)
	// The round sends the entry's sightings on at once, before the wait for a change.
	c, err := d.confirmAndCatchUp(ctx)
	if err == nil {
		d.waitForChange(ctx, request)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	response := d.responseTo(request)
	response.Confirmed = err == nil
	response.Entries, response.Served = c.Entries, c.Served
	if err != nil {
		response.Document, response.Version = "", 0
		return response
	}
	response.Shares = d.sharesOf(request.Process, c)
	return response
}

// handleFollow returns what another control process lacks of the leader's view, if
// this process leads, and otherwise only the leader's address.
func (d *Director) handleFollow(ctx context.Context, request messenger.FleetRequest) messenger.FleetResponse {
	if _, leading := d.leaderAddress(); leading {
		d.waitForChange(ctx, request)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leading {
		return messenger.FleetResponse{Leader: enroller.AddressOf(d.leader)}
	}
	return d.responseTo(request)
}

// responseTo returns what the caller lacks of the configuration and the view. The
// caller holds mu.
func (d *Director) responseTo(request messenger.FleetRequest) messenger.FleetResponse {
	version, document := d.state.Document()
	changes := d.fleet.viewer.ChangesSince(viewPosition(request))
	response := messenger.FleetResponse{
		Leader: enroller.AddressOf(d.leader), Version: version, Changes: &changes,
		Quarantine: d.state.Quarantine().ChangesSince(request.Quarantine),
	}
	if version > request.Version {
		response.Document = document
	}
	if !followsLog(request) {
		response.Evacuations = d.state.Evacuations().ListSince(request.Evacuations)
	}
	return response
}

// viewPosition returns the position in the view up to which the caller has it.
func viewPosition(request messenger.FleetRequest) viewer.Position {
	return viewer.Position{Term: request.Term, ViewRevision: request.View, LoadRevision: request.Loads}
}

// forwardToLeader forwards a call to the leader. It returns a zero response and false
// if no leader is known or responds, or if the call was forwarded too often.
func forwardToLeader[Out any](ctx context.Context, d *Director, path string, hops int, timeout time.Duration, in any) (Out, bool) {
	var out, zero Out
	leader, isSelf := d.leaderAddress()
	if leader == "" || isSelf || hops > maxHops {
		return zero, false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := d.client.Call(ctx, "http://"+leader+path, in, &out); err != nil {
		d.log.Debug("could not forward call to the leader", "path", path, "leader", leader, "err", err)
		return zero, false
	}
	return out, true
}

// recordEntryRequest stores what an entry sent with its request: sightings and
// demand. Requests of control processes name no process and are skipped.
func (d *Director) recordEntryRequest(request messenger.FleetRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if request.Process == "" {
		return
	}
	d.fleet.entries[request.Process] = entryState{receivedAt: now(), sightings: request.Sightings}
	d.addDemand(request.Demand)
	d.meterDemand(request)
}

// waitForChange returns when there is something new for the caller, when this process
// gains or loses leadership, or when the requested wait is over.
func (d *Director) waitForChange(ctx context.Context, request messenger.FleetRequest) {
	_, wasLeading := d.leaderAddress()
	timer := time.NewTimer(min(time.Duration(request.WaitMs)*time.Millisecond, maxSyncWait))
	defer timer.Stop()
	for {
		d.mu.Lock()
		version, _ := d.state.Document()
		hasNews := version > request.Version || d.state.Quarantine().Revision() > request.Quarantine || d.hasNewEvacuations(request) || d.fleet.viewer.HasNewerView(viewPosition(request)) || d.leading != wasLeading
		changed := d.fleet.changed
		d.mu.Unlock()
		if hasNews {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// followLeader keeps a copy of the leader's view, so that this process can serve it
// to entries and start from it if it becomes the leader.
func (d *Director) followLeader(ctx context.Context) {
	for ctx.Err() == nil {
		leader, leading := d.leaderAddress()
		pause := followInterval
		if leading || !d.followLeaderOnce(ctx, leader) {
			pause = leaderRetryInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

const (
	// followInterval lets changes that happen together go in one response.
	followInterval = 5 * time.Millisecond
	// leaderRetryInterval is the time between attempts to reach a leader.
	leaderRetryInterval = 150 * time.Millisecond
)

// skipDocument is the version in follow requests that asks for the view only, since
// it is above all versions. A voter gets the document from the log; one whose log
// lags behind would otherwise be sent the document with every response.
const skipDocument = math.MaxInt

// skipQuarantine is the revision in follow requests of a voter, which has the
// quarantine from the log.
const skipQuarantine = math.MaxInt

// followsLog reports whether a follow request is from a voter, which has the evacuations
// from the log.
func followsLog(request messenger.FleetRequest) bool { return request.Quarantine == skipQuarantine }

// followLeaderOnce requests one update of the view from the leader or, if none is
// known, from any control process, and reports whether it received one.
func (d *Director) followLeaderOnce(ctx context.Context, leader string) bool {
	targets := []string{leader}
	if leader == "" {
		targets = d.controlAddresses()
	}
	d.mu.Lock()
	position := d.fleet.viewer.Position()
	request := messenger.FleetRequest{Version: skipDocument, Quarantine: skipQuarantine, View: position.ViewRevision, Loads: position.LoadRevision, Term: position.Term, WaitMs: int(maxSyncWait / time.Millisecond)}
	if d.journal == nil {
		request.Version, _ = d.state.Document()
		request.Quarantine = d.state.Quarantine().Revision()
		request.Evacuations = d.state.Evacuations().Revision()
	}
	d.mu.Unlock()
	for _, target := range targets {
		var response messenger.FleetResponse
		callCtx, cancel := context.WithTimeout(ctx, maxSyncWait+commandTimeout)
		err := d.client.Call(callCtx, "http://"+target+"/fleet/follow", request, &response)
		cancel()
		if err != nil {
			d.log.Debug("could not follow leader", "target", target, "err", err)
			continue
		}
		d.learnLeader(target, response)
		if response.Changes != nil {
			d.applyView(response)
			return true
		}
	}
	d.forgetLeader(leader)
	return false
}

// learnLeader makes a process without a vote follow the leader named in a response.
// A process that names itself but sends no view doesn't lead.
func (d *Director) learnLeader(target string, response messenger.FleetResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.journal != nil || response.Leader == "" || response.Leader == d.cfg.Address {
		return
	}
	if response.Changes != nil || response.Leader != target {
		d.leader = "@" + response.Leader
	}
}

// forgetLeader drops an unresponsive leader on a process without a vote, which learns
// of a new leader only by asking other processes.
func (d *Director) forgetLeader(leader string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.journal == nil && leader != "" && enroller.AddressOf(d.leader) == leader {
		d.leader = ""
	}
}

// applyView applies a response of the leader to the local copy of its view. A process
// without a disk also takes the configuration from it.
func (d *Director) applyView(response messenger.FleetResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leading {
		return
	}
	if d.journal == nil && response.Document != "" {
		if d.state.Update(cataloguer.CommandMsg{Command: messenger.FleetCommand{Version: response.Version, Document: response.Document}}) {
			d.loadConfiguration()
		}
	}
	if d.journal == nil && response.Quarantine != nil {
		d.state.ApplyQuarantine(*response.Quarantine)
		d.quarantineChanged()
	}
	if d.journal == nil && response.Evacuations != nil {
		d.applyEvacuations(*response.Evacuations)
	}
	if d.fleet.viewer.Update(viewer.ApplyMsg{Changes: *response.Changes}) {
		d.fleet.notifyWaiters()
	}
}

// DeclareConfiguration commits a complete configuration. It returns an error marked
// with describer.ErrInvalid if the configuration must be corrected; after any other
// error, the outcome is unknown.
func (d *Director) DeclareConfiguration(ctx context.Context, document []byte) error {
	config, err := d.cfg.Decode(document)
	if err != nil {
		return errors.Mark(err, describer.ErrInvalid)
	}
	if err := config.Check(); err != nil {
		return err
	}
	packed, err := packer.Pack(document)
	if err != nil {
		return errors.Mark(err, describer.ErrInvalid)
	}
	answer := d.handleDocument(ctx, messenger.DocumentRequest{Version: config.Version, Document: packed})
	if !answer.Accepted {
		return ErrOutcomeUnknown
	}
	return nil
}

// NewestConfiguration returns the newest configuration, confirmed by a quorum. It
// returns ErrNoLeader if it can't be confirmed or there is none, and on a process with a
// disk that does not vote: operators take an answer for the sign that a successor votes.
func (d *Director) NewestConfiguration(ctx context.Context) (string, error) {
	if d.isLearner() {
		return "", ErrNoLeader
	}
	answer := d.handleDocument(ctx, messenger.DocumentRequest{})
	if !answer.Known || answer.Version == 0 {
		return "", ErrNoLeader
	}
	document, err := packer.Unpack(answer.Document)
	return string(document), err
}

// handleDocument commits a declared configuration, or reads the newest one if the
// request holds none.
func (d *Director) handleDocument(ctx context.Context, request messenger.DocumentRequest) messenger.DocumentAnswer {
	if request.Document == "" {
		return d.readConfiguration(ctx)
	}
	if _, leading := d.leaderAddress(); !leading {
		request.Hops++
		answer, _ := forwardToLeader[messenger.DocumentAnswer](ctx, d, "/fleet/document", request.Hops, commandTimeout, request)
		return answer
	}
	if d.isOutdated(request.Version) {
		err := d.confirm(ctx)
		return messenger.DocumentAnswer{Accepted: err == nil, Version: request.Version}
	}
	_, err := d.commit(ctx, messenger.FleetCommand{Version: request.Version, Document: request.Document})
	d.log.Info("configuration proposed", "version", request.Version, "err", err)
	return messenger.DocumentAnswer{Accepted: err == nil, Version: request.Version}
}

// isOutdated reports whether a version is not above the committed one, so that
// declaring it changes nothing and needs no log entry.
func (d *Director) isOutdated(version int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest, _ := d.state.Document()
	return version <= newest
}

// readConfiguration reads the newest configuration after a confirmation.
func (d *Director) readConfiguration(ctx context.Context) messenger.DocumentAnswer {
	if err := d.confirm(ctx); err != nil {
		return messenger.DocumentAnswer{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	version, document := d.state.Document()
	return messenger.DocumentAnswer{Known: true, Version: version, Document: document}
}
