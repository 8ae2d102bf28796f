package command

import (
	"fmt"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/settings"
)

type check struct {
	PrintDefault bool `long:"print-default" description:"print the commented default settings"`
	Args         struct {
		File string `positional-arg-name:"FILE" description:"settings to check"`
	} `positional-args:"true"`
}

// Execute checks a settings file and the certificates that it names.
func (c *check) Execute([]string) error {
	if c.PrintDefault {
		_, err := Output.Write(settings.Default)
		return Error.Wrap(err)
	}
	if c.Args.File == "" {
		return Error.New("check: FILE is missing")
	}
	s, err := settings.Load(c.Args.File)
	if err != nil {
		return err
	}
	if _, err := peer.LoadTLS(s.Peers.CA, s.Peers.Certificate, s.Peers.Key); err != nil {
		return Error.New("%s: %v", c.Args.File, err)
	}
	_, _ = fmt.Fprintf(Output, "%s: good\n", c.Args.File)
	return nil
}
