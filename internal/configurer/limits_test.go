package configurer

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const sideSettings = "[process]\nroles = side\nname = a\nregion = r\nfailure-domain = d\nlisten = 127.0.0.1:1\n%[control]\npeers = c=127.0.0.1:2\n"

func TestLimitsOfAProcess(t *testing.T) {
	s, err := Parse("a.ini", []byte(strings.Replace(sideSettings, "%", "", 1)))
	assert.NilError(t, err)
	assert.Equal(t, s.Limits.MemoryMB, 256)
	assert.Equal(t, s.Limits.MaxDescriptors, 4096)
	assert.Equal(t, s.Limits.PerAddress, 0)
	s, err = Parse("a.ini", []byte(strings.Replace(sideSettings, "%",
		"memory-mb = 152\nmax-descriptors = 2048\nmax-connections-per-address = 9\nhead-timeout-ms = 1\nidle-timeout-ms = 2\nbody-timeout-ms = 3\nmin-body-rate = 4\nwrite-timeout-ms = 5\n", 1)))
	assert.NilError(t, err)
	l := s.Limits
	assert.DeepEqual(t, []int{l.MemoryMB, l.MaxDescriptors, l.PerAddress, l.MinRate}, []int{152, 2048, 9, 4})
	assert.DeepEqual(t, []time.Duration{l.HeadTime, l.IdleTime, l.BodyTime, l.WriteTime},
		[]time.Duration{time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond})
	for _, line := range []string{"memory-mb = 1\n", "max-descriptors = 0\n", "max-descriptors = -1\n", "head-timeout-ms = 0\n", "min-body-rate = 0\n"} {
		_, err := Parse("a.ini", []byte(strings.Replace(sideSettings, "%", line, 1)))
		assert.Assert(t, err != nil, line)
	}
}
