package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
)

// ring holds lines until the output takes them. A full ring drops what is
// written to it, so that writers never wait.
//
// zerolog's diode isn't used: its writer may wake the reader just before the
// reader falls asleep, and a line then waits for the next one to be written.
type ring struct {
	out     io.Writer
	lines   chan *[]byte
	quit    sync.Once
	closing chan struct{}
	closed  chan struct{}
	dropped atomic.Int64
	failure error     // the output's first; read once closed
	spare   sync.Pool // of *[]byte
}

// newRing returns a ring of so many lines that writes to out until closed.
func newRing(out io.Writer, lines int) *ring {
	r := &ring{
		out:     out,
		lines:   make(chan *[]byte, lines),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	r.spare.New = func() any { return new([]byte) }
	go r.follow()
	return r
}

// Write queues a copy of the line; it never fails and never waits.
func (r *ring) Write(line []byte) (int, error) {
	b := r.spare.Get().(*[]byte)
	*b = append((*b)[:0], line...)
	select {
	case r.lines <- b:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Close returns once what was written before is at the output, with the
// output's first error.
func (r *ring) Close() error {
	r.quit.Do(func() { close(r.closing) })
	<-r.closed
	return r.failure
}

// follow writes lines as they come, and at the end those that wait.
func (r *ring) follow() {
	defer close(r.closed)
	for {
		select {
		case b := <-r.lines:
			r.put(b)
		case <-r.closing:
			r.drain()
			return
		}
	}
}

func (r *ring) drain() {
	for {
		select {
		case b := <-r.lines:
			r.put(b)
		default:
			return
		}
	}
}

// put writes one line. An output that fails has lost the line: it is counted
// with the dropped ones, since there is nowhere else to say so.
func (r *ring) put(b *[]byte) {
	if _, err := r.out.Write(*b); err != nil {
		r.dropped.Add(1)
		if r.failure == nil {
			r.failure = err
		}
	}
	r.spare.Put(b)
}
