package quota_test

import (
	"os"
	"testing"

	"github.com/trailshed/trailshed/internal/standin/seed"
)

// fleetChecks is small because each check simulates tens of seconds of a whole fleet.
const fleetChecks = 150

func TestMain(m *testing.M) { os.Exit(seed.MainWithChecks(m, fleetChecks)) }
