package permit_test

import (
	"os"
	"testing"

	"github.com/trailshed/trailshed/internal/standin/seed"
)

// fleetChecks is the number of simulated fleets with faults that are checked.
const fleetChecks = 300

func TestMain(m *testing.M) { os.Exit(seed.MainWithChecks(m, fleetChecks)) }
