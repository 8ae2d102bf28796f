package command

import "github.com/jessevdk/go-flags"

// manual prints the manual page, which derives from all commands' options.
type manual struct{ parser *flags.Parser }

// Execute prints the page in man's own format.
func (m *manual) Execute([]string) error {
	m.parser.WriteManPage(Output)
	return nil
}
