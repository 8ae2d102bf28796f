// Package caller is the HTTP surface for callers: OpenAI-compatible completions,
// whole or as server-sent events, and plain services passed through.
package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/entry"
	"github.com/trailshed/trailshed/internal/settings"
	"github.com/trailshed/trailshed/pkg/clock"
)

// The headers of our own.
const (
	headerKind    = "Trailshed-Kind"
	headerRequest = "Trailshed-Request"
	headerKey     = "Idempotency-Key"
	// headerNotReady marks answers of a process without configuration.
	headerNotReady = "Trailshed-Not-Ready"
)

// Front is the HTTP surface.
type Front struct {
	settings settings.Callers
	entry    *entry.Entry
	catalog  func() *catalog.Catalog
	now      func() clock.Millis
	ready    func() bool
	scope    tally.Scope
}

// New returns the surface; ready says whether this process may serve.
func New(
	s settings.Callers, e *entry.Entry, c func() *catalog.Catalog,
	now func() clock.Millis, ready func() bool, scope tally.Scope,
) *Front {
	return &Front{settings: s, entry: e, catalog: c, now: now, ready: ready, scope: scope}
}

// Handler returns the routes.
func (f *Front) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/completions", f.completions)
	r.Post("/v1/chat/completions", f.chat)
	r.HandleFunc("/v1/services/{name}/*", f.service)
	r.HandleFunc("/v1/services/{name}", f.service)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		bad(http.StatusNotFound, "not_found", "path", "There is nothing at "+r.URL.Path+".").write(w)
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		bad(http.StatusMethodNotAllowed, "method_not_allowed", "method", "This path takes no "+r.Method+".").write(w)
	})
	return r
}

// begin authenticates a caller and reads the body.
func (f *Front) begin(w http.ResponseWriter, r *http.Request) (entry.Request, []byte, *problem) {
	asked := entry.Request{ID: uuid.NewString(), Arrived: f.now(), Key: r.Header.Get(headerKey)}
	w.Header().Set(headerRequest, asked.ID)
	if !f.ready() {
		p := bad(http.StatusServiceUnavailable, "not_ready", "", "This process has no configuration yet.")
		p.RetryAfter = notReadyRetry.Milliseconds()
		w.Header().Set(headerNotReady, "1")
		return asked, nil, p
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	asked.Workspace, _ = f.catalog().WorkspaceOf(hex.EncodeToString(sum[:]))
	if !ok || asked.Workspace == "" {
		return asked, nil, bad(http.StatusUnauthorized, "unknown_key", "Authorization", "A known bearer key must be given.")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(f.settings.BodyLimit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return asked, nil, bad(http.StatusRequestEntityTooLarge, "body_too_large", "body", "The body is over the limit.")
	}
	if err != nil {
		return asked, nil, bad(http.StatusBadRequest, "body_unreadable", "body", "The body did not arrive whole.")
	}
	asked.Digest = xxhash.Sum64(body)
	return asked, body, nil
}

// checkKind looks up the kind and what its repeat rule asks for.
func (f *Front) checkKind(asked *entry.Request, name, serves, field string) *problem {
	kind, ok := f.catalog().Kinds[name]
	if !ok {
		return bad(http.StatusBadRequest, "unknown_kind", headerKind, "The kind "+quote(name)+" does not exist.")
	}
	if kind.Serves != serves {
		return bad(http.StatusBadRequest, "kind_mismatch", field, "The kind "+quote(name)+" is not served by "+quote(serves)+".")
	}
	if kind.Repeat == catalog.RepeatNever && kind.KeyRequired && asked.Key == "" {
		return bad(http.StatusBadRequest, "key_required", headerKey, "This kind may not be repeated and needs an idempotency key.")
	}
	asked.Kind = name
	return nil
}

func quote(s string) string { return "\"" + s + "\"" }
