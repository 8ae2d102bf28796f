package settings

import "time"

// Claims configures how at-most-once claims are batched into writes to the platform's
// key-value service.
type Claims struct {
	Shards   int           `yaml:"shards"`
	Interval time.Duration `yaml:"interval"`
}

func (c Claims) rules() []rule {
	return []rule{
		intBetween("claims.shards", c.Shards, 1, 4096),
		durationBetween("claims.interval", c.Interval, time.Millisecond, 10*time.Second),
	}
}
