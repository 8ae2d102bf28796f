package catalog

import (
	"strconv"
	"time"
)

// The values of Kind.Repeat.
const (
	RepeatAllowed = "allowed"
	RepeatNever   = "never"
)

// Kind is a type of request, with its weight in fair sharing and its rule for
// repeats.
type Kind struct {
	Serves      string  // model or plain service that answers it
	Weight      float64 // cost of a unit of its work in fair sharing
	Repeat      string
	KeyRequired bool          // whether a caller must give an idempotency key
	Window      time.Duration // how long an idempotency key is remembered
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
