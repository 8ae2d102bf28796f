package catalog

import (
	"net/netip"
	"strconv"
)

// The states of an endpoint.
const (
	EndpointServing  = "serving"
	EndpointDraining = "draining"
)

// Endpoint is one model engine or one instance of a plain service.
type Endpoint struct {
	Pool         string
	Address      netip.AddrPort
	Slots        int // concurrent requests that fit in its memory
	LinkRate     int // KV cache transfer rate in tokens per second
	State        string
	FenceChecked bool // whether it rejects orders with an outdated fence
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
		return parseInto(&e.LinkRate, strconv.Atoi, value)
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
		{"link", strconv.Itoa(e.LinkRate)},
		{"state", e.State},
		{"fence_checked", strconv.FormatBool(e.FenceChecked)},
	}
}

func (e *Endpoint) check(all *Catalog) error {
	if _, ok := all.Pools[e.Pool]; !ok {
		return Error.New("pool %q does not exist", e.Pool)
	}
	if !e.Address.IsValid() || e.Slots <= 0 || e.LinkRate <= 0 {
		return Error.New("address must be given, slots and link must be positive")
	}
	return nil
}
