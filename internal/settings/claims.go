package settings

import "time"

// Claims is how at-most-once claims are batched into the platform's service.
type Claims struct {
	Shards   int           `yaml:"shards"`
	Interval time.Duration `yaml:"interval"`
}

func (c Claims) rules() []rule {
	return []rule{
		count("claims.shards", c.Shards, 1, 4096),
		between("claims.interval", c.Interval, time.Millisecond, 10*time.Second),
	}
}
