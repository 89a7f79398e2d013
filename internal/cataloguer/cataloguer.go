// Package cataloguer is the state behind the control log where endpoints are
// served without side processes: the newest declared configuration and the
// boots of endpoints that said they leave.
//
// # Usage
//
// Every control process applies the same commands in the order of the log:
//
//	c := cataloguer.New()
//	c.Update(cataloguer.CommandMsg{Command: command})
//	version, document := c.Document()
//
// The document is opaque here; the highest version wins, and a version that is
// not higher changes nothing.
package cataloguer

import (
	"encoding/json"
	"slices"

	"papayaseam/internal/messenger"

	"github.com/cockroachdb/errors"
)

// MaxDepartures bounds the departures that are remembered; the oldest go
// first, long after their endpoints have ended.
const MaxDepartures = 4096

// MaxEndpoints bounds the endpoints that are remembered.
const MaxEndpoints = 4096

// CommandMsg carries one committed command.
type CommandMsg struct{ Command messenger.FleetCommand }

// Cataloguer holds the applied state. It is not safe for concurrent use.
type Cataloguer struct{ state messenger.FleetState }

// New returns an empty state.
func New() *Cataloguer { return &Cataloguer{} }

// Document returns the newest configuration and its version; 0 where none is.
func (c *Cataloguer) Document() (version int, document string) {
	return c.state.Version, c.state.Document
}

// HasServedTraffic reports whether clients were ever served.
func (c *Cataloguer) HasServedTraffic() bool { return c.state.Traffic }

// Departed reports whether a boot of an endpoint said that it leaves.
func (c *Cataloguer) Departed(id string, born int) bool {
	return slices.Contains(c.state.Departures, messenger.Departure{Instance: id, Born: born})
}

// Update applies a command and reports whether it changed anything.
func (c *Cataloguer) Update(msg CommandMsg) bool {
	command := msg.Command
	changed := false
	if command.Document != "" && command.Version > c.state.Version {
		c.state.Version = command.Version
		c.state.Document = command.Document
		changed = true
	}
	if d := command.Departure; d != nil && !c.Departed(d.Instance, d.Born) {
		c.state.Departures = append(c.state.Departures, *d)
		if extra := len(c.state.Departures) - MaxDepartures; extra > 0 {
			c.state.Departures = slices.Clone(c.state.Departures[extra:])
		}
		changed = true
	}
	if command.Traffic && !c.state.Traffic {
		c.state.Traffic = true
		changed = true
	}
	if e := command.Endpoint; e != nil {
		c.noteEndpoint(*e)
	}
	for _, e := range command.Endpoints {
		c.noteEndpoint(e)
	}
	return changed
}

// noteEndpoint remembers where an endpoint was first heard, so that a leader
// that starts with nothing else can ask it at once.
func (c *Cataloguer) noteEndpoint(e messenger.EndpointView) {
	c.state.Endpoints = slices.DeleteFunc(c.state.Endpoints, func(old messenger.EndpointView) bool {
		return old.Instance == e.Instance || old.Address == e.Address
	})
	c.state.Endpoints = append(c.state.Endpoints, e)
	if extra := len(c.state.Endpoints) - MaxEndpoints; extra > 0 {
		c.state.Endpoints = slices.Clone(c.state.Endpoints[extra:])
	}
}

// Endpoints returns the remembered endpoints that have not said that they
// leave; some may have ended since.
func (c *Cataloguer) Endpoints() []messenger.EndpointView {
	return slices.DeleteFunc(slices.Clone(c.state.Endpoints), func(e messenger.EndpointView) bool {
		return c.Departed(e.Instance, e.Born)
	})
}

// Snapshot returns the whole state in a form that Restore takes.
func (c *Cataloguer) Snapshot() ([]byte, error) {
	data, err := json.Marshal(c.state)
	return data, errors.Wrap(err, "encode the snapshot")
}

// Restore replaces the state by a snapshot; empty data means the empty state.
func (c *Cataloguer) Restore(data []byte) error {
	c.state = messenger.FleetState{}
	if len(data) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, &c.state), "decode the snapshot; remove the data folder and let the process rejoin")
}
