// Package command implements trailshed's command line: one file for each command,
// whose tagged fields are its options.
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

// Output receives what commands print; tests replace it.
var Output io.Writer = os.Stdout

// commandSpec describes one command of the table in commands.
type commandSpec struct {
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

func commands(parser *flags.Parser) []commandSpec {
	return []commandSpec{
		{"serve", "run a process", "Runs one trailshed process until it receives SIGTERM, then waits for running requests to finish.", &serve{}},
		{"gateway", "route on a platform", "Runs one process that routes requests on the users' platform until it receives SIGTERM, then waits for running requests to finish.", &gatewayCommand{}},
		{"check", "check a settings file", "Checks a settings file and reports the file, line, key and value of each error.", &check{}},
		{"query", "run a read-only statement", "Runs a read-only statement, such as 'show running' or 'explain REQUEST'.", &queryCommand{}},
		{"do", "run statements that may change the configuration", "Runs statements that may change the configuration, such as 'drain endpoint NAME'.", &do{}},
		{"explain-log", "show what happened to a request", "Reads the logs of any number of gateways on standard input and prints, in order of time, what happened to one request.", &explainLog{}},
		{"replay", "replay a recorded trace", "Replays a recorded trace of requests against running processes and checks every answer.", &replay{}},
		{"bench", "run an experiment", "Runs the experiment described by a plan in emulated time: compares policies under the same load and faults, and prints tables, draws plots and writes a result file for later comparison.", &bench{}},
		{"completion", "print shell completion", "Prints a script that completes commands and options in bash.", &completion{}},
		{"manual", "print the manual page", "Prints the manual page of all commands; read it with 'trailshed manual | man -l -'.", &manual{parser}},
		{"version", "print the version", "Prints the version.", &version{}},
	}
}
