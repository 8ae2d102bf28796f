// Package experiment plays declared experiments: the decisions of a cell
// between emulated endpoints and callers, in emulated time. The same load and
// the same faults meet each policy, so that runs of one seed are pairs; the
// same plan gives the same figures wherever it is played.
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

// Error marks every error of this package.
var Error = errs.Class("experiment")

// Default is the commented plan that stands for what a file leaves out.
//
//go:embed default.yaml
var Default []byte

// Plan declares an experiment. Its file is YAML with these keys.
type Plan struct {
	Name     string        `yaml:"name" validate:"required"`
	Duration time.Duration `yaml:"duration" validate:"min=1000000000,max=3600000000000"` // of arrivals
	Seeds    []uint64      `yaml:"seeds" validate:"min=1,max=1000"`
	Policies []string      `yaml:"policies" validate:"min=1,dive,oneof=joint lagged round_robin"` // the first is the one others are compared with
	Fleet    Fleet         `yaml:"fleet"`
	Load     Load          `yaml:"load"`
	Faults   []Fault       `yaml:"faults" validate:"dive"`
}

// Fleet is the endpoints of one cell.
type Fleet struct {
	Prefill       int           `yaml:"prefill" validate:"min=1,max=200"`
	Decode        int           `yaml:"decode" validate:"min=1,max=400"`
	Slots         int           `yaml:"slots" validate:"min=1,max=256"`   // of a decode endpoint
	PrefillRate   float64       `yaml:"prefill_rate" validate:"gt=0"`     // tokens a second
	LinkRate      int           `yaml:"link_rate" validate:"gt=0"`        // tokens' KV cache a second, of a prefill endpoint
	Step          time.Duration `yaml:"step" validate:"min=1000000"`      // of one decode step, alone
	StepByRequest time.Duration `yaml:"step_by_request" validate:"min=0"` // more for each further request
	ReportEvery   time.Duration `yaml:"report_every" validate:"min=10000000"`
	ReportAge     time.Duration `yaml:"report_age" validate:"min=0"` // how old a report's load is
}

// Load is what callers ask.
type Load struct {
	Rate       float64       `yaml:"rate" validate:"gt=0"` // requests a second
	Prompt     Size          `yaml:"prompt"`
	Answer     Size          `yaml:"answer"`
	FirstToken time.Duration `yaml:"first_token" validate:"min=10000000"` // limit
	Attempts   int           `yaml:"attempts" validate:"min=1,max=5"`
	Bursts     []Burst       `yaml:"bursts" validate:"dive"`
}

// Size is a distribution of tokens: logarithms are normal.
type Size struct {
	Median float64 `yaml:"median" validate:"gt=0"`
	Spread float64 `yaml:"spread" validate:"min=0,max=3"` // standard deviation of the logarithm
	Most   int     `yaml:"most" validate:"min=1"`
}

// Burst multiplies the rate for a while.
type Burst struct {
	At    time.Duration `yaml:"at" validate:"min=0"`
	For   time.Duration `yaml:"for" validate:"gt=0"`
	Times float64       `yaml:"times" validate:"gt=0"`
}

// The kinds of faults.
const (
	// Crash ends what endpoints hold; they answer nothing until it is over.
	Crash = "crash"
	// Slow makes endpoints take Times as long.
	Slow = "slow"
)

// Fault strikes some endpoints of a role for a while; the seed picks them.
type Fault struct {
	Kind      string        `yaml:"kind" validate:"oneof=crash slow"`
	Role      string        `yaml:"role" validate:"oneof=prefill decode"`
	Endpoints int           `yaml:"endpoints" validate:"min=1"`
	At        time.Duration `yaml:"at" validate:"min=0"`
	For       time.Duration `yaml:"for" validate:"gt=0"`
	Times     float64       `yaml:"times" validate:"min=0"` // of slow
}

// LoadPlan reads and checks a plan. Errors name the file, the key and the value.
func LoadPlan(file string) (*Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.New("%s: %v", file, err)
	}
	return ParsePlan(file, data)
}

// ParsePlan checks data as LoadPlan does; file only names it in errors.
func ParsePlan(file string, data []byte) (*Plan, error) {
	p := &Plan{}
	if err := yaml.Unmarshal(Default, p); err != nil {
		return nil, Error.New("built-in plan: %v", err)
	}
	if err := yaml.UnmarshalWithOptions(data, p, yaml.Strict()); err != nil {
		return nil, Error.New("%s: %v", file, err)
	}
	return p, p.check(file)
}

func (p *Plan) check(file string) error {
	var group errs.Group
	for _, wrong := range valid.Check(file, p) {
		group.Add(Error.Wrap(wrong))
	}
	for i, f := range p.Faults {
		if most := p.Fleet.count(f.Role); f.Endpoints > most {
			group.Add(Error.New("%s: %s: \"%d\" is more than there are of %s", file, fmt.Sprintf("faults[%d].endpoints", i), f.Endpoints, f.Role))
		}
		if f.Kind == Slow && f.Times <= 1 {
			group.Add(Error.New("%s: %s: \"%g\" makes nothing slower", file, fmt.Sprintf("faults[%d].times", i), f.Times))
		}
	}
	return group.Err()
}

// count is how many endpoints have a role.
func (f Fleet) count(role string) int {
	if role == "prefill" {
		return f.Prefill
	}
	return f.Decode
}
