package forward_test

import (
	"os"
	"testing"

	"github.com/trailshed/trailshed/internal/standin/seed"
)

// checks is how many cases the randomised test of this package runs. Each takes less than a millisecond.
const checks = 4000

func TestMain(m *testing.M) { os.Exit(seed.MainWithChecks(m, checks)) }
