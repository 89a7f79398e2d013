package placer

import (
	"slices"

	"papayaseam/internal/tracker"
)

// warmHeadFirst returns the members of a new group in the order of their ranks. Requests
// go to the head only, so that the group can serve at its full rate at once if the head is
// not cold.
func warmHeadFirst(members []tracker.Endpoint) []tracker.Endpoint {
	i := slices.IndexFunc(members, func(e tracker.Endpoint) bool { return !e.View.Cold })
	if i <= 0 {
		return members
	}
	ordered := slices.Clone(members)
	ordered[0], ordered[i] = members[i], members[0]
	return ordered
}
