package settings

import "time"

// Dispatch configures the dispatchers of cells and the announcements of entries to them.
type Dispatch struct {
	Policy      string        `yaml:"policy"`
	Announce    time.Duration `yaml:"announce"`
	OwnerExpiry time.Duration `yaml:"owner_expiry"`
	Listing     time.Duration `yaml:"listing"`
	RetryShare  float64       `yaml:"retry_share"`
}

func (d Dispatch) rules() []rule {
	return []rule{
		oneOf("dispatch.policy", d.Policy, "joint", "lagged", "round_robin"),
		durationBetween("dispatch.announce", d.Announce, 50*time.Millisecond, 10*time.Second),
		durationBetween("dispatch.owner_expiry", d.OwnerExpiry, 2*d.Announce, time.Minute),
		durationBetween("dispatch.listing", d.Listing, 50*time.Millisecond, time.Minute),
	}
}
