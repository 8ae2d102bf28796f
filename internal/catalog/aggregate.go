package catalog

import (
	"slices"
	"strconv"
	"time"
)

// Field is one property of an aggregate in the text form that operators use.
type Field struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// aggregate is a named configuration object, such as a zone or a pool. set
// parses and stores one field; check validates the object within the catalog.
type aggregate interface {
	set(field, value string) error
	fields() []Field
	check(c *Catalog) error
}

// The types of aggregates, as changes name them.
const (
	NounZone      = "zone"
	NounClass     = "class"
	NounWorkspace = "workspace"
	NounKind      = "kind"
	NounPool      = "pool"
	NounEndpoint  = "endpoint"
)

// Nouns returns all nouns in dependency order: each follows the nouns that its
// aggregates refer to.
func Nouns() []string {
	return []string{NounZone, NounClass, NounWorkspace, NounKind, NounPool, NounEndpoint}
}

// newAggregate returns an aggregate with default values, or nil if the noun is
// unknown.
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
		return &Endpoint{State: EndpointServing, Slots: 20, LinkRate: 100_000, FenceChecked: true}
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
