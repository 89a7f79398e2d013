package registrar

import (
	"encoding/json"
	"slices"
	"strings"

	"papayaseam/internal/messenger"

	"github.com/cockroachdb/errors"
)

// snapshotData is the JSON form of the whole state.
type snapshotData struct {
	ModifiedIndex   int                `json:"index"`
	LogTimeMs       int                `json:"clock-ms"`
	Objects         []messenger.Object `json:"objects"`
	Tombstones      []string           `json:"removals"`
	MaxPrunedIndex  int                `json:"watch-floor"`
	MaxPrunedNumber int                `json:"number-floor"`
	Tickets         []ticketRecord     `json:"tickets"`
	MaxPrunedTicket int                `json:"ticket-floor"`
	Claims          []claimRecord      `json:"claims"`
}

// Snapshot returns the whole state, encoded for Restore.
func (r *Registrar) Snapshot() ([]byte, error) {
	snapshot := snapshotData{
		ModifiedIndex: r.modifiedIndex, LogTimeMs: r.logTimeMs, Tombstones: r.tombstones, MaxPrunedIndex: r.maxPrunedIndex,
		MaxPrunedNumber: r.maxPrunedNumber, MaxPrunedTicket: r.maxPrunedTicket,
	}
	for _, object := range r.objects {
		snapshot.Objects = append(snapshot.Objects, object)
	}
	slices.SortFunc(snapshot.Objects, func(a, b messenger.Object) int {
		return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
	})
	for _, number := range r.ticketOrder {
		snapshot.Tickets = append(snapshot.Tickets, r.tickets[number])
	}
	for _, key := range r.claimOrder {
		snapshot.Claims = append(snapshot.Claims, r.claims[key])
	}
	data, err := json.Marshal(snapshot)
	return data, errors.Wrap(err, "encode registrar snapshot")
}

// Restore replaces the state with a snapshot. Empty data restores the empty state.
func (r *Registrar) Restore(data []byte) error {
	snapshot := snapshotData{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &snapshot); err != nil {
			return errors.Wrap(err, "decode registrar snapshot; replace this replica's data folder with an empty one and let it rejoin")
		}
	}
	r.reset()
	r.modifiedIndex, r.logTimeMs, r.maxPrunedIndex, r.maxPrunedNumber = snapshot.ModifiedIndex, snapshot.LogTimeMs, snapshot.MaxPrunedIndex, snapshot.MaxPrunedNumber
	r.tombstones, r.maxPrunedTicket = snapshot.Tombstones, snapshot.MaxPrunedTicket
	for _, object := range snapshot.Objects {
		r.objects[object.Kind+"/"+object.Name] = object
		if object.Group != nil {
			r.reserveMembers(object.Name, *object.Group)
		}
	}
	r.ticketOrder, r.claimOrder = nil, nil
	for _, record := range snapshot.Tickets {
		r.tickets[record.Number] = record
		r.ticketOrder = append(r.ticketOrder, record.Number)
	}
	for _, record := range snapshot.Claims {
		r.claims[record.Key] = record
		r.claimOrder = append(r.claimOrder, record.Key)
	}
	return nil
}
