package admitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLateAttemptIsRefused checks that an attempt can only arrive while the
// table still remembers that it was revoked.
func TestLateAttemptIsRefused(t *testing.T) {
	token := NewTokenIssuer("life-1")
	m := New()
	sent := 10 * time.Second
	under := token.TokenAt(sent)
	m.Update(sent, RevokeMsg{ID: "a", WithinRetention: token.WithinRetention(under, sent, m.Retention())})
	for now := sent; now < 20*time.Minute; now += time.Second {
		m.Update(now, TickMsg{})
		if token.Accepts(under, now) {
			assert.Equal(t, m.State("a"), Refused, "at %v the attempt could start although it was revoked", now)
		}
	}
}

func TestTokenOfAnotherLifeIsRefused(t *testing.T) {
	earlier := NewTokenIssuer("life-1")
	later := NewTokenIssuer("life-2")
	assert.Assert(t, !later.Accepts(earlier.TokenAt(0), 0))
	assert.Assert(t, !later.WithinRetention(earlier.TokenAt(0), 0, time.Hour))
}

func TestTokenIsForgottenWithTheTable(t *testing.T) {
	token := NewTokenIssuer("life-1")
	m := New(WithRetention(2 * time.Minute))
	assert.Assert(t, token.WithinRetention(token.TokenAt(0), 2*time.Minute-1, m.Retention()))
	assert.Assert(t, !token.WithinRetention(token.TokenAt(0), 2*time.Minute, m.Retention()))
}
