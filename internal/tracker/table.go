package tracker

import (
	"slices"

	"papayaseam/internal/messenger"
)

// claimAddress removes an earlier boot of another endpoint from the address. It
// returns false if a later boot uses the address.
func (t *Tracker) claimAddress(view messenger.EndpointView) bool {
	id, used := t.byAddress[view.Address]
	if !used || id == view.Instance {
		return true
	}
	if t.endpoints[id].View.Born > view.Born {
		return false
	}
	t.endBoot(id)
	return true
}

// add inserts or replaces an endpoint in the table.
func (t *Tracker) add(id string, e *Endpoint) {
	if _, known := t.endpoints[id]; !known {
		i, _ := slices.BinarySearch(t.ids, id)
		t.ids = slices.Insert(t.ids, i, id)
	}
	t.endpoints[id] = e
}

// remove deletes an endpoint from the table.
func (t *Tracker) remove(id string) {
	if i, ok := slices.BinarySearch(t.ids, id); ok {
		t.ids = slices.Delete(t.ids, i, i+1)
	}
	t.releaseAddress(t.endpoints[id].View)
	delete(t.endpoints, id)
}

// releaseAddress frees the address of an endpoint unless another endpoint has
// claimed it.
func (t *Tracker) releaseAddress(view messenger.EndpointView) {
	if t.byAddress[view.Address] == view.Instance {
		delete(t.byAddress, view.Address)
	}
}
