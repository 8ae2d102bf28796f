package obsfold_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/obsfold"
)

func TestReader(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n"
	tests := []struct {
		name, response string
		rest           string // from a folded line on
	}{
		{"none", "HTTP/1.1 200 OK\r\nA: 1\r\nB: 2\r\n\r\n", ""},
		{"no fields", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"blanks in a value and after the head", "HTTP/1.1 200 OK\r\nA:  1 2 \r\n\r\n body\r\n line", ""},
		{"lines without carriage returns", "HTTP/1.1 200 OK\nA: 1\n\n body", ""},
		{"after an interim response", interim + "HTTP/1.1 200 OK\r\nA: 1\r\n\r\n body", ""},
		{"blank in front of the response", " HTTP/1.1 200 OK\r\nA: 1\r\n\r\n", ""},
		{"blank", "HTTP/1.1 200 OK\r\nA: 1\r\n Content-Length: 2\r\n\r\n", " Content-Length: 2\r\n\r\n"},
		{"tab", "HTTP/1.1 200 OK\r\nA: 1\r\n\tContent-Length: 2\r\n\r\n", "\tContent-Length: 2\r\n\r\n"},
		{"first field", "HTTP/1.1 200 OK\r\n A: 1\r\n\r\n", " A: 1\r\n\r\n"},
		{"empty line that begins with a blank", "HTTP/1.1 200 OK\r\nA: 1\r\n \r\n\r\n", " \r\n\r\n"},
		{"without carriage returns", "HTTP/1.1 200 OK\nA: 1\n 2\n\n", " 2\n\n"},
		{"in an interim response", "HTTP/1.1 103 Early Hints\r\nA: 1\r\n 2\r\n\r\n", " 2\r\n\r\n"},
		{"behind interim responses", interim + interim + "HTTP/1.1 200 OK\r\nA: 1\r\n 2\r\n\r\n", " 2\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			before := strings.TrimSuffix(test.response, test.rest)
			for name, inner := range map[string]io.Reader{
				"at once": strings.NewReader(test.response), "by bytes": iotest.OneByteReader(strings.NewReader(test.response)),
			} {
				r := obsfold.NewReader(inner)
				c.Assert(r.ExpectHead(nil), qt.IsNil)
				for range 2 { // a reader on top of it may pass over an error
					data, err := io.ReadAll(r)
					c.Check(obsfold.Error.Has(err), qt.Equals, test.rest != "", qt.Commentf("%s: %v", name, err))
					c.Check(string(data), qt.Equals, before)
					before = ""
				}
				before = strings.TrimSuffix(test.response, test.rest)
			}
			for ahead := range len(test.response) {
				r := obsfold.NewReader(strings.NewReader(test.response[ahead:]))
				err := r.ExpectHead([]byte(test.response[:ahead]))
				c.Check(err != nil, qt.Equals, ahead > len(before))
				_, err = io.ReadAll(r)
				c.Check(obsfold.Error.Has(err), qt.Equals, test.rest != "", qt.Commentf("%d bytes read ahead: %v", ahead, err))
			}
		})
	}
}

// What is no head may have any lines.
func TestReaderWithoutHead(t *testing.T) {
	c := qt.New(t)
	const body = "a\r\n b\r\n"
	r := obsfold.NewReader(strings.NewReader(body))
	data, err := io.ReadAll(r)
	c.Check(err, qt.IsNil)
	c.Check(string(data), qt.Equals, body)
}
