package admitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLateAttemptIsRefused checks that an attempt can only arrive while the
// table still remembers that it was revoked.
func TestLateAttemptIsRefused(t *testing.T) {
	token := NewToken("life-1")
	m := New()
	sent := 10 * time.Second
	under := token.At(sent)
	m.Update(sent, RevokeMsg{ID: "a", Remembered: token.Remembers(under, sent, m.Retention())})
	for now := sent; now < 20*time.Minute; now += time.Second {
		m.Update(now, TickMsg{})
		if token.Accepts(under, now) {
			assert.Equal(t, m.State("a"), Refused, "at %v the attempt could start although it was revoked", now)
		}
	}
}

func TestTokenOfAnotherLifeIsRefused(t *testing.T) {
	earlier := NewToken("life-1")
	later := NewToken("life-2")
	assert.Assert(t, !later.Accepts(earlier.At(0), 0))
	assert.Assert(t, !later.Remembers(earlier.At(0), 0, time.Hour))
}

func TestTokenIsForgottenWithTheTable(t *testing.T) {
	token := NewToken("life-1")
	m := New(WithRetention(2 * time.Minute))
	assert.Assert(t, token.Remembers(token.At(0), 2*time.Minute-1, m.Retention()))
	assert.Assert(t, !token.Remembers(token.At(0), 2*time.Minute, m.Retention()))
}
