// Package route holds the operators' routing table: which pools of endpoints
// serve a request, how often it may be sent and how long it may take. A Table
// is immutable; a new version of the configuration makes a new one.
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

// Kind says what may be repeated on a route.
type Kind int

// The kinds of route.
const (
	NonIdempotent Kind = iota // runs at most once; the safe choice for kinds we do not know
	Idempotent                // may run more than once
	Streaming                 // answers with events; repeatable only if Resumable
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int // relative to the other shares of the route
}

// Route is one rule of the table.
type Route struct {
	Name      string
	Host      string // without port, in lower case
	Prefix    string // path prefix, begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // longest time a request may be held
	Target    time.Duration // answers (first events of streams) within it are in time
	GapTarget time.Duration // longest pause between events that is still in time
	Attempts  int           // most endpoints that may run one request
	Priority  int           // 0 is the most urgent
	Resumable bool          // a stream may go on at another endpoint
	Open      bool          // requests need no key
	Regions   []string      // where requests may be served; none: anywhere
	Shares    []Share
}

// Repeatable says whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service picks the service for a request by its id, in proportion to the
// shares, so that every attempt and every instance picks alike.
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

// Engine is what a service of model engines can do.
type Engine struct {
	Slots        int           // requests in one batch
	KVTokens     int           // memory of one endpoint, in tokens
	KVTokenBytes int           // bytes of one token's KV cache
	HandleLife   time.Duration // how long a finished prefill is kept for its decode
	EventTokens  int           // tokens of an answer in one event; 0 if it is not told
	SwitchTime   time.Duration // how long a change of stage takes; 0 if it is not told
}

// switchUnknown is assumed of engines whose service does not tell how long a
// change of stage takes; too short, and an engine is given work that it must
// turn away.
const switchUnknown = 6 * time.Second

// Switch is how long a change of stage takes.
func (e *Engine) Switch() time.Duration {
	if e.SwitchTime > 0 {
		return e.SwitchTime
	}
	return switchUnknown
}

// Service is a set of alike endpoints.
type Service struct {
	Name          string
	ConnectionCap int     // connections that one endpoint takes from all callers
	ColdRate      float64 // requests a second that a cold endpoint takes from all instances; 0: no limit
	Engine        *Engine // nil for plain services
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the configuration as the operators wrote it.
type Document struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Limits     Limits
	Keyed      bool // requests need a key, though no workspace may be there to have one
	Workspaces []Workspace
}

// Table is a checked Document, indexed for Match and Workspace.
type Table struct {
	Version    int64
	Limits     Limits
	document   Document
	routes     map[string]map[string]*Route // host, prefix
	services   map[string]*Service
	workspaces map[Key]*Workspace
}

// NewTable checks d and indexes it. Errors name the route and what is wrong.
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
			return nil, Error.New("service %q: rate of a cold endpoint %v must not be below nothing", s.Name, s.ColdRate)
		}
		t.services[s.Name] = s
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := t.add(r); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Table) add(r *Route) error {
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

// Match returns the route of host with the longest prefix of path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	byPrefix := t.routes[strings.ToLower(host)]
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

// Service returns the service called name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services are all services; they must not be changed.
func (t *Table) Services() []Service { return t.document.Services }

// Document returns what the table was made of; it must not be changed.
func (t *Table) Document() Document { return t.document }

// Len is the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, byPrefix := range t.routes {
		n += len(byPrefix)
	}
	return n
}
