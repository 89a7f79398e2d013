package placer

import (
	"slices"

	"papayaseam/internal/describer"
)

// EndpointCounts counts the endpoints of a service by what they do. Stranded ones are
// up and idle because their group cannot serve.
type EndpointCounts struct {
	Open     int
	Changing int // Changing endpoints are in groups that form, open or close.
	Free     int // Free endpoints could join a group without a load.
	Cold     int // Cold endpoints hold no model.
	Silent   int
	Leaving  int
}

// EndpointCounts returns the counts of the last plan.
func (p *Placer) EndpointCounts() EndpointCounts {
	held := p.memberships()
	var c EndpointCounts
	for _, e := range p.msg.Endpoints {
		g := held[e.View.Instance]
		warm := slices.ContainsFunc(p.msg.Engine.Models, func(m describer.Model) bool { return p.readyIn(e, m) < m.ColdLoadTime })
		switch h := p.health(Member{e.View.Instance, e.View.Born}); {
		case h == silent || h == dead:
			c.Silent++
		case g != nil && g.State == Open:
			c.Open++
		case g != nil:
			c.Changing++
		case h == leaving:
			c.Leaving++
		case warm:
			c.Free++
		default:
			c.Cold++
		}
	}
	return c
}
