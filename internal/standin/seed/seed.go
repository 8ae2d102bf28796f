// Package seed fixes the seed of randomised tests, so that each run gives the same
// result. The variables TRAILSHED_SEED and TRAILSHED_CHECKS set another seed and
// number of checks.
package seed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// defaultChecks is how many cases each randomised test runs.
const defaultChecks = 2000

// Main runs a package's tests with a fixed seed for rapid. It is called from TestMain
// of packages that import rapid.
func Main(m *testing.M) int { return MainWithChecks(m, defaultChecks) }

// MainWithChecks is Main with a number of checks, for packages whose checks take longer.
func MainWithChecks(m *testing.M, checks int) int {
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
