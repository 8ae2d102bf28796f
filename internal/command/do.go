package command

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/trailshed/trailshed/internal/query"
)

type do struct {
	adminClient
	File string `short:"f" long:"file" value-name:"FILE" description:"run the statements of a file, a line each"`
	Base int64  `long:"base" value-name:"REVISION" description:"revision that the command was decided on"`
	Args struct {
		Statement []string `positional-arg-name:"STATEMENT"`
	} `positional-args:"true"`
}

// Execute runs one statement, or those of a file up to the first that fails.
func (d *do) Execute([]string) error {
	if d.File == "" {
		t, err := d.send(strings.Join(d.Args.Statement, " "), d.Base)
		if err != nil {
			return err
		}
		return d.print(t)
	}
	return d.runFile()
}

func (d *do) runFile() error {
	f, err := os.Open(d.File)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	var last query.Table
	count := 0
	lines := bufio.NewScanner(f)
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		if last, err = d.send(text, 0); err != nil {
			return Error.New("%s:%d: %v", d.File, lineNumber, err)
		}
		count++
	}
	_, _ = fmt.Fprintf(Output, "%d statements done, revision %d\n", count, last.Revision)
	return Error.Wrap(lines.Err())
}
