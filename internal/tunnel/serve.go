package tunnel

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/uplink"
)

// bufferSize is the size of the buffers of one connection, of which there is one in each
// direction. An event of a stream fits into it.
const bufferSize = 4 << 10

// serve carries one connection for a peer.
func (t *Tunnels) serve(from string, s *peer.Stream) {
	var r request
	stop := context.AfterFunc(s.Context(), s.Abort) // the peer gave up
	err := s.SetReadDeadline(time.Now().Add(answerTimeout))
	if err == nil {
		err = s.ReadMessage(&r)
	}
	stop()
	if err != nil || s.SetReadDeadline(time.Time{}) != nil {
		s.Abort()
		t.Scope.Counter("tunnels_malformed").Inc(1)
		return
	}
	started := t.Now()
	answer, lent, err := t.connect(s.Context(), r)
	if lent != nil {
		defer t.carried.Add(-1)
	}
	if wrote := s.WriteMessage(answer); wrote != nil || lent == nil {
		if lent != nil {
			lent.Return()
		}
		s.Finish()
		t.logServed(from, r.Destination, answer.Outcome, t.Now().Sub(started), errors.Join(err, wrote))
		return
	}
	t.setServed(s, true)
	err = carry(s, lent)
	t.setServed(s, false)
	t.logServed(from, r.Destination, answer.Outcome, t.Now().Sub(started), err)
}

// connect answers a request. The connection that it returns counts as carried.
func (t *Tunnels) connect(ctx context.Context, r request) (response, *uplink.Lent, error) {
	d := r.Destination
	answer := response{Outcome: t.obstacle(d)}
	if answer.Outcome != 0 {
		if answer.Outcome == cut {
			answer.Referral = t.referral(d.Service)
		}
		t.countServed(answer.Outcome)
		return answer, nil, nil
	}
	if t.carried.Add(1) > int64(t.Max) {
		t.carried.Add(-1)
		t.countServed(full)
		return response{Outcome: full}, nil, nil
	}
	start := t.Now()
	ctx, cancel := context.WithTimeout(ctx, min(r.Timeout, connectTimeout))
	defer cancel()
	lent, err := t.Lend(ctx, d)
	if err == nil {
		t.countServed(connected)
		return response{Outcome: connected}, lent, nil
	}
	t.carried.Add(-1)
	answer.Outcome = unreachable
	if errors.Is(err, syscall.ECONNREFUSED) {
		answer.Outcome = refused
	}
	// ctx is over if the endpoint did not answer.
	soundContext, cancelSound := context.WithTimeout(context.WithoutCancel(ctx), connectTimeout)
	defer cancelSound()
	answer.Sound = t.Sound(soundContext, d, start)
	t.countServed(answer.Outcome)
	return answer, nil, err
}

// obstacle returns why this instance does not try to connect, or 0.
func (t *Tunnels) obstacle(d Destination) outcome {
	switch {
	case t.leaving.Load():
		return leaving
	case !t.Knows(d):
		return unknown
	case t.Cut(d):
		return cut
	case t.Overloaded():
		return full
	default:
		return 0
	}
}

func (t *Tunnels) countServed(o outcome) {
	t.Scope.Tagged(map[string]string{"outcome": o.String()}).Counter("tunnels_served").Inc(1)
}

// readTimeout bounds the wait for how much a peer has read, which comes with its end of the stream.
const readTimeout = 50 * time.Millisecond

// carry passes bytes on in both directions until the peer ends the exchange or breaks it off.
func carry(s *peer.Stream, l *uplink.Lent) error {
	back := make(chan error, 1)
	var passedBack int64
	go func() {
		var err error
		passedBack, err = passBack(s, l)
		back <- err
	}()
	_, readErr, writeErr := pass(l, s)
	if writeErr != nil {
		s.CancelRead(0) // the endpoint reads no more, but may have answered
		err := <-back
		l.Close()
		s.Finish()
		return errors.Join(writeErr, err)
	}
	if readErr != nil {
		l.Close()
		s.Abort()
		return errors.Join(readErr, <-back)
	}
	l.Interrupt()
	if err := <-back; !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err) {
		l.Close()
		s.Finish()
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	if read := s.ReadByPeer(ctx); read != 0 && read != passedBack {
		l.Close() // part of a second response may have been passed back
	} else {
		l.Return()
	}
	s.Finish()
	return nil
}

// passBack passes on what the endpoint sends and returns the number of bytes. An endpoint that
// resets the connection must not look as if it had closed it, since the end of some answers is
// the end of the connection.
func passBack(s *peer.Stream, l *uplink.Lent) (int64, error) {
	n, readErr, writeErr := pass(s, l)
	switch {
	case writeErr != nil:
		return n, writeErr
	case readErr == nil:
		return n, s.Close()
	case !isTimeout(readErr): // a timeout is an Interrupt
		s.CancelWrite(0)
	}
	return n, readErr
}

// isTimeout reports whether an error is that of a deadline that this instance has set. A connection that the kernel gave
// up for lost fails with a timeout of another kind.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// pass copies until from ends, which is no error, or one side fails. It returns the number of bytes that it copied.
func pass(to io.Writer, from io.Reader) (copied int64, readErr, writeErr error) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, writeErr = to.Write(buffer[:n]); writeErr != nil {
				return copied, nil, writeErr
			}
			copied += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return copied, nil, nil
		}
		if err != nil {
			return copied, err, nil
		}
	}
}
