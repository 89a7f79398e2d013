package configurer

import (
	"path/filepath"
	"testing"
	"time"

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
