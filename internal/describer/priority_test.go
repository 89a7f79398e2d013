package describer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPrioritiesThatRequestsCanHave guards against priorities that are taken to differ
// where no two requests of the service have different ones, and the reverse.
func TestPrioritiesThatRequestsCanHave(t *testing.T) {
	route := func(priority int, public bool, service string, weight int) Route {
		return Route{Priority: priority, Public: public, Splits: []Split{{Service: service, Weight: weight}}}
	}
	none, first, second := Organisation{Name: "none"}, Organisation{Name: "first", Priority: 1, HasPriority: true}, Organisation{Name: "second", Priority: 2, HasPriority: true}
	for _, c := range []struct {
		name          string
		routes        []Route
		organisations []Organisation
		keys          bool
		priorities    []int
	}{
		{"routes differ", []Route{route(2, false, "s", 1), route(0, false, "s", 1)}, []Organisation{none}, true, []int{0, 2}},
		{"routes are equal", []Route{route(1, false, "s", 1), route(1, false, "s", 1)}, []Organisation{none, first}, true, []int{1}},
		{"another service", []Route{route(1, false, "s", 1), route(0, false, "other", 1)}, []Organisation{none}, true, []int{1}},
		{"a split without weight", []Route{route(1, false, "s", 1), route(0, false, "s", 0)}, []Organisation{none}, true, []int{1}},
		{"one priority of all organisations", []Route{route(2, false, "s", 1), route(0, false, "s", 1)}, []Organisation{first}, true, []int{1}},
		{"organisations differ", []Route{route(1, false, "s", 1)}, []Organisation{none, second}, true, []int{1, 2}},
		{"public routes have no organisation", []Route{route(0, true, "s", 1)}, []Organisation{first, second}, true, []int{0}},
		{"no keys are needed", []Route{route(0, false, "s", 1), route(3, false, "s", 1)}, nil, false, []int{0, 3}},
	} {
		config := Configuration{Routes: c.routes, Organisations: c.organisations, RequiresKeys: c.keys}
		assert.DeepEqual(t, config.Priorities("s"), c.priorities)
	}
}
