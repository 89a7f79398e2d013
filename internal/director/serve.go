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

// RegisterHandlers adds the inner paths.
func (d *Director) RegisterHandlers(mux *http.ServeMux) {
	transporter.Handle(mux, "POST /fleet/replicate", d.receive)
	transporter.Handle(mux, "POST /fleet/join", d.join)
	transporter.Handle(mux, "POST /fleet/sync", d.Sync)
	transporter.Handle(mux, "POST /fleet/follow", d.lead)
	transporter.Handle(mux, "POST /fleet/digest", d.digest)
	transporter.Handle(mux, "POST /fleet/hint", d.takeHint)
	transporter.Handle(mux, "POST /fleet/announce", d.announce)
	transporter.Handle(mux, "POST /fleet/document", d.document)
}

// Sync answers what an entry lacks of the configuration and the fleet, at once
// when there is something, else after the asked wait. Any control process
// answers it. The answer is confirmed by a quorum after the request arrived, or
// says that it is not; then it holds no configuration.
func (d *Director) Sync(ctx context.Context, request messenger.FleetRequest) messenger.FleetResponse {
	d.noteRequest(request)
	// What the entry saw goes on at once; the wait for news comes after.
	c, err := d.fresh(ctx)
	if err == nil {
		d.wait(ctx, request)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	response := d.answerTo(request)
	response.Confirmed = err == nil
	response.Entries = c.Entries
	if err != nil {
		response.Document, response.Version = "", 0
	}
	return response
}

// lead answers what another control process lacks, if this one leads.
func (d *Director) lead(ctx context.Context, request messenger.FleetRequest) messenger.FleetResponse {
	if _, leading := d.leaderAddress(); leading {
		d.wait(ctx, request)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leading {
		return messenger.FleetResponse{Leader: enroller.AddressOf(d.leader)}
	}
	return d.answerTo(request)
}

// answerTo returns what an asker lacks; mu is held.
func (d *Director) answerTo(request messenger.FleetRequest) messenger.FleetResponse {
	version, document := d.state.Document()
	changes := d.fleet.viewer.ChangesSince(positionOf(request))
	response := messenger.FleetResponse{Leader: enroller.AddressOf(d.leader), Version: version, Changes: &changes}
	if version > request.Version {
		response.Document = document
	}
	return response
}

func positionOf(request messenger.FleetRequest) viewer.Position {
	return viewer.Position{Term: request.Term, ViewRevision: request.View, LoadRevision: request.Loads}
}

// relay passes a call on to the leader. It reports false, with a zero answer,
// where no leader is known or answers, or the call was passed on too often.
func relay[Out any](ctx context.Context, d *Director, path string, hops int, timeout time.Duration, in any) (Out, bool) {
	var out, none Out
	leader, own := d.leaderAddress()
	if leader == "" || own || hops > maxHops {
		return none, false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := d.client.Call(ctx, "http://"+leader+path, in, &out); err != nil {
		d.log.Debug("call not passed on", "path", path, "leader", leader, "err", err)
		return none, false
	}
	return out, true
}

func (d *Director) noteRequest(request messenger.FleetRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if request.Process == "" {
		return
	}
	d.fleet.entries[request.Process] = entryState{at: now(), sightings: request.Sightings}
	d.addDemand(request.Demand)
}

// wait returns when there is something new for the caller, or its wait is over.
func (d *Director) wait(ctx context.Context, request messenger.FleetRequest) {
	_, leads := d.leaderAddress()
	timer := time.NewTimer(min(time.Duration(request.WaitMs)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		d.mu.Lock()
		version, _ := d.state.Document()
		news := version > request.Version || d.fleet.viewer.HasNewerView(positionOf(request)) || d.leading != leads
		changed := d.fleet.changed
		d.mu.Unlock()
		if news {
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

// follow keeps a copy of the leader's view, so that a new leader begins with
// it.
func (d *Director) follow(ctx context.Context) {
	for ctx.Err() == nil {
		leader, leading := d.leaderAddress()
		pause := followPause
		if leading || !d.followOnce(ctx, leader) {
			pause = silentPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

const (
	// followPause lets changes of one moment go in one answer.
	followPause = 5 * time.Millisecond
	// silentPause is the pace of attempts to reach a leader.
	silentPause = 150 * time.Millisecond
)

// noDocument is above all versions: a control process has the document from the
// log, and asks the leader for its view only. A process that is behind in the
// log would else be sent the document again and again.
const noDocument = math.MaxInt

func (d *Director) followOnce(ctx context.Context, leader string) bool {
	targets := []string{leader}
	if leader == "" {
		targets = d.contacts()
	}
	d.mu.Lock()
	known := d.fleet.viewer.Position()
	request := messenger.FleetRequest{Version: noDocument, View: known.ViewRevision, Loads: known.LoadRevision, Term: known.Term, WaitMs: int(maxWait / time.Millisecond)}
	if d.journal == nil {
		request.Version, _ = d.state.Document()
	}
	d.mu.Unlock()
	for _, target := range targets {
		var response messenger.FleetResponse
		call, cancel := context.WithTimeout(ctx, maxWait+commandTimeout)
		err := d.client.Call(call, "http://"+target+"/fleet/follow", request, &response)
		cancel()
		if err != nil {
			d.log.Debug("leader not followed", "target", target, "err", err)
			continue
		}
		d.noteHint(target, response)
		if response.Changes != nil {
			d.takeView(response)
			return true
		}
	}
	d.forgetLeader(leader)
	return false
}

// noteHint lets a process without a vote learn who leads.
func (d *Director) noteHint(target string, response messenger.FleetResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.journal != nil || response.Leader == "" || response.Leader == d.cfg.Address {
		return
	}
	if response.Changes != nil || response.Leader != target {
		d.leader = "@" + response.Leader
	}
}

// forgetLeader drops the leader at a process without a vote, which learns of
// another one only by asking.
func (d *Director) forgetLeader(leader string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.journal == nil && leader != "" && enroller.AddressOf(d.leader) == leader {
		d.leader = ""
	}
}

func (d *Director) takeView(response messenger.FleetResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leading {
		return
	}
	if d.journal == nil && response.Document != "" {
		if d.state.Update(cataloguer.CommandMsg{Command: messenger.FleetCommand{Version: response.Version, Document: response.Document}}) {
			d.readDocument()
		}
	}
	if d.fleet.viewer.Update(viewer.ApplyMsg{Changes: *response.Changes}) {
		d.fleet.announce()
	}
}

// DeclareConfiguration takes a whole configuration. It returns describer.ErrInvalid for one
// that must be corrected; any other error leaves the outcome open.
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
	answer := d.document(ctx, messenger.DocumentRequest{Version: config.Version, Document: packed})
	if !answer.Accepted {
		return ErrOutcomeUnknown
	}
	return nil
}

// NewestConfiguration returns the newest configuration, confirmed by a quorum, or
// ErrNoLeader.
func (d *Director) NewestConfiguration(ctx context.Context) (string, error) {
	answer := d.document(ctx, messenger.DocumentRequest{})
	if !answer.Known || answer.Version == 0 {
		return "", ErrNoLeader
	}
	document, err := packer.Unpack(answer.Document)
	return string(document), err
}

// document commits a declared configuration, or reads the newest one where the
// request holds none.
func (d *Director) document(ctx context.Context, request messenger.DocumentRequest) messenger.DocumentAnswer {
	if request.Document == "" {
		return d.readNewest(ctx)
	}
	if _, leading := d.leaderAddress(); !leading {
		request.Hops++
		answer, _ := relay[messenger.DocumentAnswer](ctx, d, "/fleet/document", request.Hops, commandTimeout, request)
		return answer
	}
	if d.overtaken(request.Version) {
		err := d.confirm(ctx)
		return messenger.DocumentAnswer{Accepted: err == nil, Version: request.Version}
	}
	_, err := d.command(ctx, messenger.FleetCommand{Version: request.Version, Document: request.Document})
	d.log.Info("configuration declared", "version", request.Version, "err", err)
	return messenger.DocumentAnswer{Accepted: err == nil, Version: request.Version}
}

// overtaken reports whether a version is not above the committed one, so that
// declaring it changes nothing and needs no place in the log.
func (d *Director) overtaken(version int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest, _ := d.state.Document()
	return version <= newest
}

func (d *Director) readNewest(ctx context.Context) messenger.DocumentAnswer {
	if err := d.confirm(ctx); err != nil {
		return messenger.DocumentAnswer{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	version, document := d.state.Document()
	return messenger.DocumentAnswer{Known: true, Version: version, Document: document}
}
