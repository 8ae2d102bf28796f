// Package outage breaks one instance's own connections to endpoints. Endpoints of a soak run
// have one address for all instances, so that a proxy before an endpoint can't tell instances
// apart. Instead the test writes a fault to a file, and the process opens its connections to
// endpoints through that file.
package outage

import (
	"context"
	"os"
	"strconv"
	"time"

	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/platform/standin"
)

// pollInterval is how often a process reads its file.
const pollInterval = 20 * time.Millisecond

// Path returns the path of the file for an instance's settings file.
func Path(settings string) string { return settings + ".links" }

// Set writes a fault for the process that follows a file.
func Set(path string, fault standin.LinkFault) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(strconv.Itoa(int(fault))), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// Follow returns the links of the process whose file is at path. They take over its fault until
// ctx ends; without a file they work.
func Follow(ctx context.Context, path string) *standin.Links {
	l := standin.NewLinks()
	current := standin.LinksUp
	go ticker.Every(ctx, pollInterval, func() {
		if fault := read(path); fault != current {
			current = fault
			l.Set(fault, nil)
		}
	})
	return l
}

// read returns the fault in a file, or LinksUp if there is none.
func read(path string) standin.LinkFault {
	text, err := os.ReadFile(path)
	if err != nil {
		return standin.LinksUp
	}
	fault, err := strconv.Atoi(string(text))
	if err != nil {
		return standin.LinksUp
	}
	return standin.LinkFault(fault)
}
