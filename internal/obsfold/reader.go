// Package obsfold finds obsolete line folding (RFC 9112, section 5.2) in the heads of responses. A line of a head that
// begins with a blank goes on with the value of the field before it, which net/http joins. If the line is meant as a
// field of its own, one with a length for example, the response is another one without it.
package obsfold

import (
	"io"
	"sync"

	"github.com/zeebo/errs"
)

// Error marks the error of a read that found a folded line.
var Error = errs.Class("obsfold")

var errFolded = Error.New("a line of the head begins with a blank")

// statusColumn is where the status begins in the first line of a response: HTTP/1.1 200 OK.
const statusColumn = len("HTTP/1.1 ")

// Reader reads responses and fails at a folded line in a head, after the bytes before it. It is safe for concurrent use if
// the reader below it is.
type Reader struct {
	inner io.Reader

	mu     sync.Mutex
	head   head
	folded bool // and nothing more is read
}

// NewReader returns a Reader on top of another one. It expects no head.
func NewReader(inner io.Reader) *Reader { return &Reader{inner: inner, head: head{ended: true}} }

// ExpectHead is called before a response is read, of which buffered has been read ahead. It returns an error if that has a
// folded line.
func (r *Reader) ExpectHead(buffered []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = head{}
	_, err := r.scan(buffered)
	return err
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	if r.hasFolded() {
		return 0, errFolded
	}
	n, err := r.inner.Read(b)
	r.mu.Lock()
	defer r.mu.Unlock()
	if before, folded := r.scan(b[:n]); folded != nil {
		return before, folded
	}
	return n, err //nolint:wrapcheck // as of the inner reader
}

func (r *Reader) hasFolded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.folded
}

// scan scans the next bytes and returns how many of them come before a folded line.
func (r *Reader) scan(data []byte) (int, error) {
	n := r.head.scan(data)
	if r.folded = r.folded || n < len(data); r.folded {
		return n, errFolded
	}
	return n, nil
}

// head is how far the head of a response has been read, together with those of interim responses before it.
type head struct {
	column  int  // in the line
	fields  bool // the first line has ended
	interim bool // another head follows this one
	ended   bool
}

// scan scans the next bytes up to a folded line, and returns how many these are. Those after the head may be any.
func (h *head) scan(data []byte) int {
	for i, b := range data {
		switch {
		case h.ended:
			return len(data)
		case b == '\n':
			h.endLine()
		case b == '\r': // belongs to the end of the line
		case h.fields && h.column == 0 && (b == ' ' || b == '\t'):
			return i
		default:
			h.interim = h.interim || !h.fields && h.column == statusColumn && b == '1'
			h.column++
		}
	}
	return len(data)
}

func (h *head) endLine() {
	empty := h.column == 0
	h.column = 0
	switch {
	case !empty:
		h.fields = true
	case h.interim:
		*h = head{}
	default:
		h.ended = true
	}
}
