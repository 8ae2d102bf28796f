package command

import (
	"os"

	"github.com/trailshed/trailshed/internal/story"
)

type explainLog struct {
	JSON bool `long:"json" description:"print the lines themselves"`
	Args struct {
		Request string `positional-arg-name:"REQUEST" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute prints from logs on standard input what happened to one request.
func (e *explainLog) Execute([]string) error {
	s, err := story.Read(os.Stdin, e.Args.Request)
	if err != nil {
		return err
	}
	if e.JSON {
		return s.WriteJSON(Output)
	}
	return s.Write(Output)
}
