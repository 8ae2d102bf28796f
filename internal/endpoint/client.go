// Package endpoint is the client of model engines and plain services. No other package
// knows their wire format, which is the one of the stand-ins.
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/attempts"
	"github.com/trailshed/trailshed/internal/notice"
	"github.com/trailshed/trailshed/internal/response"
)

// Error marks every error of this package.
var Error = errs.Class("endpoint")

var (
	// ErrNotRun means that no byte of the request reached the endpoint, or that the
	// endpoint itself reported that it did not run the request.
	ErrNotRun = errors.New("not run")
	// ErrMayHaveRun means that the endpoint may have run the request.
	ErrMayHaveRun = errors.New("may have run")
	// ErrRejected means that the endpoint answered with a rejection and did not state whether it
	// ran the request. It comes with ErrMayHaveRun.
	ErrRejected = errors.New("rejected")
	// ErrDeclined means that the rejection is an application's, as it answers to some of its callers:
	// other endpoints would answer the same. It comes with ErrRejected.
	ErrDeclined = errors.New("declined")
	// ErrTruncated means that a stream ended before its last line.
	ErrTruncated = errors.New("incomplete response")
)

const (
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 30 * time.Second
	controlTimeout = time.Second
	maxIdlePerHost = 64
)

const (
	// headerLeaving is set in all responses of an endpoint that is leaving.
	headerLeaving = "Leaving"
	// headerLimit is set in all responses of an endpoint that accepts only so many requests
	// per second from all processes together.
	headerLimit = "Limit"
	// headerNotRun is set in the rejection of a request that the endpoint did not run.
	headerNotRun = "Not-Run"
)

// Client calls endpoints over HTTP.
type Client struct {
	// OnNotice is called with the notice in the header of each response. good reports
	// whether the response was successful; sent is when the request was sent.
	OnNotice func(at netip.AddrPort, n notice.Notice, good bool, sent time.Time)

	// Dial opens a connection to an endpoint. Ended reports
	// whether the endpoint's process has ended. Both may be replaced before the first call.
	Dial  func(ctx context.Context, at netip.AddrPort) (net.Conn, error)
	Ended func(ctx context.Context, at netip.AddrPort) bool

	pooled *http.Client // reuses connections
	// unpooled opens a connection for each call. net/http repeats no request on a new connection.
	unpooled *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &Client{OnNotice: func(netip.AddrPort, notice.Notice, bool, time.Time) {}}
	c.Dial = func(ctx context.Context, at netip.AddrPort) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", at.String())
	}
	c.Ended = c.refuses
	dialEndpoint := func(ctx context.Context, _, address string) (net.Conn, error) {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		inner, err := c.Dial(ctx, at)
		if err != nil {
			return nil, err
		}
		return newConn(inner), nil
	}
	c.pooled = c.newHTTPClient(&http.Transport{
		DialContext: dialEndpoint, MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	})
	c.unpooled = c.newHTTPClient(&http.Transport{
		DialContext: dialEndpoint, DisableKeepAlives: true, DisableCompression: true,
	})
	return c
}

// newHTTPClient returns a client that takes redirects for answers. To follow one is to send the
// request again.
func (c *Client) newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     noticeTransport{c, response.Transport{Transport: t}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// noticeTransport is a RoundTripper that reports the notice in each response.
type noticeTransport struct {
	client    *Client
	transport http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t noticeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	sent := time.Now()
	resp, err := t.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if at, err := netip.ParseAddrPort(r.URL.Host); err == nil { // the host is always an address
		t.client.OnNotice(at, readNotice(resp), resp.StatusCode < http.StatusMultipleChoices, sent)
	}
	return resp, nil
}

// readNotice reads what an endpoint says of itself. An application may answer 429 to one of its users:
// only with the endpoint's mark is the delay one that the endpoint asks for.
func readNotice(r *http.Response) notice.Notice {
	n := notice.Notice{Leaving: r.Header.Get(headerLeaving) == "1", Limit: notice.ParseLimit(r.Header.Get(headerLimit))}
	if r.StatusCode == http.StatusServiceUnavailable || isMarkedNotRun(r) {
		n.Backoff = notice.ParseRetryAfter(r.Header)
	}
	return n
}

// refuses reports whether the endpoint's host refuses connections to its port. A host that does
// not respond proves nothing.
func (c *Client) refuses(ctx context.Context, at netip.AddrPort) bool {
	conn, err := c.Dial(ctx, at)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // nothing was sent on it
	return false
}

// Prefill computes a KV cache. It returns when the cache is ready.
func (c *Client) Prefill(ctx context.Context, to netip.AddrPort, p PrefillRequest) (PrefillResult, error) {
	var r PrefillResult
	resp, err := c.post(ctx, c.pooled, to, "/prefill", p)
	if err != nil {
		return r, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return r, wrapError(ErrMayHaveRun, err)
	}
	return r, nil
}

// Decode generates tokens and calls token for each of them in order. It returns when the
// response is complete, and ErrTruncated if the stream breaks off before that.
func (c *Client) Decode(ctx context.Context, to netip.AddrPort, d DecodeRequest, token func(Token) error) error {
	resp, err := c.post(ctx, c.pooled, to, "/decode", d)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return readTokens(resp.Body, d.Offset, token)
}

// readTokens passes on each index once and in order. It drops a line that repeats an index;
// a gap or a missing last line makes the stream truncated.
func readTokens(r io.Reader, next int, token func(Token) error) error {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var t Token
		if err := json.Unmarshal(lines.Bytes(), &t); err != nil {
			return wrapError(ErrTruncated, err)
		}
		if t.Done {
			if t.Total != next {
				return wrapError(ErrTruncated, fmt.Errorf("%d tokens of %d", next, t.Total))
			}
			return token(t)
		}
		if t.Index < next {
			continue
		}
		if t.Index > next {
			return wrapError(ErrTruncated, fmt.Errorf("token %d follows %d", t.Index, next-1))
		}
		if err := token(t); err != nil {
			return err
		}
		next++
	}
	return wrapError(ErrTruncated, errors.Join(lines.Err(), io.ErrUnexpectedEOF))
}

// Cancel frees what the endpoint holds for an attempt. known is false if it holds nothing,
// possibly because the attempt has not arrived yet.
func (c *Client) Cancel(ctx context.Context, to netip.AddrPort, attempt string) (known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := c.post(ctx, c.pooled, to, "/cancel", HeldAttempt{Attempt: attempt})
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Known bool `json:"known"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Known, Error.Wrap(err)
}

// Report fetches the endpoint's held attempts, its load, and the cache events after the
// given sequence number.
func (c *Client) Report(ctx context.Context, to netip.AddrPort, after int64) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var r Report
	url := "http://" + to.String() + "/report?after=" + strconv.FormatInt(after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return r, Error.Wrap(err)
	}
	resp, err := send(c.pooled, req)
	if err != nil {
		return r, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return r, Error.Wrap(statusError(resp))
	}
	return r, Error.Wrap(json.NewDecoder(resp.Body).Decode(&r))
}

// Order sends a fenced order to an endpoint.
func (c *Client) Order(ctx context.Context, to netip.AddrPort, o Order) error {
	resp, err := c.post(ctx, c.pooled, to, "/order", o)
	if err != nil {
		return err
	}
	return Error.Wrap(resp.Body.Close())
}

// Call is one request to a plain service.
type Call struct {
	Attempt    string
	Method     string
	Path       string // relative to the service's root, with the query
	Header     http.Header
	Body       []byte
	AtMostOnce bool // the call must not be repeated
}

// Response is a plain service's complete response.
type Response struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// Rejects reports whether the response must not be passed on to a caller: its status means there
// that the request did not run.
func (r Response) Rejects() bool { return attempts.PromisesNotRun(r.Status) }

// Call sends a request to a plain service and reads the whole response. A call that must
// not be repeated is sent once, on a connection of its own. A rejection is an error.
func (c *Client) Call(ctx context.Context, to netip.AddrPort, call Call) (Response, error) {
	url := "http://" + to.String() + "/call/" + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, wrapError(ErrNotRun, err)
	}
	req.Header = call.Header.Clone()
	req.Header.Set("X-Attempt", call.Attempt)
	client := c.pooled
	if call.AtMostOnce {
		client = c.unpooled
		req.GetBody = nil // net/http must not send it again
	}
	resp, err := send(client, req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, wrapError(ErrMayHaveRun, err)
	}
	answer := Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if answer.Rejects() {
		return Response{}, rejectionError(resp)
	}
	return answer, nil
}

func (c *Client) post(ctx context.Context, client *http.Client, to netip.AddrPort, path string, v any) (*http.Response, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, wrapError(ErrNotRun, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, wrapError(ErrNotRun, err)
	}
	resp, err := send(client, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, wrapError(ErrMayHaveRun, statusError(resp))
}

// statusError returns an error with the status and the beginning of the body of a response.
func statusError(r *http.Response) error {
	reason, _ := io.ReadAll(io.LimitReader(r.Body, 1024))
	return fmt.Errorf("%s: %s", r.Status, bytes.TrimSpace(reason))
}

// isMarkedNotRun reports whether a response is a rejection with the endpoint's own word that it did
// not run the request. A rejection without it says nothing: the endpoint may have run the request
// and have been rejected by another service.
func isMarkedNotRun(r *http.Response) bool {
	return attempts.PromisesNotRun(r.StatusCode) && r.Header.Get(headerNotRun) == "1"
}

// rejectionError returns the error of a rejection without the endpoint's mark.
func rejectionError(r *http.Response) error {
	cause := fmt.Errorf("%w: %s", ErrRejected, r.Status)
	if r.StatusCode == http.StatusRequestTimeout || r.StatusCode == http.StatusTooManyRequests {
		cause = errors.Join(ErrDeclined, cause)
	}
	return wrapError(ErrMayHaveRun, cause)
}

// send sends a request. Its error is ErrNotRun only with evidence of this very send: it was given
// no connection, so that nothing of it was written, or the endpoint marked its rejection. The error
// of net/http is no evidence: net/http repeats some requests by itself, and its last error may be
// the one of a later send.
func send(client *http.Client, r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	var last atomic.Pointer[conn] // nil if it was retired, so that nothing was written on it
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*conn)
		if ok && c.retired.Load() {
			c = nil
		}
		last.Store(c)
		if c != nil {
			c.expectResponse()
			connected.Store(true)
		}
	}}
	resp, err := client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil && last.Load() == nil {
		_ = resp.Body.Close()
		err = errors.New("response without a request")
	}
	switch {
	case err != nil && !connected.Load():
		return nil, wrapError(ErrNotRun, err)
	case err != nil:
		return nil, wrapError(ErrMayHaveRun, err)
	case !isMarkedNotRun(resp):
		return resp, nil
	default:
		defer func() { _ = resp.Body.Close() }()
		return nil, rejectedError(last.Load(), resp)
	}
}

// rejectedError returns the error of a marked rejection. Responses do not name their request, and an
// endpoint may reject one twice. So no request follows on the connection; if one was written
// already, its response is no evidence.
func rejectedError(used *conn, r *http.Response) error {
	if !used.retire() {
		return wrapError(ErrMayHaveRun, statusError(r))
	}
	return wrapError(ErrNotRun, statusError(r))
}

func wrapError(kind, cause error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", kind, cause))
}
