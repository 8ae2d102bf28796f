package settings

import (
	"net/netip"
	"time"
)

// Callers is the HTTP listener that callers reach.
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
		count("callers.body_limit", c.BodyLimit, 1024, 64<<20),
		count("callers.prompt_limit", c.PromptLimit, 16, 1<<20),
		count("callers.answer_limit", c.AnswerLimit, 1, 1<<17),
		count("callers.held_answers", c.HeldAnswers, 0, 100_000),
		between("callers.drain_timeout", c.DrainTimeout, time.Second, 10*time.Minute),
		between("callers.leave_delay", c.LeaveDelay, 0, time.Minute),
	}
}
