package command

import (
	"context"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/trailshed/trailshed/internal/counter"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/gateway"
	"github.com/trailshed/trailshed/pkg/clock"
	"github.com/trailshed/trailshed/platform"
)

type gatewayCommand struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"settings of this process; by default, the file that the platform names"`
}

// Execute routes requests on the users' platform until SIGTERM or SIGINT.
func (c *gatewayCommand) Execute([]string) error {
	file := c.Settings
	if file == "" {
		file = platform.SettingsFile()
	}
	return RunGateway(file, clock.Machine(), nil)
}

// RunGateway runs the gateway command with the given settings file and clocks. Connections to
// endpoints are opened by dial, or by the network if it is nil.
func RunGateway(file string, clocks clock.Source, dial func(context.Context, netip.AddrPort) (net.Conn, error)) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	set, err := gateway.LoadSettings(file)
	if err != nil {
		return err
	}
	log := eventlog.Open(os.Stdout, set.Instance.Name)
	defer func() { _ = log.Close() }()
	counters := counter.Open(map[string]string{"instance": set.Instance.Name})
	store := platform.NewStore(set.StoreAddress(), set.Store.Timeout, counters.Scope)
	g, err := gateway.New(set, counters, gateway.Platform{
		Codec: platform.Codec(), Source: platform.Source(store), Registry: platform.Registry(store),
		Duty: platform.StagingRegistry(store), Order: platform.SendOrder, Load: platform.FetchLoad, Suspects: platform.Suspects(store),
		Releases: platform.Releases(store), Archive: platform.Archive(store), ReadyPath: platform.ReadyPath,
		Clocks: clocks, Dial: dial,
	}, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Follow(ctx, file, reload)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return g.Run(stop)
}
