package admitter

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// TokenRotationInterval is how long the same token is issued.
const TokenRotationInterval = 40 * time.Second

// TokenIssuer issues and checks the tokens that bound how late an attempt may
// arrive, without synchronised clocks. A caller presents a token from a recent load
// report; an attempt whose token is older than two rotation intervals is refused.
// The IDs of refused attempts are kept for longer than that.
type TokenIssuer struct{ incarnation string }

// NewTokenIssuer returns the issuer for one incarnation of a process. Tokens of
// other incarnations are never accepted.
func NewTokenIssuer(incarnation string) TokenIssuer { return TokenIssuer{incarnation} }

// TokenAt returns the token issued at a time relative to the start of the process.
func (issuer TokenIssuer) TokenAt(now time.Duration) string {
	return fmt.Sprintf("%s.%d", issuer.incarnation, now/TokenRotationInterval)
}

// Accepts reports whether an attempt with this token may still be admitted.
func (issuer TokenIssuer) Accepts(token string, now time.Duration) bool {
	return token == issuer.TokenAt(now) || (now >= TokenRotationInterval && token == issuer.TokenAt(now-TokenRotationInterval))
}

// WithinRetention reports whether the record of an attempt sent with this token
// cannot have been evicted: the token is of this incarnation and younger than the
// retention time. An attempt that is then missing from the table was never admitted.
func (issuer TokenIssuer) WithinRetention(token string, now, retention time.Duration) bool {
	index, ok := strings.CutPrefix(token, issuer.incarnation+".")
	if !ok {
		return false
	}
	n, err := strconv.Atoi(index)
	return err == nil && now < time.Duration(n)*TokenRotationInterval+retention
}
