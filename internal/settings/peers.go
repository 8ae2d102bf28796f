package settings

import (
	"net/netip"
	"strconv"
	"time"
)

// Peers configures the QUIC listener for other trailshed processes, its mutual TLS and
// the heartbeats.
type Peers struct {
	Listen      string        `yaml:"listen"`
	Seeds       []string      `yaml:"seeds"`
	CA          string        `yaml:"ca"`
	Certificate string        `yaml:"certificate"`
	Key         string        `yaml:"key"`
	Heartbeat   time.Duration `yaml:"heartbeat"`
	Fanout      int           `yaml:"fanout"`
	GoneAfter   time.Duration `yaml:"gone_after"`
}

// Address returns the parsed listening address.
func (p Peers) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.Listen)
}

// SeedAddresses returns the parsed addresses of the seeds.
func (p Peers) SeedAddresses() []netip.AddrPort {
	seeds := make([]netip.AddrPort, 0, len(p.Seeds))
	for _, s := range p.Seeds {
		seeds = append(seeds, netip.MustParseAddrPort(s))
	}
	return seeds
}

func (p Peers) rules() []rule {
	all := []rule{
		addrPort("peers.listen", p.Listen),
		readable("peers.ca", p.CA),
		readable("peers.certificate", p.Certificate),
		readable("peers.key", p.Key),
		durationBetween("peers.heartbeat", p.Heartbeat, 50*time.Millisecond, 10*time.Second),
		durationBetween("peers.gone_after", p.GoneAfter, 3*p.Heartbeat, 5*time.Minute),
		intBetween("peers.fanout", p.Fanout, 1, 16),
	}
	for i, s := range p.Seeds {
		all = append(all, addrPort("peers.seeds["+strconv.Itoa(i)+"]", s))
	}
	return all
}
