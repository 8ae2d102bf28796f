package catalog

import (
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// Field is one property of an aggregate as operators write and read it.
type Field struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// aggregate is one named thing that operators configure. Each keeps its own
// rules: set parses one field, check looks at the whole.
type aggregate interface {
	set(field, value string) error
	fields() []Field
	check(c *Catalog) error
}

// The nouns of the aggregates.
const (
	NounZone      = "zone"
	NounClass     = "class"
	NounWorkspace = "workspace"
	NounKind      = "kind"
	NounPool      = "pool"
	NounEndpoint  = "endpoint"
)

// Nouns lists all nouns, those that others refer to first.
func Nouns() []string {
	return []string{NounZone, NounClass, NounWorkspace, NounKind, NounPool, NounEndpoint}
}

// newAggregate returns an empty aggregate with its defaults; nil for an
// unknown noun.
func newAggregate(noun string) aggregate {
	switch noun {
	case NounZone:
		return &Zone{}
	case NounClass:
		return &Class{Rank: 1, TTFT: 1500 * time.Millisecond, TBT: 49 * time.Millisecond}
	case NounWorkspace:
		return &Workspace{Weight: 1}
	case NounKind:
		return &Kind{Weight: 1, Repeat: RepeatAllowed, KeyRequired: true, Window: 10 * time.Minute}
	case NounPool:
		return &Pool{State: PoolRunning}
	case NounEndpoint:
		return &Endpoint{State: EndpointServing, Slots: 20, Link: 100_000, FenceChecked: true}
	default:
		return nil
	}
}

func unknownField(name string) error { return Error.New("unknown field %q", name) }

func parseInto[T any](into *T, parse func(string) (T, error), value string) error {
	v, err := parse(value)
	if err != nil {
		return Error.New("value %q: %v", value, err)
	}
	*into = v
	return nil
}

func parseFloat(s string) (float64, error) { return strconv.ParseFloat(s, 64) }

func parseEnum(allowed ...string) func(string) (string, error) {
	return func(s string) (string, error) {
		if !slices.Contains(allowed, s) {
			return "", Error.New("must be one of %v", allowed)
		}
		return s, nil
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// Zone is an availability zone.
type Zone struct{}

func (z *Zone) set(field, _ string) error { return unknownField(field) }

func (z *Zone) fields() []Field { return nil }

func (z *Zone) check(*Catalog) error { return nil }

// Class is a priority that workspaces pay for.
type Class struct {
	Rank  int           // 0 is served first
	TTFT  time.Duration // target of the time to the first token
	TBT   time.Duration // target of the time between tokens
	Share float64       // least part of the granted work while it has any waiting
}

func (c *Class) set(field, value string) error {
	switch field {
	case "rank":
		return parseInto(&c.Rank, strconv.Atoi, value)
	case "ttft":
		return parseInto(&c.TTFT, time.ParseDuration, value)
	case "tbt":
		return parseInto(&c.TBT, time.ParseDuration, value)
	case "share":
		return parseInto(&c.Share, parseFloat, value)
	default:
		return unknownField(field)
	}
}

func (c *Class) fields() []Field {
	return []Field{
		{"rank", strconv.Itoa(c.Rank)},
		{"ttft", c.TTFT.String()},
		{"tbt", c.TBT.String()},
		{"share", formatFloat(c.Share)},
	}
}

func (c *Class) check(all *Catalog) error {
	if c.Rank < 0 || c.TTFT <= 0 || c.TBT <= 0 {
		return Error.New("rank must not be negative, ttft and tbt must be positive")
	}
	total := 0.0
	for _, other := range all.Classes {
		total += other.Share
	}
	if c.Share < 0 || total > 1 {
		return Error.New("shares must not be negative and must add up to at most 1")
	}
	return nil
}

// Workspace is a customer.
type Workspace struct {
	Class   string
	Weight  float64 // fair share within the class
	KeyHash string  // SHA-256 of the bearer key, in hex
	Running int     // most requests at a time on one entry; 0 means no limit
}

func (w *Workspace) set(field, value string) error {
	switch field {
	case "class":
		w.Class = value
	case "weight":
		return parseInto(&w.Weight, parseFloat, value)
	case "key_hash":
		w.KeyHash = value
	case "running":
		return parseInto(&w.Running, strconv.Atoi, value)
	default:
		return unknownField(field)
	}
	return nil
}

func (w *Workspace) fields() []Field {
	return []Field{
		{"class", w.Class},
		{"weight", formatFloat(w.Weight)},
		{"key_hash", w.KeyHash},
		{"running", strconv.Itoa(w.Running)},
	}
}

func (w *Workspace) check(all *Catalog) error {
	if _, ok := all.Classes[w.Class]; !ok {
		return Error.New("class %q does not exist", w.Class)
	}
	if w.Weight <= 0 || w.Running < 0 {
		return Error.New("weight must be positive, running must not be negative")
	}
	return nil
}

// The repeat rules of a kind.
const (
	RepeatAllowed = "allowed"
	RepeatNever   = "never"
)

// Kind is a sort of request with its agreed weight and repeat rule.
type Kind struct {
	Serves      string  // model or plain service that answers it
	Weight      float64 // cost of a unit of its work in the fair share
	Repeat      string
	KeyRequired bool          // whether a caller must give an idempotency key
	Window      time.Duration // how long a key is remembered
}

func (k *Kind) set(field, value string) error {
	switch field {
	case "serves":
		k.Serves = value
	case "weight":
		return parseInto(&k.Weight, parseFloat, value)
	case "repeat":
		return parseInto(&k.Repeat, parseEnum(RepeatAllowed, RepeatNever), value)
	case "key_required":
		return parseInto(&k.KeyRequired, strconv.ParseBool, value)
	case "window":
		return parseInto(&k.Window, time.ParseDuration, value)
	default:
		return unknownField(field)
	}
	return nil
}

func (k *Kind) fields() []Field {
	return []Field{
		{"serves", k.Serves},
		{"weight", formatFloat(k.Weight)},
		{"repeat", k.Repeat},
		{"key_required", strconv.FormatBool(k.KeyRequired)},
		{"window", k.Window.String()},
	}
}

func (k *Kind) check(*Catalog) error {
	if k.Serves == "" || k.Weight <= 0 || k.Window <= 0 {
		return Error.New("serves must be given, weight and window must be positive")
	}
	return nil
}

// The roles of a pool.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleService = "service"
)

// The states of a pool.
const (
	PoolRunning = "running"
	PoolStopped = "stopped"
)

// Pool is a set of endpoints in one zone with one role.
type Pool struct {
	Zone   string
	Role   string
	Serves string // model or plain service
	State  string
}

func (p *Pool) set(field, value string) error {
	switch field {
	case "zone":
		p.Zone = value
	case "role":
		return parseInto(&p.Role, parseEnum(RolePrefill, RoleDecode, RoleService), value)
	case "serves":
		p.Serves = value
	case "state":
		return parseInto(&p.State, parseEnum(PoolRunning, PoolStopped), value)
	default:
		return unknownField(field)
	}
	return nil
}

func (p *Pool) fields() []Field {
	return []Field{{"zone", p.Zone}, {"role", p.Role}, {"serves", p.Serves}, {"state", p.State}}
}

func (p *Pool) check(all *Catalog) error {
	if _, ok := all.Zones[p.Zone]; !ok {
		return Error.New("zone %q does not exist", p.Zone)
	}
	if p.Role == "" || p.Serves == "" {
		return Error.New("role and serves must be given")
	}
	return nil
}

// The states of an endpoint.
const (
	EndpointServing  = "serving"
	EndpointDraining = "draining"
)

// Endpoint is one model engine or one instance of a plain service.
type Endpoint struct {
	Pool         string
	Address      netip.AddrPort
	Slots        int // requests that its memory holds
	Link         int // KV transfer speed in tokens a second
	State        string
	FenceChecked bool // whether it refuses orders with an old fence
}

func (e *Endpoint) set(field, value string) error {
	switch field {
	case "pool":
		e.Pool = value
	case "address":
		return parseInto(&e.Address, netip.ParseAddrPort, value)
	case "slots":
		return parseInto(&e.Slots, strconv.Atoi, value)
	case "link":
		return parseInto(&e.Link, strconv.Atoi, value)
	case "state":
		return parseInto(&e.State, parseEnum(EndpointServing, EndpointDraining), value)
	case "fence_checked":
		return parseInto(&e.FenceChecked, strconv.ParseBool, value)
	default:
		return unknownField(field)
	}
	return nil
}

func (e *Endpoint) fields() []Field {
	return []Field{
		{"pool", e.Pool},
		{"address", e.Address.String()},
		{"slots", strconv.Itoa(e.Slots)},
		{"link", strconv.Itoa(e.Link)},
		{"state", e.State},
		{"fence_checked", strconv.FormatBool(e.FenceChecked)},
	}
}

func (e *Endpoint) check(all *Catalog) error {
	if _, ok := all.Pools[e.Pool]; !ok {
		return Error.New("pool %q does not exist", e.Pool)
	}
	if !e.Address.IsValid() || e.Slots <= 0 || e.Link <= 0 {
		return Error.New("address must be given, slots and link must be positive")
	}
	return nil
}
