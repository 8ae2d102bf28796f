package settings

import "time"

// Dispatch is how the dispatcher of a cell decides.
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
		between("dispatch.announce", d.Announce, 50*time.Millisecond, 10*time.Second),
		between("dispatch.owner_expiry", d.OwnerExpiry, 2*d.Announce, time.Minute),
		between("dispatch.listing", d.Listing, 50*time.Millisecond, time.Minute),
	}
}
