package idempotency

import (
	"crypto/sha256"
	"fmt"
)

// Fingerprint identifies a request's method, path and body.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request. body is the SHA-256 of the request's body.
func FingerprintOf(method, path string, body [sha256.Size]byte) Fingerprint {
	return sha256.Sum256(fmt.Appendf(nil, "%d %s %d %s %x", len(method), method, len(path), path, body))
}
