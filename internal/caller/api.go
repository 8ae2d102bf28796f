// Package caller implements the HTTP API for callers: OpenAI-compatible completions,
// as one response or as server-sent events, and requests to plain services.
package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/entry"
	"github.com/trailshed/trailshed/internal/settings"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Names of request and response headers.
const (
	headerKind    = "Trailshed-Kind"
	headerRequest = "Trailshed-Request"
	headerKey     = "Idempotency-Key"
	// headerNotReady marks responses of a process that has no configuration yet.
	headerNotReady = "Trailshed-Not-Ready"
)

// API is the HTTP API for callers.
type API struct {
	settings settings.Callers
	entry    *entry.Entry
	catalog  func() *catalog.Catalog
	now      func() clock.Millis
	ready    func() bool
	scope    tally.Scope
}

// New returns the API; ready reports whether this process may serve requests.
func New(
	s settings.Callers, e *entry.Entry, c func() *catalog.Catalog,
	now func() clock.Millis, ready func() bool, scope tally.Scope,
) *API {
	return &API{settings: s, entry: e, catalog: c, now: now, ready: ready, scope: scope}
}

// Handler returns the handler of all routes.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/completions", a.completions)
	r.Post("/v1/chat/completions", a.chat)
	r.HandleFunc("/v1/services/{name}/*", a.service)
	r.HandleFunc("/v1/services/{name}", a.service)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		newProblem(http.StatusNotFound, "not_found", "path", "There is nothing at "+r.URL.Path+".").write(w)
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		newProblem(http.StatusMethodNotAllowed, "method_not_allowed", "method", "This path takes no "+r.Method+".").write(w)
	})
	return r
}

// readRequest authenticates the caller and reads the body.
func (a *API) readRequest(w http.ResponseWriter, r *http.Request) (entry.Request, []byte, *problem) {
	req := entry.Request{ID: uuid.NewString(), Arrived: a.now(), Key: r.Header.Get(headerKey)}
	w.Header().Set(headerRequest, req.ID)
	if !a.ready() {
		p := newProblem(http.StatusServiceUnavailable, "not_ready", "", "This process has no configuration yet.")
		p.RetryAfter = notReadyRetry.Milliseconds()
		w.Header().Set(headerNotReady, "1")
		return req, nil, p
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	req.Workspace, _ = a.catalog().WorkspaceOf(hex.EncodeToString(sum[:]))
	if !ok || req.Workspace == "" {
		return req, nil, newProblem(http.StatusUnauthorized, "unknown_key", "Authorization", "A known bearer key must be given.")
	}
	stop := context.AfterFunc(r.Context(), func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection; the read reports that
	})
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(a.settings.BodyLimit)))
	stop()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return req, nil, newProblem(http.StatusRequestEntityTooLarge, "body_too_large", "body", "The body is over the limit.")
	}
	if errors.Is(context.Cause(r.Context()), entry.ErrLeaving) {
		return req, nil, outcomeProblem(entry.LeavingOutcome())
	}
	if err != nil {
		return req, nil, newProblem(http.StatusBadRequest, "body_unreadable", "body", "The body did not arrive whole.")
	}
	req.Digest = xxhash.Sum64(body)
	return req, body, nil
}

// checkKind checks that the kind exists, that the model or service serves it and that
// the idempotency key is present if the kind requires one.
func (a *API) checkKind(req *entry.Request, name, serves, field string) *problem {
	kind, ok := a.catalog().Kinds[name]
	if !ok {
		return newProblem(http.StatusBadRequest, "unknown_kind", headerKind, "The kind "+quoted(name)+" does not exist.")
	}
	if kind.Serves != serves {
		return newProblem(http.StatusBadRequest, "kind_mismatch", field, "The kind "+quoted(name)+" is not served by "+quoted(serves)+".")
	}
	if kind.Repeat == catalog.RepeatNever && kind.KeyRequired && req.Key == "" {
		return newProblem(http.StatusBadRequest, "key_required", headerKey, "This kind may not be repeated and needs an idempotency key.")
	}
	req.Kind = name
	return nil
}

func quoted(s string) string { return "\"" + s + "\"" }
