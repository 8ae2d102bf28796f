// Package counter opens the process's metrics: tally scopes that a Prometheus
// endpoint shows.
package counter

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often counters reach the Prometheus endpoint.
const reportInterval = time.Second

// Registry is the root scope with its endpoint.
type Registry struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// Open returns a registry whose metrics carry the given tags.
func Open(tags map[string]string) *Registry {
	registry := prom.NewRegistry() // one each, as tests run many nodes in a process
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(error) {}, // a metric that cannot be shown stops nothing
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "trailshed", Tags: tags, CachedReporter: reporter,
		Separator: prometheus.DefaultSeparator, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports what is left.
func (r *Registry) Close() error { return r.closer.Close() }
