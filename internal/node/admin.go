package node

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/changelog"
	"github.com/trailshed/trailshed/internal/query"
)

// Statement is the request body of an operator's statement.
type Statement struct {
	Text string `json:"statement"`
	Who  string `json:"who"`
	Base int64  `json:"base,omitempty"` // revision that a command is based on
}

// Failure is the response body of a statement that failed.
type Failure struct {
	Error string `json:"error"`
}

func (n *Node) adminHandler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/metrics", n.counters.Handler)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) })
	r.Get("/readyz", n.readyz)
	r.Post("/v1/statements", n.statement)
	return r
}

// readyz serves the readiness checks of the platform's load balancer.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !n.changes.Loaded():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func (n *Node) statement(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(token), []byte(n.settings.Admin.Token)) != 1 {
		fail(w, http.StatusUnauthorized, errors.New("the operators' token is missing or wrong"))
		return
	}
	var s Statement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&s); err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	table, err := n.executor.Execute(r.Context(), s.Text, s.Who, s.Base)
	if err != nil {
		fail(w, statusOf(err), err)
		return
	}
	_ = json.NewEncoder(w).Encode(table)
}

func statusOf(err error) int {
	var syntax *query.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return http.StatusBadRequest
	case errors.Is(err, changelog.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, changelog.ErrUnavailable):
		return http.StatusServiceUnavailable
	case catalog.Error.Has(err):
		return http.StatusUnprocessableEntity
	default:
		return http.StatusBadRequest
	}
}

func fail(w http.ResponseWriter, status int, err error) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Failure{Error: err.Error()})
}
