package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
)

// queue holds lines until the output accepts them. A full queue drops new lines,
// so that writers never wait.
//
// zerolog's diode is not used because of a lost wake-up: its writer may signal
// the reader just before the reader starts to wait, and the line then stays in
// the buffer until the next one is written.
type queue struct {
	out       io.Writer
	lines     chan *[]byte
	closeOnce sync.Once
	closing   chan struct{}
	closed    chan struct{}
	dropped   atomic.Int64
	firstErr  error     // first error of out; read only after closed
	buffers   sync.Pool // of *[]byte
}

// newQueue returns a queue of up to the given number of lines that writes to out
// until it is closed.
func newQueue(out io.Writer, lines int) *queue {
	q := &queue{
		out:     out,
		lines:   make(chan *[]byte, lines),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	q.buffers.New = func() any { return new([]byte) }
	go q.run()
	return q
}

// Write queues a copy of the line; it never fails and never waits.
func (q *queue) Write(line []byte) (int, error) {
	b := q.buffers.Get().(*[]byte)
	*b = append((*b)[:0], line...)
	select {
	case q.lines <- b:
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the output has received all lines queued so far and returns
// the output's first error.
func (q *queue) Close() error {
	q.closeOnce.Do(func() { close(q.closing) })
	<-q.closed
	return q.firstErr
}

// run writes lines as they arrive and, on Close, those still in the queue.
func (q *queue) run() {
	defer close(q.closed)
	for {
		select {
		case b := <-q.lines:
			q.writeLine(b)
		case <-q.closing:
			q.drain()
			return
		}
	}
}

func (q *queue) drain() {
	for {
		select {
		case b := <-q.lines:
			q.writeLine(b)
		default:
			return
		}
	}
}

// writeLine writes one line to the output. If that fails, the line is lost and
// counted as dropped, since there is no other place to report the error.
func (q *queue) writeLine(b *[]byte) {
	if _, err := q.out.Write(*b); err != nil {
		q.dropped.Add(1)
		if q.firstErr == nil {
			q.firstErr = err
		}
	}
	q.buffers.Put(b)
}
