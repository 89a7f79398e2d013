package admitter

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// TokenRotationInterval is how long one token is handed out.
const TokenRotationInterval = 40 * time.Second

// Token bounds how late an attempt may arrive without synchronised clocks: a
// caller presents a token it learned from a recent report, and one that is
// older than two slots is refused. Identities of refused attempts are kept for
// longer than that.
type TokenIssuer struct{ incarnation string }

// NewTokenIssuer returns the tokens of one incarnation of a process.
func NewTokenIssuer(incarnation string) TokenIssuer { return TokenIssuer{incarnation} }

// TokenAt returns the token handed out at a moment.
func (t TokenIssuer) TokenAt(now time.Duration) string {
	return fmt.Sprintf("%s.%d", t.incarnation, now/TokenRotationInterval)
}

// Accepts reports whether an attempt with this token may still be taken.
func (t TokenIssuer) Accepts(token string, now time.Duration) bool {
	return token == t.TokenAt(now) || (now >= TokenRotationInterval && token == t.TokenAt(now-TokenRotationInterval))
}

// WithinRetention reports whether an attempt that was sent under a token, and that
// is not in the table, is certain not to have been forgotten: the token is of
// this incarnation and younger than the retention.
func (t TokenIssuer) WithinRetention(token string, now, retention time.Duration) bool {
	slot, ok := strings.CutPrefix(token, t.incarnation+".")
	if !ok {
		return false
	}
	n, err := strconv.Atoi(slot)
	return err == nil && now < time.Duration(n)*TokenRotationInterval+retention
}
