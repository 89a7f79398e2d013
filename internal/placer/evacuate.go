package placer

import (
	"slices"

	"papayaseam/internal/tracker"
)

// isEvacuated reports whether an endpoint's failure domain is evacuated, so that it joins
// no new group, loads nothing and does not count as capacity.
func (p *Placer) isEvacuated(e tracker.Endpoint) bool {
	return len(p.msg.Evacuated) > 0 && slices.Contains(p.msg.Evacuated, e.View.FailureDomain)
}

// inEvacuated reports whether a group has a member in an evacuated failure domain. Such a
// group gets no requests. It stays open, so that it serves at once when the evacuation is
// revoked.
func (p *Placer) inEvacuated(g *Group) bool {
	if len(p.msg.Evacuated) == 0 {
		return false
	}
	return slices.Contains(p.msg.Evacuated, g.FailureDomain) ||
		slices.ContainsFunc(g.Members, func(m Member) bool { return p.isEvacuated(p.byID[m.Instance]) })
}

// countCapacity returns the number of endpoints outside evacuated failure domains. Targets
// are worked out for each host that could load a model, so that it is counted once in a
// plan: counting it there took most of a plan's time at 3,000 endpoints.
func (p *Placer) countCapacity() float64 {
	n := 0
	for _, e := range p.msg.Endpoints {
		if !p.isEvacuated(e) {
			n++
		}
	}
	return float64(n)
}
