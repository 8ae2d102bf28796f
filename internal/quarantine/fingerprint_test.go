package quarantine_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/quarantine"
)

func ExampleWork_Fingerprint() {
	work := quarantine.Work{Method: "POST", Host: "a.example", Target: "/summaries/7", Body: []byte("prompt")}
	again := quarantine.Work{Method: "POST", Host: "a.example", Target: "/summaries/7", Body: []byte("prompt")}
	fmt.Println(work.Fingerprint() == again.Fingerprint())
	// Output: true
}

// Requests that differ in any part of Work have different fingerprints, even if the
// concatenation of the parts is the same.
func TestFingerprintsDiffer(t *testing.T) {
	work := quarantine.Work{Workspace: "acorn", Method: "POST", Host: "a", Target: "/x", Body: []byte("b")}
	tests := []struct {
		name  string
		other quarantine.Work
	}{
		{"workspace", quarantine.Work{Workspace: "birch", Method: "POST", Host: "a", Target: "/x", Body: []byte("b")}},
		{"no workspace", quarantine.Work{Method: "POST", Host: "a", Target: "/x", Body: []byte("b")}},
		{"method", quarantine.Work{Workspace: "acorn", Method: "PUT", Host: "a", Target: "/x", Body: []byte("b")}},
		{"host", quarantine.Work{Workspace: "acorn", Method: "POST", Host: "c", Target: "/x", Body: []byte("b")}},
		{"query", quarantine.Work{Workspace: "acorn", Method: "POST", Host: "a", Target: "/x?y", Body: []byte("b")}},
		{"body", quarantine.Work{Workspace: "acorn", Method: "POST", Host: "a", Target: "/x", Body: []byte("c")}},
		{"same concatenation", quarantine.Work{Workspace: "acorn", Method: "POST", Host: "a", Target: "/xb"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.other.Fingerprint(), qt.Not(qt.Equals), work.Fingerprint())
		})
	}
}

func TestParseFingerprint(t *testing.T) {
	f := quarantine.Work{Target: "/x"}.Fingerprint()
	got, err := quarantine.ParseFingerprint(f.String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, f)
	for _, text := range []string{"", "zz", f.String()[2:], f.String() + "00"} {
		_, err := quarantine.ParseFingerprint(text)
		qt.Assert(t, err, qt.IsNotNil)
	}
}
