package entry

import (
	"os"
	"testing"

	"github.com/trailshed/trailshed/internal/standin/seed"
)

func TestMain(m *testing.M) { os.Exit(seed.Main(m)) }
