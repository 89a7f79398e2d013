package placer

import (
	"slices"
	"testing"
	"time"

	"papayaseam/internal/tracker"

	"gotest.tools/v3/assert"
)

// TestGroupOfForgottenMembersEnds guards against groups that are kept, published and
// planned for good, since all members crashed together and no later boot takes their names.
// A member that returns is not free before its group is found again.
func TestGroupOfForgottenMembersEnds(t *testing.T) {
	msg := planWithOpenGroup()
	all := slices.Clone(msg.Endpoints)
	p := New(1)
	p.Update(msg)
	msg.Endpoints = slices.DeleteFunc(slices.Clone(all), func(e tracker.Endpoint) bool { return e.Report.Group != "" })
	for range 60 {
		msg.Now += time.Second
		p.Update(msg)
	}
	assert.Equal(t, len(p.Groups()), 0)
	msg.Endpoints = all[1:]
	assert.DeepEqual(t, joiningInstances(p.Update(msg)), []string(nil))
	assert.Equal(t, len(p.Groups()), 1)
}
