// Command trailshed routes language-model requests over separate prefill and
// decode pools, and plain services beside them.
package main

import (
	"os"

	"github.com/trailshed/trailshed/internal/command"
)

func main() { os.Exit(command.Run(os.Args[1:])) }
