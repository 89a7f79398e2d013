package describer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestEmptyKeyMatchesNobody guards against a declared empty key that lets requests without
// a key in.
func TestEmptyKeyMatchesNobody(t *testing.T) {
	c := &Configuration{RequiresKeys: true, Organisations: []Organisation{{Name: "press", Keys: []string{"", "k1"}}}}
	assert.NilError(t, c.Check())
	c.Index()
	_, ok := c.Organisation("")
	assert.Assert(t, !ok)
	owner, ok := c.Organisation("k1")
	assert.Assert(t, ok && owner.Name == "press")
}
