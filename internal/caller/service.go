package caller

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/internal/entry"
)

// hopHeaders concern one connection or ourselves and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Content-Length",
}

// service passes a request to a plain service and its answer back.
func (f *Front) service(w http.ResponseWriter, r *http.Request) {
	asked, body, p := f.begin(w, r)
	if p != nil {
		p.write(w)
		return
	}
	name := chi.URLParam(r, "name")
	if !f.serves(name) {
		bad(http.StatusNotFound, "unknown_service", "path", "The service "+quote(name)+" does not exist.").write(w)
		return
	}
	if p := f.checkKind(&asked, r.Header.Get(headerKind), name, "path"); p != nil {
		p.write(w)
		return
	}
	asked.Method, asked.Body, asked.Header = r.Method, body, passedOn(r.Header)
	asked.Path = chi.URLParam(r, "*")
	if r.URL.RawQuery != "" {
		asked.Path += "?" + r.URL.RawQuery
	}
	end := f.entry.Hold(asked.ID, asked.Kind)
	answer, o := f.entry.Call(r.Context(), asked)
	end(answer, o.Result == entry.Answered)
	if o.Taken != nil {
		if again, ok := f.entry.Held(r.Context(), *o.Taken); ok {
			answer, o = again, entry.Outcome{Result: entry.Answered}
		}
	}
	switch o.Result {
	case entry.CallerGone:
	case entry.Answered:
		writeAnswer(w, answer)
	default:
		problemOf(o).write(w)
	}
}

func passedOn(h http.Header) http.Header {
	h = h.Clone()
	for _, name := range hopHeaders {
		h.Del(name)
	}
	return h
}

func writeAnswer(w http.ResponseWriter, a endpoint.Answer) {
	for name, values := range passedOn(a.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
