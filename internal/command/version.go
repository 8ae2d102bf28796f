package command

import (
	"fmt"
	"runtime"
)

// Version is set by the linker at a release.
var Version = "0.1.0-dev"

type version struct{}

// Execute prints the version.
func (v *version) Execute([]string) error {
	_, err := fmt.Fprintf(Output, "trailshed %s %s\n", Version, runtime.Version())
	return Error.Wrap(err)
}
