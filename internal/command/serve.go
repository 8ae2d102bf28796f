package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/trailshed/trailshed/internal/node"
	"github.com/trailshed/trailshed/internal/settings"
)

type serve struct {
	Settings string `short:"s" long:"settings" required:"true" value-name:"FILE" description:"settings of this process"`
}

// Execute runs a process until SIGTERM or SIGINT.
func (s *serve) Execute([]string) error {
	set, err := settings.Load(s.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(set.Log.Level)
	if err != nil {
		return Error.Wrap(err)
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("node", set.Node.ID).Logger()
	n, err := node.New(set, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return n.Run(ctx)
}
