package describer

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestEmptyKeyMatchesNobody guards against a declared empty key that lets requests without
// a key in.
func TestEmptyKeyMatchesNobody(t *testing.T) {
	c := &Configuration{Version: 1, RequiresKeys: true, Organisations: []Organisation{{Name: "press", Keys: []string{"", "k1"}}}}
	assert.NilError(t, c.Check())
	c.Index()
	_, ok := c.Organisation("")
	assert.Assert(t, !ok)
	owner, ok := c.Organisation("k1")
	assert.Assert(t, ok && owner.Name == "press")
}

// TestVersionThatIsNeverInForceIsRefused guards against a configuration that is accepted
// and then not read back: only a version above the one held takes effect, and none is 0.
func TestVersionThatIsNeverInForceIsRefused(t *testing.T) {
	for version, valid := range map[int]bool{-1: false, 0: false, 1: true} {
		err := (&Configuration{Version: version}).Check()
		assert.Equal(t, err == nil, valid, "version %d", version)
		assert.Equal(t, errors.Is(err, ErrInvalid), !valid)
	}
}
