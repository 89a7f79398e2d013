package describer

import (
	"maps"
	"slices"
)

// PriorityOf returns the priority of a request of an organisation to the route; 0 is the
// most urgent. The organisation's own priority takes precedence.
func (r Route) PriorityOf(organisation Organisation) int {
	if organisation.HasPriority {
		return organisation.Priority
	}
	return r.Priority
}

// Priorities returns the distinct priorities that requests to a service can have, the
// most urgent first.
func (c *Configuration) Priorities(service string) []int {
	found := map[int]struct{}{}
	for _, route := range c.Routes {
		if !route.leadsTo(service) {
			continue
		}
		if route.Public || !c.RequiresKeys {
			found[route.Priority] = struct{}{}
			continue
		}
		for _, organisation := range c.Organisations {
			found[route.PriorityOf(organisation)] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// RoutePriorities returns the distinct priorities that the routes to a service declare,
// the most urgent first.
func (c *Configuration) RoutePriorities(service string) []int {
	found := map[int]struct{}{}
	for _, route := range c.Routes {
		if route.leadsTo(service) {
			found[route.Priority] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// leadsTo reports whether the route sends requests to a service.
func (r Route) leadsTo(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 })
}
