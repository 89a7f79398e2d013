package placer

import (
	"slices"

	"papayaseam/internal/describer"
)

// EndpointCounts holds the number of a service's endpoints by activity. Endpoints
// that are changing, free or cold are stranded: they are up but do not serve.
type EndpointCounts struct {
	Open     int // Open endpoints are in groups that serve.
	Changing int // Changing endpoints are in groups that are forming, opening or closing.
	Free     int // Free endpoints can join a group without a load from the weight store.
	Cold     int // Cold endpoints hold no weights of any model.
	Silent   int // Silent endpoints are unreachable or have terminated.
	Leaving  int // Leaving endpoints are shutting down and in no group.
}

// EndpointCounts returns the counts as of the last plan.
func (p *Placer) EndpointCounts() EndpointCounts {
	groupOf := p.groupsByInstance()
	var c EndpointCounts
	for _, e := range p.msg.Endpoints {
		g := groupOf[e.View.Instance]
		warm := slices.ContainsFunc(p.msg.Engine.Models, func(m describer.Model) bool { return p.joinTime(e, m) < m.ColdLoadTime })
		switch h := p.health(Member{e.View.Instance, e.View.Born}); {
		case h == unreachable || h == dead:
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
