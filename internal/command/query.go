package command

import (
	"strings"

	"github.com/trailshed/trailshed/internal/query"
)

type ask struct {
	remote
	Args struct {
		Statement []string `positional-arg-name:"STATEMENT" required:"1"`
	} `positional-args:"true"`
}

// Execute runs a statement that changes nothing.
func (a *ask) Execute([]string) error {
	text := strings.Join(a.Args.Statement, " ")
	s, err := query.Parse(text)
	if err != nil {
		return err
	}
	if !s.Reads() {
		return Error.New("this statement changes something: use 'trailshed do'")
	}
	t, err := a.send(text, 0)
	if err != nil {
		return err
	}
	return a.print(t)
}
