package gateway

import (
	"context"
	"maps"
	"os"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/ticker"
)

// checkInterval is the interval at which the settings file is checked, because it may
// change without a signal.
const checkInterval = time.Second

// Follow reloads the settings file on each signal and when it has changed since the settings
// were read from it, until ctx ends. Invalid settings are not applied.
func (g *Gateway) Follow(ctx context.Context, file string, signals <-chan os.Signal) {
	seen := g.settings.Load().source
	if seen == (fileStamp{}) {
		seen = stamp(file)
	}
	check := func() {
		if now := stamp(file); now != seen {
			seen = now
			g.reload(file)
		}
	}
	go ticker.Every(ctx, checkInterval, func() {
		select {
		case <-signals:
			seen = stamp(file)
			g.reload(file)
		default:
			check()
		}
	})
}

// fileStamp identifies one version of a file.
type fileStamp struct {
	size     int64
	modified time.Time
}

// stamp returns a file's stamp, which is zero if the file cannot be accessed.
func stamp(file string) fileStamp {
	info, err := os.Stat(file)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{size: info.Size(), modified: info.ModTime()}
}

func (g *Gateway) reload(file string) {
	next, err := LoadSettings(file)
	if err != nil {
		g.log.Write(eventlog.Line{Event: eventlog.ReloadRefused, Detail: err.Error()})
		return
	}
	g.Reload(next)
}

// Reload applies the settings that can change in a running process: the retry allowance
// and the grace period. The others take effect at the next start.
func (g *Gateway) Reload(next *Settings) {
	before := g.settings.Load()
	after := *before
	after.Retry, after.Stop = next.Retry, next.Stop
	g.settings.Store(&after)
	g.forwarder.SetRetryRule(next.Retry.Rule())
	n := eventlog.Line{Event: eventlog.Reloaded, Outcome: "applied"}
	if !maps.Equal(before.Zones, next.Zones) || before.Callers != next.Callers || before.Peers != next.Peers || before.Admin != next.Admin ||
		before.Store != next.Store || before.Instance != next.Instance || before.Memory != next.Memory ||
		before.Orders != next.Orders || before.Limits != next.Limits || before.Freshness != next.Freshness || before.Processor != next.Processor {
		n.Outcome = "applied_in_part"
		n.Detail = "addresses, names and memory take effect at the next start"
	}
	g.log.Write(n)
}
