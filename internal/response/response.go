// Package response tells the responses of HTTP/1.1 from others that net/http takes for one.
package response

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/zeebo/errs"
	"golang.org/x/net/http/httpguts"
)

// Error marks the errors of responses that are none of HTTP/1.1.
var Error = errs.Class("response")

// maxStatus is the highest status of HTTP/1.1.
const maxStatus = 599

// Check returns nil if a response that net/http has parsed is an interim or a final one of HTTP/1.1, and else why not.
// net/http takes any three characters that strconv.Atoi reads for a status. No request asks for a change of protocols.
// It also takes names with blanks, and one that ends with a blank has another meaning than the one without: a length that
// is named so does not end the body.
func Check(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return Error.New("status %q", r.Status)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return Error.New("field name %q", name)
		}
	}
	return nil
}

// Transport is a RoundTripper for which a response that Check rejects is no response.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used = info.Conn }}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err //nolint:wrapcheck // as of the transport
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		_ = used.Close() // without a body, the connection is kept for the next request
		return nil, err
	}
	return resp, nil
}
