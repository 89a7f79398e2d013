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

// BodyFingerprint returns the Fingerprint of parts and, as the last one, a body that is given in
// pieces. It copies no piece.
func BodyFingerprint(body [][]byte, parts ...string) string {
	digest := sha256.New()
	for _, part := range parts {
		_, _ = digest.Write([]byte(part))
		_, _ = digest.Write([]byte{0})
	}
	for _, piece := range body {
		_, _ = digest.Write(piece)
	}
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}
