package command

import "github.com/jessevdk/go-flags"

// manual prints the manual page, which is generated from the commands and options.
type manual struct{ parser *flags.Parser }

// Execute prints the page in roff format.
func (m *manual) Execute([]string) error {
	m.parser.WriteManPage(Output)
	return nil
}
