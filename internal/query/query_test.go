package query_test

import (
	"errors"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/query"
)

func TestParse(t *testing.T) {
	tests := []struct {
		text   string
		reads  bool
		column int // of the error; 0 without
	}{
		{"show running", true, 0},
		{"show running where class = till and phase = streaming limit 5", true, 0},
		{"explain 083e2722-1175-4eae-9f88-1f53bee219d5", true, 0},
		{`create workspace kestrel class = till, key = "a b"`, false, 0},
		{"drain endpoint a-llm-decode-1", false, 0},
		{"stop pool a-llm-decode", false, 0},
		{"", false, 1},
		{"shwo running", false, 1},
		{"show running where class till", false, 26},
		{"drain workspace x", false, 7},
		{"create workspace w class =", false, 27},
		{"show running limit many", false, 20},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			c := qt.New(t)
			s, err := query.Parse(test.text)
			if test.column == 0 {
				c.Assert(err, qt.IsNil)
				c.Assert(s.ReadOnly(), qt.Equals, test.reads)
				return
			}
			var syntax *query.SyntaxError
			c.Assert(errors.As(err, &syntax), qt.IsTrue)
			c.Assert(syntax.Column, qt.Equals, test.column)
		})
	}
}

func ExampleTable_Write() {
	t := query.Table{Columns: []string{"name", "free"}, Missing: []string{"n4"}}
	t.Add("b", "2")
	t.Add("a", "10")
	_ = t.Filter(nil, 1)
	_ = t.Write(os.Stdout)
	// Output:
	// NAME  FREE
	// a     10
	// not heard: n4
}
