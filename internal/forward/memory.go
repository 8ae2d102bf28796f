package forward

import "io"

// errMemory says that the memory for bodies is taken.
var errMemory = Error.New("bodies take all the memory that they may")

// hold takes memory for a body until the request ends. What is still on its way counts as
// well: a caller who sends slowly holds as much as one who waits.
func (p *passage) hold(bytes int64) bool {
	if p.bodies.Add(bytes) > p.BodyMemory && bytes > 0 {
		p.bodies.Add(-bytes)
		return false
	}
	p.holds += bytes
	return true
}

// release gives back what the request held.
func (p *passage) release() {
	p.bodies.Add(-p.holds)
	p.holds = 0
}

// held is a body of unknown length, which takes memory as it comes.
type held struct {
	io.Reader
	p *passage
}

func (h held) Read(b []byte) (int, error) {
	n, err := h.Reader.Read(b)
	if !h.p.hold(int64(n)) {
		return n, errMemory
	}
	return n, err
}
