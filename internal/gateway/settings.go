package gateway

import (
	_ "embed"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/budget"
	"github.com/trailshed/trailshed/internal/valid"
)

// Default is the commented file of defaults.
//
//go:embed default.yaml
var Default []byte

// Settings are those of one gateway process.
type Settings struct {
	Instance Instance `yaml:"instance"`
	// Zones has the region of each availability zone.
	Zones     map[string]string `yaml:"zones"`
	Callers   Callers           `yaml:"callers"`
	Peers     Peers             `yaml:"peers"`
	Admin     Admin             `yaml:"admin"`
	Store     Store             `yaml:"store"`
	Retry     Retry             `yaml:"retry"`
	Limits    Limits            `yaml:"limits"`
	Stop      Stop              `yaml:"stop"`
	Orders    Orders            `yaml:"orders"`
	Freshness Freshness         `yaml:"freshness"`
	Memory    Memory            `yaml:"memory"`
	Processor Processor         `yaml:"processor"`
}

// Instance says which instance this is.
type Instance struct {
	Name string `yaml:"name" validate:"required"`
	Zone string `yaml:"zone" validate:"required"`
}

// Callers is where requests and the balancer's question arrive.
type Callers struct {
	Listen string `yaml:"listen" validate:"required,tcp_addr"`
	Ready  string `yaml:"ready" validate:"required,tcp_addr"`
	// Stall is how long a caller may leave an answer unread.
	Stall time.Duration `yaml:"stall" validate:"gt=0"`
}

// Peers is the QUIC listener between our own processes.
type Peers struct {
	Listen string `yaml:"listen" validate:"required,udp_addr"`
	// Advertise is what peers are told; empty: what it listens on.
	Advertise string `yaml:"advertise" validate:"omitempty,udp_addr"`
}

// Admin is where metrics are served.
type Admin struct {
	Listen string `yaml:"listen" validate:"required,tcp_addr"`
}

// Store is the platform's store.
type Store struct {
	Address string        `yaml:"address" validate:"required,tcp_addr"`
	Timeout time.Duration `yaml:"timeout" validate:"min=10ms,max=1m"`
}

// Retry is the allowance of extra sends of all instances together.
type Retry struct {
	Ratio  float64       `yaml:"ratio" validate:"min=0,max=10"`
	Slack  float64       `yaml:"slack" validate:"min=0"`
	Window time.Duration `yaml:"window" validate:"min=100ms,max=10m"`
}

// Rule is the allowance that these settings give.
func (r Retry) Rule() budget.Rule {
	return budget.Rule{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window}
}

// Limits is how workspaces' limits are judged. The limits themselves are in the
// operators' configuration.
type Limits struct {
	Window time.Duration `yaml:"window" validate:"min=400ms,max=10m"`
}

// Stop bounds a planned stop.
type Stop struct {
	Grace time.Duration `yaml:"grace" validate:"min=100ms,max=1h"`
}

// Orders bounds who may give orders to engines.
type Orders struct {
	Gap time.Duration `yaml:"gap" validate:"min=100ms,max=5m"`
}

// Freshness is how soon changes must be in force everywhere.
type Freshness struct {
	Configuration time.Duration `yaml:"configuration" validate:"min=500ms,max=1m"`
	Endpoints     time.Duration `yaml:"endpoints" validate:"min=500ms,max=1m"`
}

// Bound is the shorter time, since changes of both kinds are told together.
func (f Freshness) Bound() time.Duration { return min(f.Configuration, f.Endpoints) }

// Memory is what this process may use.
type Memory struct {
	LimitMB int64 `yaml:"limit_mb" validate:"min=16"`
}

// Processor is what this process may use of one.
type Processor struct {
	Share float64 `yaml:"share" validate:"gt=0"` // of a core
	Speed float64 `yaml:"speed" validate:"gt=0"` // of that core beside others'
}

// Capacity is the processor's worth in cores of common speed.
func (p Processor) Capacity() float64 { return p.Share * p.Speed }

// LoadSettings reads, fills with defaults and checks file. Keys that it does
// not know are skipped, because the platform's settings may gain new ones.
func LoadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return ParseSettings(file, data)
}

// ParseSettings checks data as LoadSettings does; file only names it in errors.
func ParseSettings(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	if err := yaml.Unmarshal(Default, s); err != nil {
		return nil, Error.New("built-in defaults: %v", err)
	}
	if err := yaml.Unmarshal(data, s); err != nil {
		return nil, Error.New("%s: %v", file, err)
	}
	var wrong errs.Group
	wrong.Add(valid.Check(file, s)...)
	if err := wrong.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return s, nil
}

// summary tells the settings in force for the log; none of them is secret.
func (s *Settings) summary() string {
	return fmt.Sprintf("store %s, retry ratio %g slack %g window %s, grace %s, memory %d MB",
		s.Store.Address, s.Retry.Ratio, s.Retry.Slack, s.Retry.Window, s.Stop.Grace, s.Memory.LimitMB)
}

// StoreAddress is the parsed address of the store.
func (s *Settings) StoreAddress() netip.AddrPort { return netip.MustParseAddrPort(s.Store.Address) }
