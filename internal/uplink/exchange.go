package uplink

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/trailshed/trailshed/internal/response"
)

// ErrNotSent means that no byte of the request left this instance, so the request certainly
// did not run.
var ErrNotSent = errors.New("not sent")

// ErrOwnLinks means that this instance has lost its own links to an endpoint, and that no peer
// could connect in its stead. It says nothing about the endpoint.
var ErrOwnLinks = errors.New("this instance's own links are lost")

// ErrNoResponse means that the connection ended, or carried something other than a response,
// after part of the request had been sent: the request may have run.
var ErrNoResponse = errors.New("connection ended without a response")

// ErrUnconfirmed means that a connection failed and that no peer could tell whether the endpoint
// or this instance's own link is at fault.
var ErrUnconfirmed = errors.New("unconfirmed by any peer")

// ErrLate means that a connection did not come up in time while this instance was late itself. It says
// nothing about the endpoint.
var ErrLate = errors.New("this instance is late itself")

// ErrSilent means that no connection came up in time and nothing said why. The endpoint may go on a moment later.
var ErrSilent = errors.New("no connection in time")

// ErrThroughPeer marks failures of a connection that a peer carried.
var ErrThroughPeer = errors.New("through a peer")

// Message is one request to an endpoint.
type Message struct {
	Address    netip.AddrPort
	EndpointID string // of the endpoint's incarnation; connections are reused only for the same ID
	Method     string
	Target     string // path and query, exactly as the caller sent them
	Host       string
	Header     http.Header
	Body       []byte
	// HasBody distinguishes an empty body from none.
	HasBody bool
	// MaxIdle is the longest time that a reused connection may have been idle; 0: only a new one is used.
	MaxIdle time.Duration
	// Request is the ID of the caller's request, for the log lines of a peer that carries the
	// connection.
	Request string
	// Again says that the endpoint was sent this request before. A connection that has carried it is not
	// used: responses are matched by ID, and a second one to the earlier send, which may come late, would be
	// taken for that to this one.
	Again bool
}

// Exchange is a request whose response is being read.
type Exchange struct {
	Response   *http.Response
	pool       *Pool
	conn       *conn
	stopCancel func() bool
	writeDone  chan error
	closed     bool
}

// Do sends m and reads responses until accept takes one; responses that it rejects belong
// to earlier requests and are skipped. When ctx ends, the connection is closed, which makes
// the endpoint stop; nothing is sent any more if it has ended before.
func (p *Pool) Do(ctx context.Context, m Message, accept func(*http.Response) bool) (*Exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, Error.Wrap(errors.Join(ErrNotSent, err))
	}
	c, err := p.get(ctx, m)
	if err != nil {
		return nil, Error.Wrap(errors.Join(ErrNotSent, err))
	}
	if err := ctx.Err(); err != nil {
		_ = c.Close() // fails only if it is closed
		return nil, Error.Wrap(errors.Join(ErrNotSent, err))
	}
	c.carry(m.Request)
	e := &Exchange{pool: p, conn: c, writeDone: make(chan error, 1)}
	e.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := e.send(m); err != nil {
		return nil, e.failed(err)
	}
	if err := e.receive(m.Method, accept); err != nil {
		return nil, e.failed(errors.Join(ErrNoResponse, err))
	}
	return e, nil
}

// failed closes the exchange and returns its error.
func (e *Exchange) failed(err error) error {
	e.Close(false)
	if e.Peer() != "" {
		err = errors.Join(err, ErrThroughPeer)
	}
	return Error.Wrap(err)
}

// send writes the head and up to maxFirstWrite bytes of the body in one call. The rest of a
// longer body is written concurrently, because an endpoint may respond before it has read
// the whole body.
func (e *Exchange) send(m Message) error {
	packet := append(encodeHead(m), m.Body[:min(len(m.Body), maxFirstWrite)]...)
	n, err := e.conn.Write(packet)
	if err != nil && n == 0 {
		return errors.Join(ErrNotSent, err)
	}
	if err != nil {
		return errors.Join(ErrNoResponse, err)
	}
	rest := m.Body[min(len(m.Body), maxFirstWrite):]
	if len(rest) == 0 {
		e.writeDone <- nil
		return nil
	}
	go func() {
		_, err := e.conn.Write(rest)
		e.writeDone <- err
	}()
	return nil
}

// maxFirstWrite bounds the part of a body that is written before waiting for the response;
// it fits into a small initial TCP window.
const maxFirstWrite = 8 << 10

func encodeHead(m Message) []byte {
	b := make([]byte, 0, 1024+min(len(m.Body), maxFirstWrite))
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, m.Host...)
	b = append(b, "\r\n"...)
	for name, values := range m.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if m.HasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// receive reads responses until accept takes one.
func (e *Exchange) receive(method string, accept func(*http.Response) bool) error {
	request := &http.Request{Method: method}
	for left := maxSkippedBytes; ; {
		resp, err := e.readHead(request) //nolint:bodyclose // Exchange.Close closes the connection, or reuses it once the body was read
		if err != nil {
			return err
		}
		if accept(resp) {
			e.Response = resp
			return nil
		}
		e.pool.scope.Counter("uplink_foreign_answers").Inc(1)
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return errors.New("a response to another request has no length")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, int64(left)))
		if err != nil {
			return err
		}
		if left -= MaxHeadBytes + int(n); left <= 0 {
			return errManySkipped
		}
	}
}

// maxSkippedBytes bounds the responses to other requests that are skipped. Each of them counts with MaxHeadBytes and
// its body.
const maxSkippedBytes = 1 << 20

// errManySkipped is the error of a request in front of whose response more than maxSkippedBytes came.
var errManySkipped = Error.New("responses to other requests exceed %d bytes", maxSkippedBytes)

// readHead reads interim responses and then the head of a final one.
func (e *Exchange) readHead(request *http.Request) (*http.Response, error) {
	if err := e.conn.beginHead(); err != nil {
		return nil, err
	}
	defer e.conn.head.end()
	for {
		resp, err := http.ReadResponse(e.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if err := response.Check(resp); err != nil {
			return nil, err
		}
		e.pool.OnResponse(e.conn.key.endpointID, resp)
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Peer returns the name of the instance that carries the connection, or "" if it is this
// instance's own.
func (e *Exchange) Peer() string { return e.conn.peer }

// ConnectTime returns how long it took to open the connection, if it was opened for this
// exchange.
func (e *Exchange) ConnectTime() time.Duration { return e.conn.connectTime }

// EndsWithConnection reports whether the body has neither a length nor chunks, so that an orderly
// close of the connection ends it.
func (e *Exchange) EndsWithConnection() bool {
	return e.Response.ContentLength < 0 && len(e.Response.TransferEncoding) == 0
}

// Close ends the exchange. The connection is reused only if whole is true, the request was
// written completely, the response had a defined end, nothing came after it, and the endpoint
// did not ask to close the connection.
func (e *Exchange) Close(whole bool) {
	if e.closed {
		return
	}
	e.closed = true
	alive := e.stopCancel()
	if !whole || !alive || !e.reusable() {
		_ = e.conn.Close()
		return
	}
	if e.conn.finish != nil {
		e.conn.finish()
		return
	}
	e.conn.maxIdle = maxIdleOf(e.Response.Header.Get("Keep-Alive"))
	e.pool.put(e.conn)
}

const (
	// maxDiscardedBytes and discardTimeout bound the rest of a body that is read only for the sake of its connection.
	maxDiscardedBytes = 16 << 10
	discardTimeout    = 50 * time.Millisecond
)

// Discard ends an exchange whose body is of no use. The connection is reused as by Close if the rest of the body is
// short and arrives at once.
func (e *Exchange) Discard() { e.Close(e.discardBody()) }

func (e *Exchange) discardBody() bool {
	if e.EndsWithConnection() || e.conn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(e.Response.Body, maxDiscardedBytes+1))
	return err == nil && n <= maxDiscardedBytes && e.conn.SetReadDeadline(time.Time{}) == nil
}

func (e *Exchange) reusable() bool {
	r := e.Response
	if r == nil || r.Close || e.EndsWithConnection() || e.conn.reader.Buffered() > 0 {
		return false // or part of a second response was read, whose rest may be still to come
	}
	select {
	case err := <-e.writeDone:
		return err == nil
	default:
		return false // the endpoint responded before it had read the whole body
	}
}

// maxIdleOf returns how long a connection may stay idle, given a Keep-Alive header.
func maxIdleOf(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil {
			return time.Duration(keepAliveRatio * float64(time.Duration(seconds)*time.Second))
		}
	}
	return defaultMaxIdle
}
