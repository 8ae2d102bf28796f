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

// Default is a settings file that documents every key and its default.
//
//go:embed default.yaml
var Default []byte

// Settings configures one gateway process.
type Settings struct {
	Instance Instance `yaml:"instance"`
	// Zones maps each availability zone to its region.
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

	// source is the version of the file that the settings were read from. It is zero if
	// they were not read from a file.
	source fileStamp
}

// Instance identifies this instance.
type Instance struct {
	Name string `yaml:"name" validate:"required"`
	Zone string `yaml:"zone" validate:"required"`
}

// Callers configures the listeners for requests and for the balancer's readiness checks.
type Callers struct {
	Listen string `yaml:"listen" validate:"required,tcp_addr"`
	Ready  string `yaml:"ready" validate:"required,tcp_addr"`
	// Stall is how long a caller may leave a response unread.
	Stall time.Duration `yaml:"stall" validate:"gt=0"`
	// Refuse says whether connections are refused while the processor or the link is short.
	Refuse bool `yaml:"refuse"`
}

// Peers configures the QUIC listener for other gateway processes.
type Peers struct {
	Listen string `yaml:"listen" validate:"required,udp_addr"`
	// Advertise is the address announced to peers. If empty, it is the listening one.
	Advertise string `yaml:"advertise" validate:"omitempty,udp_addr"`
}

// Admin configures the listener for metrics.
type Admin struct {
	Listen string `yaml:"listen" validate:"required,tcp_addr"`
}

// Store configures access to the platform's store.
type Store struct {
	Address string        `yaml:"address" validate:"required,tcp_addr"`
	Timeout time.Duration `yaml:"timeout" validate:"min=10ms,max=1m"`
	// WritesPerSecond is how many writes the store takes from all instances together.
	WritesPerSecond float64 `yaml:"writes_per_s" validate:"min=1"`
}

// Retry is the allowance for extra sends by all instances together.
type Retry struct {
	Ratio  float64       `yaml:"ratio" validate:"min=0,max=10"`
	Slack  float64       `yaml:"slack" validate:"min=0"`
	Window time.Duration `yaml:"window" validate:"min=100ms,max=10m"`
}

// Rule returns the allowance as a rule for package budget.
func (r Retry) Rule() budget.Rule {
	return budget.Rule{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window}
}

// Limits configures how workspaces' limits are enforced. The limits themselves are in the
// operators' configuration.
type Limits struct {
	Window time.Duration `yaml:"window" validate:"min=400ms,max=10m"`
}

// Stop bounds the duration of a planned stop.
type Stop struct {
	Grace time.Duration `yaml:"grace" validate:"min=100ms,max=1h"`
}

// Orders configures the orders to engines. Gap is the minimum time between orders of two
// instances.
type Orders struct {
	Gap time.Duration `yaml:"gap" validate:"min=100ms,max=5m"`
}

// Freshness is how soon changes must take effect at all instances.
type Freshness struct {
	Configuration time.Duration `yaml:"configuration" validate:"min=500ms,max=1m"`
	Endpoints     time.Duration `yaml:"endpoints" validate:"min=500ms,max=1m"`
}

// Bound returns the shorter time, because changes of both kinds are announced together.
func (f Freshness) Bound() time.Duration { return min(f.Configuration, f.Endpoints) }

// Memory is the memory limit of this process.
type Memory struct {
	LimitMB int64 `yaml:"limit_mb" validate:"min=16"`
}

// Processor is the processor capacity of this process.
type Processor struct {
	Share float64 `yaml:"share" validate:"gt=0"` // fraction of a core
	Speed float64 `yaml:"speed" validate:"gt=0"` // of that core, relative to others
}

// Capacity returns the processor capacity in cores of speed 1.
func (p Processor) Capacity() float64 { return p.Share * p.Speed }

// LoadSettings reads and validates a settings file and fills in defaults. Unknown keys are
// ignored, because the platform's settings may gain new ones.
func LoadSettings(file string) (*Settings, error) {
	source := stamp(file) // first: a change while the file is read must be seen later
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s, err := ParseSettings(file, data)
	if err != nil {
		return nil, err
	}
	s.source = source
	return s, nil
}

// ParseSettings parses data as LoadSettings does. file is used in error messages only.
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

// summary returns the main settings for the log. None of them is secret.
func (s *Settings) summary() string {
	return fmt.Sprintf("store %s, retry ratio %g slack %g window %s, grace %s, memory %d MB",
		s.Store.Address, s.Retry.Ratio, s.Retry.Slack, s.Retry.Window, s.Stop.Grace, s.Memory.LimitMB)
}

// StoreAddress returns the parsed address of the store.
func (s *Settings) StoreAddress() netip.AddrPort { return netip.MustParseAddrPort(s.Store.Address) }
