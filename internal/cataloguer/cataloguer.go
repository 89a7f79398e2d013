// Package cataloguer is the state machine that the replicated control log drives
// in a deployment without side processes. It holds the newest configuration, the
// known endpoints, the departures that endpoints announced, the content that is kept
// from endpoints because it crashes them, the evacuated failure domains, and whether the
// service ever had client traffic.
//
// # Usage
//
// Every control process applies the committed commands in log order:
//
//	c := cataloguer.New()
//	c.Update(cataloguer.CommandMsg{Command: command})
//	version, document := c.Document()
//
// The package does not parse the configuration document. A document replaces the
// current one only if its version is higher.
package cataloguer

import (
	"encoding/json"
	"slices"

	"papayaseam/internal/evacuator"
	"papayaseam/internal/messenger"
	"papayaseam/internal/quarantiner"

	"github.com/cockroachdb/errors"
)

// MaxDepartures bounds the number of departures kept. The oldest are dropped
// first; their endpoints have stopped long before.
const MaxDepartures = 4096

// MaxEndpoints bounds the number of endpoints kept; the oldest are dropped first.
const MaxEndpoints = 4096

// CommandMsg carries one committed command of the log and its index there.
type CommandMsg struct {
	Command messenger.FleetCommand
	Index   int
}

// Cataloguer is the state after the applied commands. It is not safe for
// concurrent use.
type Cataloguer struct {
	state       messenger.FleetState
	departed    map[messenger.Departure]bool // departed holds state.Departures for lookups.
	quarantine  *quarantiner.Table
	evacuations *evacuator.Evacuator
}

// New returns a Cataloguer with empty state.
func New() *Cataloguer {
	return &Cataloguer{departed: map[messenger.Departure]bool{}, quarantine: quarantiner.New(), evacuations: evacuator.New()}
}

// Quarantine returns the content that is suspected to crash endpoints. Only Update
// and ApplyQuarantine may change it.
func (c *Cataloguer) Quarantine() *quarantiner.Table { return c.quarantine }

// Evacuations returns the evacuated failure domains. Only Update and ApplyEvacuations may
// change them.
func (c *Cataloguer) Evacuations() *evacuator.Evacuator { return c.evacuations }

// Document returns the newest configuration and its version, or version 0 and an
// empty document if there is none.
func (c *Cataloguer) Document() (version int, document string) {
	return c.state.Version, c.state.Document
}

// HasServedTraffic reports whether client requests were ever served.
func (c *Cataloguer) HasServedTraffic() bool { return c.state.Traffic }

// Departed reports whether the boot of an endpoint that is identified by its
// instance and the value born announced its departure.
func (c *Cataloguer) Departed(instance string, born int) bool {
	return c.departed[messenger.Departure{Instance: instance, Born: born}]
}

// Update applies a command and reports whether it changed the document, the departures,
// the quarantine or the traffic flag, or was an order on an evacuation that was carried
// out. Changes to the endpoints are not reported.
func (c *Cataloguer) Update(msg CommandMsg) bool {
	command := msg.Command
	changed := false
	if command.Quarantine != nil {
		before := c.quarantine.Revision()
		c.quarantine.Update(quarantiner.ReportMsg{Command: *command.Quarantine})
		changed = c.quarantine.Revision() != before
	}
	if command.Evacuation != nil && c.evacuations.Update(evacuator.CommandMsg{Evacuation: *command.Evacuation, Index: msg.Index}) {
		changed = true
	}
	if command.Document != "" && command.Version > c.state.Version {
		c.state.Version = command.Version
		c.state.Document = command.Document
		changed = true
	}
	if d := command.Departure; d != nil && !c.Departed(d.Instance, d.Born) {
		c.addDeparture(*d)
		changed = true
	}
	if command.Traffic && !c.state.Traffic {
		c.state.Traffic = true
		changed = true
	}
	if e := command.Endpoint; e != nil {
		c.addEndpoint(*e)
	}
	for _, e := range command.Endpoints {
		c.addEndpoint(e)
	}
	return changed
}

// addDeparture stores a departure and drops the oldest ones above MaxDepartures.
func (c *Cataloguer) addDeparture(d messenger.Departure) {
	c.state.Departures = append(c.state.Departures, d)
	c.departed[d] = true
	excess := len(c.state.Departures) - MaxDepartures
	if excess <= 0 {
		return
	}
	for _, dropped := range c.state.Departures[:excess] {
		delete(c.departed, dropped)
	}
	c.state.Departures = slices.Clone(c.state.Departures[excess:])
}

// ApplyQuarantine brings the quarantine of a process without a log up to date with
// that of another process.
func (c *Cataloguer) ApplyQuarantine(changes messenger.QuarantineChanges) {
	c.quarantine.Update(quarantiner.ApplyMsg{Changes: changes})
}

// ApplyEvacuations brings the evacuations of a process without a log up to date with those
// of another process.
func (c *Cataloguer) ApplyEvacuations(list messenger.EvacuationList) {
	c.evacuations.Update(evacuator.ApplyMsg{List: list})
}

// addEndpoint stores an endpoint with its address, so that a new leader without
// any other state can query it at once. It replaces older entries of the same
// instance or address.
func (c *Cataloguer) addEndpoint(e messenger.EndpointView) {
	c.state.Endpoints = slices.DeleteFunc(c.state.Endpoints, func(existing messenger.EndpointView) bool {
		return existing.Instance == e.Instance || existing.Address == e.Address
	})
	c.state.Endpoints = append(c.state.Endpoints, e)
	if excess := len(c.state.Endpoints) - MaxEndpoints; excess > 0 {
		c.state.Endpoints = slices.Clone(c.state.Endpoints[excess:])
	}
}

// Endpoints returns the stored endpoints that have not announced their departure;
// some of them may have stopped since.
func (c *Cataloguer) Endpoints() []messenger.EndpointView {
	return slices.DeleteFunc(slices.Clone(c.state.Endpoints), func(e messenger.EndpointView) bool {
		return c.Departed(e.Instance, e.Born)
	})
}

// Snapshot encodes the whole state for Restore.
func (c *Cataloguer) Snapshot() ([]byte, error) {
	state := c.state
	quarantine := c.quarantine.Snapshot()
	state.Quarantine = &quarantine
	if evacuations := c.evacuations.Snapshot(); len(evacuations.FailureDomains) > 0 {
		state.Evacuations = &evacuations
	}
	data, err := json.Marshal(state)
	return data, errors.Wrap(err, "encode the snapshot")
}

// Restore replaces the state with that of a snapshot; empty data resets it.
func (c *Cataloguer) Restore(data []byte) error {
	c.state = messenger.FleetState{}
	c.departed = map[messenger.Departure]bool{}
	c.quarantine = quarantiner.New()
	c.evacuations = evacuator.New()
	if len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, &c.state); err != nil {
		return errors.Wrap(err, "decode the snapshot; remove the data folder and let the process rejoin")
	}
	for _, d := range c.state.Departures {
		c.departed[d] = true
	}
	if c.state.Quarantine != nil {
		c.ApplyQuarantine(*c.state.Quarantine)
		c.state.Quarantine = nil
	}
	if c.state.Evacuations != nil {
		c.evacuations.Update(evacuator.RestoreMsg{List: *c.state.Evacuations})
		c.state.Evacuations = nil
	}
	return nil
}
