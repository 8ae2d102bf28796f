package settings

import (
	"net/netip"
	"time"
)

// Platform configures the connection to the platform's key-value service.
type Platform struct {
	Address string        `yaml:"address"`
	Timeout time.Duration `yaml:"timeout"`
	Watch   time.Duration `yaml:"watch"`
}

// AddrPort returns the parsed address of the service.
func (p Platform) AddrPort() netip.AddrPort {
	return netip.MustParseAddrPort(p.Address)
}

func (p Platform) rules() []rule {
	return []rule{
		addrPort("platform.address", p.Address),
		durationBetween("platform.timeout", p.Timeout, 10*time.Millisecond, time.Minute),
		durationBetween("platform.watch", p.Watch, 100*time.Millisecond, 5*time.Minute),
	}
}
