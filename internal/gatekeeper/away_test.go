package gatekeeper

import (
	"bytes"
	"regexp"
	"testing"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/exposer"

	"gotest.tools/v3/assert"
)

// TestRequestSentWhileAwayIsToldFromOneUnderWay guards against a log that can not tell an
// entry that forgets what an endpoint said from a request that was under way.
func TestRequestSentWhileAwayIsToldFromOneUnderWay(t *testing.T) {
	const told, asked = time.Minute, 3 * time.Second
	target := chooser.Target{ID: "i-1", BootTime: 1}
	for _, c := range []struct {
		name             string
		bootTime         int
		chosenAt, sentAt time.Duration
		logged           string
	}{
		{"sent before", 1, told - 2, told - 1, ""},
		{"chosen before and sent after", 1, told - time.Millisecond, told + time.Second, "before"},
		{"chosen after", 1, told + time.Second, told + time.Second, "after"},
		{"sent when the time was over", 1, told + asked + time.Second, told + asked + time.Second, ""},
		{"said by an earlier boot", 0, told + time.Second, told + time.Second, ""},
		{"not sent", 1, told + time.Second, 0, ""},
	} {
		var out bytes.Buffer
		g := New(Config{Name: "entry"}, nil, exposer.NewLogger(&out, "entry"))
		g.chooser.Update(chooser.NoticeMsg{Now: told, ID: "i-1", BootTime: c.bootTime, StayAway: asked})
		g.recordSentWhileAway(&exchange{chosenAt: c.chosenAt}, target, c.sentAt)
		chosen := ""
		if found := regexp.MustCompile(`chosen=(\w+)`).FindStringSubmatch(out.String()); found != nil {
			chosen = found[1]
		}
		assert.Equal(t, chosen, c.logged, c.name)
	}
}

// TestDialEndsWhileRequestsMayBeUnderWay guards against a longer timeout, with which a
// request that was chosen before its endpoint asked for rest could reach it within it.
func TestDialEndsWhileRequestsMayBeUnderWay(t *testing.T) {
	const underWay, roundTrip = 500 * time.Millisecond, 40 * time.Millisecond
	assert.Assert(t, endpointDialTimeout+roundTrip < underWay)
}
