package command

import (
	"strings"

	"github.com/trailshed/trailshed/internal/query"
)

type queryCommand struct {
	adminClient
	Args struct {
		Statement []string `positional-arg-name:"STATEMENT" required:"1"`
	} `positional-args:"true"`
}

// Execute runs a read-only statement.
func (c *queryCommand) Execute([]string) error {
	text := strings.Join(c.Args.Statement, " ")
	s, err := query.Parse(text)
	if err != nil {
		return err
	}
	if !s.ReadOnly() {
		return Error.New("statement is not read-only: use 'trailshed do'")
	}
	t, err := c.send(text, 0)
	if err != nil {
		return err
	}
	return c.print(t)
}
