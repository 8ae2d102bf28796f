package catalog

import (
	"strconv"
)

// Workspace is a tenant.
type Workspace struct {
	Class      string
	Weight     float64 // in fair sharing within the class
	KeyHash    string  // SHA-256 of the bearer key, in hex
	MaxRunning int     // maximum concurrent requests on one entry; 0 means no limit
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
		return parseInto(&w.MaxRunning, strconv.Atoi, value)
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
		{"running", strconv.Itoa(w.MaxRunning)},
	}
}

func (w *Workspace) check(all *Catalog) error {
	if _, ok := all.Classes[w.Class]; !ok {
		return Error.New("class %q does not exist", w.Class)
	}
	if w.Weight <= 0 || w.MaxRunning < 0 {
		return Error.New("weight must be positive, running must not be negative")
	}
	return nil
}
