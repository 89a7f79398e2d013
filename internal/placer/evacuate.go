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

// capacity returns the number of endpoints outside evacuated failure domains.
func (p *Placer) capacity() float64 {
	n := 0
	for _, e := range p.msg.Endpoints {
		if !p.isEvacuated(e) {
			n++
		}
	}
	return float64(n)
}
