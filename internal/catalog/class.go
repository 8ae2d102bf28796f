package catalog

import (
	"strconv"
	"time"
)

// Class is a service class that workspaces pay for: a priority with latency
// targets.
type Class struct {
	Rank  int           // lower ranks are served first, from 0
	TTFT  time.Duration // target time to first token
	TBT   time.Duration // target time between tokens
	Share float64       // minimum share of the granted work while requests of the class wait
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
