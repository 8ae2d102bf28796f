// Package experiment simulates declared experiments: a cell's dispatcher decides for
// emulated callers and endpoints, in emulated time. All policies get the same load and
// the same faults for a seed, so that their runs can be compared in pairs. A plan gives
// the same figures on every machine.
package experiment

import (
	_ "embed"
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/valid"
)

// Error is the class of all errors of this package.
var Error = errs.Class("experiment")

// DefaultPlan is the commented plan with the default values of all keys.
//
//go:embed default.yaml
var DefaultPlan []byte

// Plan declares an experiment. Its file is YAML with these keys.
type Plan struct {
	Name     string        `yaml:"name" validate:"required"`
	Duration time.Duration `yaml:"duration" validate:"min=1000000000,max=3600000000000"` // of arrivals
	Seeds    []uint64      `yaml:"seeds" validate:"min=1,max=1000"`
	Policies []string      `yaml:"policies" validate:"min=1,dive,oneof=joint lagged round_robin"` // others are compared with the first
	Fleet    Fleet         `yaml:"fleet"`
	Load     Load          `yaml:"load"`
	Faults   []Fault       `yaml:"faults" validate:"dive"`
}

// Fleet describes the endpoints of one cell.
type Fleet struct {
	Prefill        int           `yaml:"prefill" validate:"min=1,max=200"`
	Decode         int           `yaml:"decode" validate:"min=1,max=400"`
	Slots          int           `yaml:"slots" validate:"min=1,max=256"`   // of each decode endpoint
	PrefillRate    float64       `yaml:"prefill_rate" validate:"gt=0"`     // tokens a second
	LinkRate       int           `yaml:"link_rate" validate:"gt=0"`        // tokens whose KV cache a prefill endpoint transfers in a second
	Step           time.Duration `yaml:"step" validate:"min=1000000"`      // duration of a decode step with one request
	StepPerRequest time.Duration `yaml:"step_by_request" validate:"min=0"` // added to it for each further request
	ReportInterval time.Duration `yaml:"report_every" validate:"min=10000000"`
	ReportAge      time.Duration `yaml:"report_age" validate:"min=0"` // age of the load in a report
}

// Load describes the callers' requests.
type Load struct {
	Rate       float64       `yaml:"rate" validate:"gt=0"` // requests a second
	Prompt     Size          `yaml:"prompt"`
	Answer     Size          `yaml:"answer"`
	FirstToken time.Duration `yaml:"first_token" validate:"min=10000000"` // limit, from the request's arrival
	Attempts   int           `yaml:"attempts" validate:"min=1,max=5"`
	Bursts     []Burst       `yaml:"bursts" validate:"dive"`
}

// Size is a log-normal distribution of token counts, clamped to [1, Max].
type Size struct {
	Median float64 `yaml:"median" validate:"gt=0"`
	Spread float64 `yaml:"spread" validate:"min=0,max=3"` // standard deviation of the logarithm
	Max    int     `yaml:"most" validate:"min=1"`
}

// Burst multiplies the request rate for a period.
type Burst struct {
	At       time.Duration `yaml:"at" validate:"min=0"`
	Duration time.Duration `yaml:"for" validate:"gt=0"`
	Factor   float64       `yaml:"times" validate:"gt=0"`
}

// Kinds of faults.
const (
	// Crash fails all attempts that the endpoints hold; they are unreachable until the
	// fault ends.
	Crash = "crash"
	// Slow makes the endpoints' work take Factor times as long.
	Slow = "slow"
)

// Fault affects some endpoints of a role for a period; the seed selects them.
type Fault struct {
	Kind      string        `yaml:"kind" validate:"oneof=crash slow"`
	Role      string        `yaml:"role" validate:"oneof=prefill decode"`
	Endpoints int           `yaml:"endpoints" validate:"min=1"`
	At        time.Duration `yaml:"at" validate:"min=0"`
	Duration  time.Duration `yaml:"for" validate:"gt=0"`
	Factor    float64       `yaml:"times" validate:"min=0"` // of Slow
}

// LoadPlan reads and validates a plan file. Errors name the file, the key and the value.
func LoadPlan(file string) (*Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.New("%s: %v", file, err)
	}
	return ParsePlan(file, data)
}

// ParsePlan parses and validates a plan; file is the name used in errors.
func ParsePlan(file string, data []byte) (*Plan, error) {
	p := &Plan{}
	if err := yaml.Unmarshal(DefaultPlan, p); err != nil {
		return nil, Error.New("built-in plan: %v", err)
	}
	if err := yaml.UnmarshalWithOptions(data, p, yaml.Strict()); err != nil {
		return nil, Error.New("%s: %v", file, err)
	}
	return p, p.check(file)
}

func (p *Plan) check(file string) error {
	var group errs.Group
	for _, err := range valid.Check(file, p) {
		group.Add(Error.Wrap(err))
	}
	for i, f := range p.Faults {
		if available := p.Fleet.count(f.Role); f.Endpoints > available {
			group.Add(Error.New("%s: %s: \"%d\" is more than there are of %s", file, fmt.Sprintf("faults[%d].endpoints", i), f.Endpoints, f.Role))
		}
		if f.Kind == Slow && f.Factor <= 1 {
			group.Add(Error.New("%s: %s: \"%g\" makes nothing slower", file, fmt.Sprintf("faults[%d].times", i), f.Factor))
		}
	}
	return group.Err()
}

// count returns the number of endpoints with a role.
func (f Fleet) count(role string) int {
	if role == "prefill" {
		return f.Prefill
	}
	return f.Decode
}
