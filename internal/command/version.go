package command

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Version is set by the linker at a release.
var Version = "0.1.0-dev"

type version struct{}

// Execute prints the version.
func (v *version) Execute([]string) error {
	_, err := fmt.Fprintf(Output, "trailshed %s %s\n", Version, runtime.Version())
	return Error.Wrap(err)
}

// commitLength is how much of a commit's name tells it from others.
const commitLength = 10

// build names this version and, where the build knows it, the commit.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Version + " " + s.Value[:min(len(s.Value), commitLength)]
		}
	}
	return Version
}
