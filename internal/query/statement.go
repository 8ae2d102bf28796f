// Package query is the operators' small language: what is running, who waits
// and why, and the commands that change the configuration.
package query

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/zeebo/errs"
)

// Error marks every error of this package.
var Error = errs.Class("query")

// Statement is one line of the language; exactly one field is set.
type Statement struct {
	Show    *Show    `parser:"  'show' @@"`
	Explain *Explain `parser:"| 'explain' @@"`
	Create  *Edit    `parser:"| 'create' @@"`
	Set     *Edit    `parser:"| 'set' @@"`
	Delete  *Name    `parser:"| 'delete' @@"`
	Drain   *Target  `parser:"| 'drain' @@"`
	Undrain *Target  `parser:"| 'undrain' @@"`
	Stop    *Target  `parser:"| 'stop' @@"`
	Start   *Target  `parser:"| 'start' @@"`
}

// Show lists things, those that match every condition.
type Show struct {
	What  string      `parser:"@Word"`
	Where []Condition `parser:"('where' @@ ('and' @@)*)?"`
	Limit int         `parser:"('limit' @Word)?"`
}

// Condition is a column that must have a value.
type Condition struct {
	Column string `parser:"@Word '='"`
	Value  string `parser:"(@Word | @String)"`
}

// Explain tells the decisions about one request.
type Explain struct {
	Request string `parser:"(@Word | @String)"`
}

// Edit gives an aggregate's fields values.
type Edit struct {
	Noun   string       `parser:"@Word"`
	Name   string       `parser:"(@Word | @String)"`
	Fields []Assignment `parser:"(@@ (',' @@)*)?"`
}

// Assignment is one field with its new value.
type Assignment struct {
	Field string `parser:"@Word '='"`
	Value string `parser:"(@Word | @String)"`
}

// Name names an aggregate.
type Name struct {
	Noun string `parser:"@Word"`
	Name string `parser:"(@Word | @String)"`
}

// Target names what drain, undrain, stop and start act on.
type Target struct {
	Noun string `parser:"@('endpoint' | 'pool')"`
	Name string `parser:"(@Word | @String)"`
}

var language = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Punct", Pattern: `[=,]`},
	{Name: "Word", Pattern: `[^\s=,"]+`},
	{Name: "space", Pattern: `\s+`},
})

var grammar = participle.MustBuild[Statement](participle.Lexer(language), participle.Unquote("String"))

// SyntaxError points at the column where a statement cannot be understood.
type SyntaxError struct {
	Statement string
	Column    int // from 1
	Message   string
}

// Error shows the statement with a mark under the column.
func (e *SyntaxError) Error() string {
	mark := strings.Repeat(" ", max(e.Column-1, 0)) + "^"
	return fmt.Sprintf("column %d: %s\n  %s\n  %s", e.Column, e.Message, e.Statement, mark)
}

// Parse reads one statement; its error is a *SyntaxError.
func Parse(text string) (*Statement, error) {
	s, err := grammar.ParseString("", text)
	if err == nil {
		return s, nil
	}
	syntax := &SyntaxError{Statement: text, Column: 1, Message: err.Error()}
	var where participle.Error
	if errors.As(err, &where) {
		syntax.Column, syntax.Message = where.Position().Column, where.Message()
	}
	return nil, syntax
}

// Reads says whether a statement changes nothing.
func (s *Statement) Reads() bool { return s.Show != nil || s.Explain != nil }
