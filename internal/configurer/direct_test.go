package configurer

import (
	"strings"
	"testing"
	"time"

	"papayaseam/internal/limiter"

	"gotest.tools/v3/assert"
)

const controlSettings = "[process]\nroles = direct-control\nname = c\nregion = r\nfailure-domain = d\n[direct]\nip = 127.0.0.1\ninner-port = 1\nlisten = 127.0.0.1:2\nseeds = 127.0.0.1:2\n"

// TestEvacuationSettings guards against a template that leaves its keys empty, or ends its
// list with a comma, where a deployment declares neither zones nor a bound.
func TestEvacuationSettings(t *testing.T) {
	for _, c := range []struct {
		lines   string
		domains []string
		within  time.Duration
	}{
		{"", nil, 5 * time.Second},
		{"failure-domains =\nevacuate-ms =\n", nil, 5 * time.Second},
		{"failure-domains = a, b,\nevacuate-ms = 3000\n", []string{"a", "b"}, 3 * time.Second},
		{"evacuate-ms = 0\n", nil, 0},
	} {
		s, err := Parse("control.ini", []byte(controlSettings+c.lines))
		assert.NilError(t, err, c.lines)
		assert.DeepEqual(t, s.Direct.FailureDomains, c.domains)
		assert.Equal(t, s.Direct.EvacuateWithin, c.within)
	}
}

// TestEvacuationSettingsAreBounded guards against names that fill control's log, and against
// a negative bound.
func TestEvacuationSettingsAreBounded(t *testing.T) {
	for lines, mistake := range map[string]string{
		"failure-domains = " + strings.Repeat("x", maxNameBytes+1): "too long",
		"failure-domains = " + strings.Repeat("x,", 300):           "name 256 at most",
		"evacuate-ms = -1": "evacuate-ms",
	} {
		_, err := Parse("control.ini", []byte(controlSettings+lines+"\n"))
		assert.ErrorContains(t, err, mistake)
	}
}

// TestPlaceholdersLeaveTheDefaults guards against a process that does not start since its
// template names fields that the renderer does not know.
func TestPlaceholdersLeaveTheDefaults(t *testing.T) {
	s, err := Parse("control.ini", []byte(controlSettings+"failure-domains = {{#zones}}{{@}}{{,}}{{/zones}}\nevacuate-ms = {{bounds.evacuate_ms}}\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(s.Direct.FailureDomains), 0)
	assert.Equal(t, s.Direct.EvacuateWithin, 5*time.Second)
	assert.DeepEqual(t, s.Placeholders, []string{"[direct] failure-domains", "[direct] evacuate-ms"})
	for _, value := range []string{"", " {{limits.max_fds}}"} {
		s, err = Parse("control.ini", []byte(strings.Replace(controlSettings, "[direct]", "max-descriptors ="+value+"\n[direct]", 1)))
		assert.NilError(t, err)
		assert.Equal(t, s.Limits.MaxDescriptors, limiter.NewBounds().MaxDescriptors)
	}
	_, err = Parse("control.ini", []byte(strings.Replace(controlSettings, "ip = 127.0.0.1", "ip = {{ip}}", 1)))
	assert.ErrorContains(t, err, "ip")
}
