package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// fingerprintBytes is the length of a fingerprint before it is written in hex.
const fingerprintBytes = 12

// PartKey returns the key of a part of the prompts of a service's requests.
func PartKey(service, part string) string { return Fingerprint("part", service, part) }

// Fingerprint returns the SHA-256 digest of the parts in hex, truncated to 12 bytes.
// It identifies a request by its content, or the beginning of a prompt.
func Fingerprint(parts ...string) string {
	digest := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(digest[:fingerprintBytes])
}
