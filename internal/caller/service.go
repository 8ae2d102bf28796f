package caller

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/internal/entry"
)

// hopHeaders are headers that apply to a single connection or only to this API. They
// are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Content-Length",
}

// service forwards a request to a plain service and writes its answer.
func (a *API) service(w http.ResponseWriter, r *http.Request) {
	req, body, p := a.readRequest(w, r)
	if p != nil {
		p.write(w)
		return
	}
	name := chi.URLParam(r, "name")
	if !a.isServed(name) {
		newProblem(http.StatusNotFound, "unknown_service", "path", "The service "+quoted(name)+" does not exist.").write(w)
		return
	}
	if p := a.checkKind(&req, r.Header.Get(headerKind), name, "path"); p != nil {
		p.write(w)
		return
	}
	req.Method, req.Body, req.Header = r.Method, body, endToEndHeaders(r.Header)
	req.Path = servicePath(r.URL)
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	end := a.entry.KeepAnswer(req.ID, req.Kind)
	answer, o := a.entry.Call(r.Context(), req)
	end(answer, o.Result == entry.Answered)
	if o.EarlierClaim != nil {
		if kept, ok := a.entry.KeptAnswer(r.Context(), *o.EarlierClaim); ok {
			answer, o = kept, entry.Outcome{Result: entry.Answered}
		}
	}
	switch o.Result {
	case entry.CallerGone:
		endConnection()
	case entry.Answered:
		writeAnswer(w, answer)
	default:
		outcomeProblem(o).write(w)
	}
}

// servicePath returns the part of a path after /v1/services/NAME/, with its escapes.
func servicePath(u *url.URL) string {
	parts := strings.SplitN(u.EscapedPath(), "/", 5)
	if len(parts) < 5 {
		return ""
	}
	return parts[4]
}

// endConnection ends the handler of a request that is not answered. The server would complete the
// response if the handler returned: with an empty 200 if nothing was written.
func endConnection() { panic(http.ErrAbortHandler) }

// endToEndHeaders returns the headers without hopHeaders.
func endToEndHeaders(h http.Header) http.Header {
	h = h.Clone()
	for _, name := range hopHeaders {
		h.Del(name)
	}
	return h
}

func writeAnswer(w http.ResponseWriter, a endpoint.Response) {
	for name, values := range endToEndHeaders(a.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
