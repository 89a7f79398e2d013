package admitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRevokedAttemptCannotStartLate guards against a delayed attempt that starts
// after its revocation has been evicted from the table: while the token is still
// accepted, the record must exist.
func TestRevokedAttemptCannotStartLate(t *testing.T) {
	issuer := NewTokenIssuer("incarnation-1")
	m := New()
	sentAt := 10 * time.Second
	token := issuer.TokenAt(sentAt)
	m.Update(sentAt, RevokeMsg{ID: "a", WithinRetention: issuer.WithinRetention(token, sentAt, m.Retention())})
	for now := sentAt; now < 20*time.Minute; now += time.Second {
		m.Update(now, TickMsg{})
		if issuer.Accepts(token, now) {
			assert.Equal(t, m.State("a"), Refused, "at %v the revoked attempt could start", now)
		}
	}
}

// TestTokenOfAnotherIncarnationIsRefused guards against accepting attempts sent to an
// earlier incarnation, whose table was lost with the process.
func TestTokenOfAnotherIncarnationIsRefused(t *testing.T) {
	oldIssuer := NewTokenIssuer("incarnation-1")
	newIssuer := NewTokenIssuer("incarnation-2")
	assert.Assert(t, !newIssuer.Accepts(oldIssuer.TokenAt(0), 0))
	assert.Assert(t, !newIssuer.WithinRetention(oldIssuer.TokenAt(0), 0, time.Hour))
}

// TestTokenExpiresWithRetention guards against reporting an attempt as not run after
// its record may have been evicted.
func TestTokenExpiresWithRetention(t *testing.T) {
	issuer := NewTokenIssuer("incarnation-1")
	m := New(WithRetention(2 * time.Minute))
	assert.Assert(t, issuer.WithinRetention(issuer.TokenAt(0), 2*time.Minute-1, m.Retention()))
	assert.Assert(t, !issuer.WithinRetention(issuer.TokenAt(0), 2*time.Minute, m.Retention()))
}
