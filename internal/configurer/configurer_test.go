package configurer

import (
	"path/filepath"
	"testing"
	"time"

	"papayaseam/internal/rationer"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestMistakesAreNamedWithTheirLines(t *testing.T) {
	_, err := Parse("side.ini", []byte(`[process]
roles = side, cook
name = i1
region = maine
listen = nowhere
[control]
peers = a=127.0.0.1:1, b
[side]
queue = 0
[entry]
listen = 127.0.0.1:2
`))
	golden.Assert(t, err.Error()+"\n", "mistakes.txt")
}

func TestExamplesAreGood(t *testing.T) {
	files, err := filepath.Glob("../../examples/three-domains/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 9)
	for _, file := range files {
		_, err := Read(file)
		assert.NilError(t, err)
	}
}

func TestDefaultsAreAsDocumented(t *testing.T) {
	s, err := Parse("side.ini", []byte("[process]\nroles = side\nname = i\nregion = r\nfailure-domain = d\nlisten = 127.0.0.1:1\n[control]\npeers = a=127.0.0.1:2\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.Queue, 64)
	assert.Equal(t, s.Drain, time.Minute)
	assert.Equal(t, s.StopAfter, 90*time.Second)
	assert.Equal(t, s.Advertise, s.Listen)
}

// TestOrganisationSharesAreOneOfTheModes guards against a misspelt mode that is taken for
// the default.
func TestOrganisationSharesAreOneOfTheModes(t *testing.T) {
	file := "[process]\nroles = direct-entry\nname = i\nregion = r\nfailure-domain = d\n[direct]\nip = 127.0.0.1\ninner-port = 1\nlisten = 127.0.0.1:2\nready-listen = 127.0.0.1:3\nseeds = 127.0.0.1:4\n"
	for line, want := range map[string]rationer.Mode{"": rationer.Auto, "organisation-shares = auto\n": rationer.Auto, "organisation-shares = on\n": rationer.On, "organisation-shares = off\n": rationer.Off} {
		s, err := Parse("entry.ini", []byte(file+line))
		assert.NilError(t, err)
		assert.Equal(t, s.Direct.Shares, want)
	}
	_, err := Parse("entry.ini", []byte(file+"organisation-shares = of\n"))
	assert.ErrorContains(t, err, "organisation-shares must be auto, on, off")
}
