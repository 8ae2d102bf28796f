// Package quarantine records which requests end the endpoints that run them, across all
// attempts by their callers and all instances, so that such a request is refused before
// it ends more endpoints.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/errs"
)

// Error marks every error of this package.
var Error = errs.Class("quarantine")

// Fingerprint identifies the work of a request. It is the same for each attempt,
// whatever the attempt's ID and whichever instance receives it. Two workspaces never
// share a fingerprint, so that none can cause another's requests to be refused.
type Fingerprint [16]byte

// Work is the part of a request that all its attempts have in common.
type Work struct {
	Workspace string // empty if it is not known
	Method    string
	Host      string
	Target    string // path and query
	Body      []byte
}

// Fingerprint returns the first half of a SHA-256 of all parts. A cryptographic hash is
// needed because callers choose the input.
func (w Work) Fingerprint() Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(w.Workspace), []byte(w.Method), []byte(w.Host), []byte(w.Target), w.Body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hex, as used in log lines and store keys.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the output of String.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, Error.New("%q is not a fingerprint", s)
	}
	return Fingerprint(b), nil
}
