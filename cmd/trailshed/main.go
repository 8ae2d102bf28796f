// Command trailshed routes requests for language models to separate prefill and
// decode pools, and requests for plain services to their endpoints.
package main

import (
	"os"

	"github.com/trailshed/trailshed/internal/command"
)

func main() { os.Exit(command.Run(os.Args[1:])) }
