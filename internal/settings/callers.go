package settings

import (
	"net/netip"
	"time"
)

// Callers configures the HTTP listener for callers.
type Callers struct {
	Listen       string        `yaml:"listen"`
	BodyLimit    int           `yaml:"body_limit"`
	PromptLimit  int           `yaml:"prompt_limit"`
	AnswerLimit  int           `yaml:"answer_limit"`
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	LeaveDelay   time.Duration `yaml:"leave_delay"`
	HeldAnswers  int           `yaml:"held_answers"`
}

// Address returns the parsed listening address.
func (c Callers) Address() netip.AddrPort {
	return netip.MustParseAddrPort(c.Listen)
}

func (c Callers) rules() []rule {
	return []rule{
		addrPort("callers.listen", c.Listen),
		intBetween("callers.body_limit", c.BodyLimit, 1024, 64<<20),
		intBetween("callers.prompt_limit", c.PromptLimit, 16, 1<<20),
		intBetween("callers.answer_limit", c.AnswerLimit, 1, 1<<17),
		intBetween("callers.held_answers", c.HeldAnswers, 0, 100_000),
		durationBetween("callers.drain_timeout", c.DrainTimeout, time.Second, 10*time.Minute),
		durationBetween("callers.leave_delay", c.LeaveDelay, 0, time.Minute),
	}
}
