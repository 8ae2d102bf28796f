package claim_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/claim"
)

// Guards against a repeated request being refused because an earlier build wrote its claim, without
// the digest of the target.
func TestSameRequest(t *testing.T) {
	own := claim.Claim{RequestDigest: 1, TargetDigest: 2}
	tests := []struct {
		name    string
		earlier claim.Claim
		want    bool
	}{
		{"same", claim.Claim{RequestDigest: 1, TargetDigest: 2}, true},
		{"other body", claim.Claim{RequestDigest: 3, TargetDigest: 2}, false},
		{"other target", claim.Claim{RequestDigest: 1, TargetDigest: 3}, false},
		{"earlier build", claim.Claim{RequestDigest: 1}, true},
		{"earlier build, other body", claim.Claim{RequestDigest: 3}, false},
	}
	for _, test := range tests {
		qt.Check(t, test.earlier.SameRequest(own), qt.Equals, test.want, qt.Commentf(test.name))
		qt.Check(t, own.SameRequest(test.earlier), qt.Equals, test.want, qt.Commentf(test.name))
	}
}
