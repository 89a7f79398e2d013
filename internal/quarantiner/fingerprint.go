package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// fingerprintBytes is the length of a fingerprint before it is written in hex.
const fingerprintBytes = 12

// Fingerprint returns the SHA-256 digest of the parts in hex, truncated to 12 bytes.
// It identifies a request by its content, or the beginning of a prompt.
func Fingerprint(parts ...string) string {
	digest := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(digest[:fingerprintBytes])
}
