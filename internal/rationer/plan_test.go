package rationer

import (
	"testing"

	"papayaseam/internal/describer"

	"gotest.tools/v3/assert"
)

// TestPlanFollowsModeAndPriorities guards against rationing a service whose requests all
// have one priority, or a plain service, without a setting that says so.
func TestPlanFollowsModeAndPriorities(t *testing.T) {
	config := &describer.Configuration{
		Routes: []describer.Route{
			{Priority: 0, Splits: []describer.Split{{Service: "writers", Weight: 1}, {Service: "desk", Weight: 1}}},
			{Priority: 2, Splits: []describer.Split{{Service: "writers", Weight: 1}, {Service: "desk", Weight: 1}}},
			{Priority: 2, Splits: []describer.Split{{Service: "painters", Weight: 1}}},
		},
		Services: []describer.Service{{Name: "writers", Engine: &describer.Engine{}}, {Name: "painters", Engine: &describer.Engine{}}, {Name: "idle", Engine: &describer.Engine{}}, {Name: "desk"}},
	}
	for _, c := range []struct {
		mode         Mode
		services     []string
		explanations []string
	}{
		{"", []string{"writers"}, []string{"writers on: priorities 0 2", "painters off: all requests have priority 2", "idle off: no requests are possible"}},
		{Auto, []string{"writers"}, []string{"writers on: priorities 0 2", "painters off: all requests have priority 2", "idle off: no requests are possible"}},
		{On, []string{"writers", "painters"}, []string{"writers on: priorities 0 2", "painters on: all requests have priority 2", "idle off: no requests are possible"}},
		{Off, nil, []string{"writers off: by the settings", "painters off: by the settings", "idle off: no requests are possible"}},
	} {
		services, explanations := Plan(c.mode, config)
		var names []string
		for _, s := range services {
			names = append(names, s.Name)
		}
		assert.DeepEqual(t, names, c.services)
		assert.DeepEqual(t, explanations, c.explanations)
	}
}

// TestOrganisationsAloneNeedTheSetting guards against a deployment whose decisions change
// because its organisations have priorities, which had no effect before.
func TestOrganisationsAloneNeedTheSetting(t *testing.T) {
	config := &describer.Configuration{
		RequiresKeys:  true,
		Routes:        []describer.Route{{Priority: 1, Splits: []describer.Split{{Service: "writers", Weight: 1}}}},
		Services:      []describer.Service{{Name: "writers", Engine: &describer.Engine{}}},
		Organisations: []describer.Organisation{{Name: "first", HasPriority: true}, {Name: "second", Priority: 1, HasPriority: true}},
	}
	services, explanations := Plan(Auto, config)
	assert.Equal(t, len(services), 0)
	assert.DeepEqual(t, explanations, []string{"writers off: all routes have one priority"})
	services, explanations = Plan(On, config)
	assert.Equal(t, len(services), 1)
	assert.DeepEqual(t, explanations, []string{"writers on: priorities 0 1"})
}
