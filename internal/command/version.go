package command

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Version is set by the linker in releases.
var Version = "0.1.0-dev"

type version struct{}

// Execute prints the version.
func (v *version) Execute([]string) error {
	_, err := fmt.Fprintf(Output, "trailshed %s %s\n", Version, runtime.Version())
	return Error.Wrap(err)
}

// commitLength is the length to which commit hashes are abbreviated.
const commitLength = 10

// buildVersion returns Version and, if the build information has it, the commit.
func buildVersion() string {
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
