package registrar

import (
	"encoding/json"
	"slices"
	"strings"

	"papayaseam/internal/messenger"

	"github.com/cockroachdb/errors"
)

// image is the JSON form of the whole state.
type image struct {
	Index       int                `json:"index"`
	ClockMs     int                `json:"clock-ms"`
	Objects     []messenger.Object `json:"objects"`
	Removals    []string           `json:"removals"`
	WatchFloor  int                `json:"watch-floor"`
	NumberFloor int                `json:"number-floor"`
	Tickets     []ticketRecord     `json:"tickets"`
	TicketFloor int                `json:"ticket-floor"`
	Claims      []claimRecord      `json:"claims"`
}

// Snapshot returns the whole state in a form that Restore takes.
func (r *Registrar) Snapshot() ([]byte, error) {
	img := image{
		Index: r.index, ClockMs: r.clockMs, Removals: r.removals, WatchFloor: r.watchFloor,
		NumberFloor: r.numberFloor, TicketFloor: r.ticketFloor,
	}
	for _, object := range r.objects {
		img.Objects = append(img.Objects, object)
	}
	slices.SortFunc(img.Objects, func(a, b messenger.Object) int {
		return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
	})
	for _, number := range r.ticketOrder {
		img.Tickets = append(img.Tickets, r.tickets[number])
	}
	for _, key := range r.claimOrder {
		img.Claims = append(img.Claims, r.claims[key])
	}
	data, err := json.Marshal(img)
	return data, errors.Wrap(err, "encode the snapshot")
}

// Restore replaces the state by a snapshot; empty data means the empty state.
func (r *Registrar) Restore(data []byte) error {
	img := image{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &img); err != nil {
			return errors.Wrap(err, "decode the snapshot; replace this replica's data folder and let it rejoin")
		}
	}
	r.reset()
	r.index, r.clockMs, r.watchFloor, r.numberFloor = img.Index, img.ClockMs, img.WatchFloor, img.NumberFloor
	r.removals, r.ticketFloor = img.Removals, img.TicketFloor
	for _, object := range img.Objects {
		r.objects[object.Kind+"/"+object.Name] = object
		if object.Group != nil {
			r.occupy(object.Name, *object.Group)
		}
	}
	r.ticketOrder, r.claimOrder = nil, nil
	for _, record := range img.Tickets {
		r.tickets[record.Number] = record
		r.ticketOrder = append(r.ticketOrder, record.Number)
	}
	for _, record := range img.Claims {
		r.claims[record.Key] = record
		r.claimOrder = append(r.claimOrder, record.Key)
	}
	return nil
}
