// Package seed fixes the randomness of randomised tests, so that a run gives
// the same verdict each time. TRAILSHED_SEED and TRAILSHED_CHECKS choose other
// and longer runs.
package seed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// usualChecks is how many runs a randomised test makes.
const usualChecks = 2000

// Main runs a package's tests with rapid's seed fixed; call it from TestMain
// of packages that import rapid.
func Main(m *testing.M) int { return MainOf(m, usualChecks) }

// MainOf is Main for a package whose runs take longer: so many are made.
func MainOf(m *testing.M, checks int) int {
	flag.Parse()
	set("rapid.seed", "TRAILSHED_SEED", "20261202")
	set("rapid.checks", "TRAILSHED_CHECKS", strconv.Itoa(checks))
	set("rapid.nofailfile", "", "true")
	return m.Run()
}

func set(name, variable, value string) {
	if v := os.Getenv(variable); v != "" {
		value = v
	}
	if err := flag.Set(name, value); err != nil {
		panic(err) // the package does not import rapid
	}
}
