// Package counter sets up the process's metrics: tally scopes that are exported by
// a Prometheus handler.
package counter

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often values are reported to the Prometheus handler.
const reportInterval = time.Second

// Registry is the root scope with the HTTP handler that exports it.
type Registry struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// Open returns a registry whose metrics carry the given tags.
func Open(tags map[string]string) *Registry {
	registry := prom.NewRegistry() // not the global one, as tests run several nodes in a process
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(error) {}, // a metric that cannot be registered is ignored
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "trailshed", Tags: tags, CachedReporter: reporter,
		Separator: prometheus.DefaultSeparator, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the remaining values and stops reporting.
func (r *Registry) Close() error { return r.closer.Close() }
