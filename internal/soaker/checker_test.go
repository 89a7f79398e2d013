package soaker

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestBrokenPromisesAreFound guards against a soak that passes whatever happens.
func TestBrokenPromisesAreFound(t *testing.T) {
	ran := ArrivedMsg{Request: "r", Server: "s"}
	for name, c := range map[string]struct {
		observed []Observation
		broken   bool
	}{
		"whole answer":               {[]Observation{ran, AnsweredMsg{Request: "r", Status: 200, Body: "b", Wanted: "b", Once: true}}, false},
		"part of an answer":          {[]Observation{ran, AnsweredMsg{Request: "r", Status: 200, Body: "b", Wanted: "bb"}}, true},
		"answer of another":          {[]Observation{AnsweredMsg{Request: "r", Status: 200, Body: "b", Wanted: "b"}}, true},
		"refused":                    {[]Observation{AnsweredMsg{Request: "r", Status: 503}}, false},
		"refused and had run":        {[]Observation{ran, AnsweredMsg{Request: "r", Status: 503}}, true},
		"refused and runs later":     {[]Observation{AnsweredMsg{Request: "r", Status: 429}, ran}, true},
		"may have run":               {[]Observation{ran, AnsweredMsg{Request: "r", Status: 502, Once: true}}, false},
		"no answer":                  {[]Observation{ran, AnsweredMsg{Request: "r", Once: true}}, false},
		"ran twice":                  {[]Observation{ran, ran, AnsweredMsg{Request: "r", Status: 502, Once: true}}, true},
		"runs again later":           {[]Observation{ran, AnsweredMsg{Request: "r", Status: 502, Once: true}, ran}, true},
		"may run twice":              {[]Observation{ran, ran, AnsweredMsg{Request: "r", Status: 200, Body: "b", Wanted: "b"}}, false},
		"configuration forgotten":    {[]Observation{DeclaredMsg{4}, ReadMsg{Version: 3, Acknowledged: 4}}, true},
		"configuration held":         {[]Observation{DeclaredMsg{4}, ReadMsg{Version: 5, Acknowledged: 4}}, false},
		"process ended":              {[]Observation{EndedMsg{Process: "p"}}, true},
		"within its memory":          {[]Observation{UsageMsg{Memory: 1, MemoryBound: 1, Descriptors: 2, DescriptorBound: 2}}, false},
		"too much memory":            {[]Observation{UsageMsg{Memory: 2, MemoryBound: 1}}, true},
		"too many descriptors":       {[]Observation{UsageMsg{Descriptors: 3, DescriptorBound: 2}}, true},
		"control that never settles": {[]Observation{FailedMsg{"w"}}, true},
	} {
		checker := NewChecker()
		for _, o := range c.observed {
			checker.Update(o)
		}
		assert.Equal(t, len(checker.Violations()) > 0, c.broken, name)
	}
}

// TestViolationsAreBounded guards against a report of thousands of lines.
func TestViolationsAreBounded(t *testing.T) {
	c := NewChecker()
	for range 2 * maxViolations {
		c.Update(EndedMsg{Process: "p"})
	}
	assert.Equal(t, len(c.Violations()), maxViolations)
}
