// Package query parses the statements of operators and formats the answers.
// Statements list what is running and what is queued and why, and change the
// configuration.
package query

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("query")

// Statement is one parsed statement; exactly one field is set.
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

// Show lists the rows of a table that match every condition.
type Show struct {
	What  string      `parser:"@Word"`
	Where []Condition `parser:"('where' @@ ('and' @@)*)?"`
	Limit int         `parser:"('limit' @Word)?"`
}

// Condition requires that a column has a value.
type Condition struct {
	Column string `parser:"@Word '='"`
	Value  string `parser:"(@Word | @String)"`
}

// Explain lists the decisions made about one request.
type Explain struct {
	Request string `parser:"(@Word | @String)"`
}

// Edit names an aggregate and the values of its fields, to create or set.
type Edit struct {
	Noun   string       `parser:"@Word"`
	Name   string       `parser:"(@Word | @String)"`
	Fields []Assignment `parser:"(@@ (',' @@)*)?"`
}

// Assignment sets one field to a value.
type Assignment struct {
	Field string `parser:"@Word '='"`
	Value string `parser:"(@Word | @String)"`
}

// Name identifies an aggregate.
type Name struct {
	Noun string `parser:"@Word"`
	Name string `parser:"(@Word | @String)"`
}

// Target identifies the endpoint or pool that drain, undrain, stop or start changes.
type Target struct {
	Noun string `parser:"@('endpoint' | 'pool')"`
	Name string `parser:"(@Word | @String)"`
}

var statementLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Punct", Pattern: `[=,]`},
	{Name: "Word", Pattern: `[^\s=,"]+`},
	{Name: "space", Pattern: `\s+`},
})

var statementParser = participle.MustBuild[Statement](participle.Lexer(statementLexer), participle.Unquote("String"))

// SyntaxError reports the column at which a statement cannot be parsed.
type SyntaxError struct {
	Statement string
	Column    int // from 1
	Message   string
}

// Error returns the message and the statement with a marker under the column.
func (e *SyntaxError) Error() string {
	marker := strings.Repeat(" ", max(e.Column-1, 0)) + "^"
	return fmt.Sprintf("column %d: %s\n  %s\n  %s", e.Column, e.Message, e.Statement, marker)
}

// Parse parses one statement. Its error is always a *SyntaxError.
func Parse(text string) (*Statement, error) {
	s, err := statementParser.ParseString("", text)
	if err == nil {
		return s, nil
	}
	syntaxErr := &SyntaxError{Statement: text, Column: 1, Message: err.Error()}
	var parseErr participle.Error
	if errors.As(err, &parseErr) {
		syntaxErr.Column, syntaxErr.Message = parseErr.Position().Column, parseErr.Message()
	}
	return nil, syntaxErr
}

// ReadOnly reports whether a statement is read-only.
func (s *Statement) ReadOnly() bool { return s.Show != nil || s.Explain != nil }
