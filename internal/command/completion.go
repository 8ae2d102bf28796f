package command

import "fmt"

type completion struct{}

// bashScript delegates completion to go-flags, so that it always matches the commands
// and options of the binary.
const bashScript = `_trailshed() {
    local words=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${words[@]}"))
}
complete -F _trailshed trailshed
`

// Execute prints the script.
func (c *completion) Execute([]string) error {
	_, err := fmt.Fprint(Output, bashScript)
	return Error.Wrap(err)
}
