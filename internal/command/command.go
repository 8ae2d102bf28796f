// Package command is trailshed's command line: one file for each command, whose
// tagged fields are its options.
package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"
)

// Error marks every error of this package.
var Error = errs.Class("trailshed")

// Output is where commands print; tests replace it.
var Output io.Writer = os.Stdout

// registered is one command in the table below.
type registered struct {
	name  string
	short string
	long  string
	run   flags.Commander
}

// Run parses the arguments, runs the command and returns the exit status.
func Run(args []string) int {
	parser := flags.NewNamedParser("trailshed", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "router for separate prefill and decode pools"
	for _, c := range commands(parser) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.run); err != nil {
			fmt.Fprintln(os.Stderr, Error.Wrap(err))
			return 2
		}
	}
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(Output, flagsErr.Message)
		return 0
	default:
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
}

func commands(parser *flags.Parser) []registered {
	return []registered{
		{"serve", "run a process", "Runs one trailshed process until it is sent SIGTERM, then lets every running request finish.", &serve{}},
		{"gateway", "route on a platform", "Runs one process that routes requests on the users' platform until it is sent SIGTERM, then lets running requests finish.", &gatewayCommand{}},
		{"check", "check a settings file", "Checks a settings file, naming file, line, key and value of everything that is wrong.", &check{}},
		{"query", "ask what is running", "Runs a statement that changes nothing, such as 'show running' or 'explain REQUEST'.", &ask{}},
		{"do", "give a command", "Runs statements that may change the configuration, such as 'drain endpoint NAME'.", &do{}},
		{"explain-log", "tell what became of a request", "Reads the logs of any number of gateways on standard input and tells, in order, what became of one request.", &explainLog{}},
		{"replay", "replay a recorded trace", "Replays a recorded trace of callers against running processes and checks every answer.", &replay{}},
		{"bench", "play an experiment", "Plays a declared experiment in emulated time: the policies side by side under the same load and faults, with tables, plots and result files to compare with.", &bench{}},
		{"completion", "print shell completion", "Prints a script that completes commands and options in bash.", &completion{}},
		{"manual", "print the manual page", "Prints the manual page of all commands; read it with 'trailshed manual | man -l -'.", &manual{parser}},
		{"version", "print the version", "Prints the version.", &version{}},
	}
}
