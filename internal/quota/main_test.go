package quota_test

import (
	"os"
	"testing"

	"github.com/trailshed/trailshed/internal/standin/seed"
)

// checks is few, since each run is some tens of seconds of a whole fleet.
const checks = 150

func TestMain(m *testing.M) { os.Exit(seed.MainOf(m, checks)) }
