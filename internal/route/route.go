// Package route holds the operators' routing table: which services handle a request, how
// often it may be sent and how long it may take. A Table is immutable; each new version of
// the configuration creates a new one.
package route

import (
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error marks every error of this package.
var Error = errs.Class("route")

// Kind says whether requests of a route may be repeated.
type Kind int

// Kinds of routes.
const (
	NonIdempotent Kind = iota // may run at most once; the safe default for unknown kinds
	Idempotent                // may run more than once
	Streaming                 // the response is an event stream; repeatable only if Resumable
)

// Share is the share of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int // relative to the other shares of the route
}

// Route is one rule of the table.
type Route struct {
	Name      string
	Host      string // without port, in lower case
	Prefix    string // path prefix; begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // maximum time of a request
	Target    time.Duration // a response, or a stream's first event, within this time is in time
	GapTarget time.Duration // longest pause between events that is in time
	Attempts  int           // maximum number of endpoints that may run one request
	Priority  int           // 0 is the most urgent
	Resumable bool          // a stream may resume at another endpoint
	Open      bool          // requests need no key
	Regions   []string      // regions where requests may be served; empty: all
	Shares    []Share
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service selects the service for a request by the request's ID, in proportion to the
// shares, so that all attempts and all instances select the same one.
func (r *Route) Service(id string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int           // requests in one batch
	KVTokens     int           // KV memory of one endpoint, in tokens
	KVTokenBytes int           // size of one token's KV cache
	HandleLife   time.Duration // how long the KV cache of a finished prefill is kept for its decode
	EventTokens  int           // tokens per event of a response; 0 if unknown
	SwitchTime   time.Duration // duration of a change of stage; 0 if unknown
}

// defaultSwitchTime is the duration of a change of stage if the service states none. If it
// is too short, engines are assigned work that they must reject.
const defaultSwitchTime = 6 * time.Second

// StageChangeTime returns the duration of a change of stage.
func (e *Engine) StageChangeTime() time.Duration {
	if e.SwitchTime > 0 {
		return e.SwitchTime
	}
	return defaultSwitchTime
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name          string
	ConnectionCap int     // connections that one endpoint accepts from all callers
	ColdRate      float64 // requests per second that a cold endpoint accepts from all instances; 0: no limit
	Engine        *Engine // nil for plain services
}

// Limits bound the size and time of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the operators' configuration.
type Document struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Limits     Limits
	Keyed      bool // requests need an API key, even if no workspace is defined
	Workspaces []Workspace
}

// Table is a validated Document, indexed for Match and Workspace.
type Table struct {
	Version    int64
	Limits     Limits
	document   Document
	routes     map[string]map[string]*Route // by host, then prefix
	services   map[string]*Service
	workspaces map[Key]*Workspace
	buckets    [buckets]Bucket
}

// NewTable validates d and indexes it. Errors name the route, service or workspace and what
// is wrong with it.
func NewTable(d Document) (*Table, error) {
	if d.Version <= 0 {
		return nil, Error.New("version %d is not positive", d.Version)
	}
	t := &Table{
		Version: d.Version, Limits: d.Limits, document: d,
		routes: map[string]map[string]*Route{}, services: map[string]*Service{}, workspaces: map[Key]*Workspace{},
	}
	if err := t.addWorkspaces(d.Workspaces); err != nil {
		return nil, err
	}
	for i := range d.Services {
		s := &d.Services[i]
		if s.ColdRate < 0 || math.IsNaN(s.ColdRate) || math.IsInf(s.ColdRate, 0) {
			return nil, Error.New("service %q: rate of a cold endpoint %v must be finite and not negative", s.Name, s.ColdRate)
		}
		t.services[s.Name] = s
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := t.addRoute(r); err != nil {
			return nil, err
		}
	}
	t.fillBuckets()
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return Error.New("route %q: path prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Shares) == 0 {
		return Error.New("route %q: names no service", r.Name)
	}
	for _, s := range r.Shares {
		if t.services[s.Service] == nil {
			return Error.New("route %q: service %q does not exist", r.Name, s.Service)
		}
	}
	r.Host = strings.ToLower(r.Host)
	r.Attempts = max(r.Attempts, 1)
	byPrefix := t.routes[r.Host]
	if byPrefix == nil {
		byPrefix = map[string]*Route{}
		t.routes[r.Host] = byPrefix
	}
	byPrefix[r.Prefix] = r
	return nil
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	byPrefix := t.routes[hostName(host)]
	for end := len(path); end > 0 && byPrefix != nil; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r, ok := byPrefix[path[:end]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services, which must not be modified.
func (t *Table) Services() []Service { return t.document.Services }

// Document returns the document that the table was built from, which must not be modified.
func (t *Table) Document() Document { return t.document }

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, byPrefix := range t.routes {
		n += len(byPrefix)
	}
	return n
}
