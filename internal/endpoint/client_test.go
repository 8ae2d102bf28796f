package endpoint

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestReadTokens(t *testing.T) {
	const (
		a    = `{"index":0,"text":"a"}` + "\n"
		b    = `{"index":1,"text":"b"}` + "\n"
		end2 = `{"index":2,"done":true,"total":2}` + "\n"
	)
	tests := []struct {
		name   string
		offset int
		stream string
		want   string
		err    error
	}{
		{"whole", 0, a + b + end2, "ab", nil},
		{"resumed at an offset", 1, b + end2, "b", nil},
		{"offset not honoured", 1, a + b + end2, "b", nil},
		{"repeated", 0, a + a + b + b + end2, "ab", nil},
		{"crossed", 0, b + a + end2, "", ErrTruncated},
		{"gap", 0, a + `{"index":2,"text":"c"}` + "\n", "a", ErrTruncated},
		{"truncated", 0, a, "a", ErrTruncated},
		{"cut in a line", 0, a + `{"index":1,"te`, "a", ErrTruncated},
		{"end too early", 0, a + end2, "a", ErrTruncated},
		{"nothing", 0, "", "", ErrTruncated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var got strings.Builder
			err := readTokens(strings.NewReader(test.stream), test.offset, func(t Token) error {
				got.WriteString(t.Text)
				return nil
			})
			c.Assert(got.String(), qt.Equals, test.want)
			c.Assert(errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
