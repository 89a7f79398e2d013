package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSurvivorsRejoinTheModelThatTheyServed loses a member of a group whose other
// members have staged another model. An endpoint that has left a group reports no
// model, but rejoins the one that it served last at once.
func TestSurvivorsRejoinTheModelThatTheyServed(t *testing.T) {
	c := newCluster(1, 5)
	c.run(time.Minute)
	c.demand = map[string]float64{"large": 3, "small": 0.1}
	c.run(time.Second)
	assert.Equal(t, c.openGroups("large"), 1)
	head := c.headOf("large")
	for _, e := range c.endpoints {
		e.report.Staged = []string{"small"}
		if e.report.Group == "" {
			e.report.Staged = []string{"large"}
		}
	}
	c.crash(head.members[3])
	c.run(3 * time.Second)
	assert.Equal(t, c.openGroups("large"), 1)
	assert.DeepEqual(t, c.violations, []string(nil))
}
