package command

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/trailshed/trailshed/internal/trace"
)

type replay struct {
	Targets []string `short:"c" long:"callers" required:"true" value-name:"ADDRESS" description:"callers' address of a process; may be given often"`
	Speed   float64  `long:"speed" default:"1" description:"how many times faster than recorded"`
	Strict  bool     `long:"strict" description:"fail when anything was lost or wrong"`
	Args    struct {
		File string `positional-arg-name:"TRACE" required:"true"`
	} `positional-args:"true"`
}

// Execute replays a trace and prints the report.
func (r *replay) Execute([]string) error {
	f, err := os.Open(r.Args.File)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	t, err := trace.Read(f)
	if err != nil {
		return Error.New("%s: %v", r.Args.File, err)
	}
	var targets []netip.AddrPort
	for _, s := range r.Targets {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return Error.New("--callers %q: %v", s, err)
		}
		targets = append(targets, a)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	player := trace.NewPlayer(targets)
	player.Speed = r.Speed
	report := player.Play(ctx, t)
	if err := report.Write(Output); err != nil {
		return err
	}
	if sum := report.Totals(); r.Strict && (sum.Lost > 0 || sum.Wrong > 0) {
		return Error.New("%d lost, %d wrong", sum.Lost, sum.Wrong)
	}
	return nil
}
