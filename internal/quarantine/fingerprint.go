// Package quarantine remembers which requests end the endpoints that run them,
// over all tries of their callers and at all instances, so that such a request is
// refused before it ends more.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/errs"
)

// Error marks every error of this package.
var Error = errs.Class("quarantine")

// Fingerprint names the work that a request asks for: the same for each try of it,
// whatever the try is called, and whichever instance it comes to. Two workspaces
// never share one, so that none can have another's requests refused.
type Fingerprint [16]byte

// Work is what a request asks for, as far as tries of it have it in common.
type Work struct {
	Workspace string // empty if it is not known
	Method    string
	Host      string
	Target    string // path and query
	Body      []byte
}

// Fingerprint is the first half of a SHA-256, since callers choose what goes in.
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

// String is the fingerprint in hex, as in lines and keys.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String writes.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, Error.New("%q is no fingerprint", s)
	}
	return Fingerprint(b), nil
}
