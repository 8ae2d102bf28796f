// Command standin runs simple stand-ins of the external systems that tests and
// demonstrations need: the platform, model engines and plain services.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/trailshed/trailshed/internal/standin/cert"
	"github.com/trailshed/trailshed/internal/standin/fleet"
	"github.com/trailshed/trailshed/internal/standin/platform"
	"github.com/trailshed/trailshed/internal/standin/record"
)

func main() {
	parser := flags.NewNamedParser("standin", flags.Default)
	addCommand(parser, "platform", "run the platform's key-value service", &platformCommand{})
	addCommand(parser, "endpoint", "run the endpoints of one zone", &endpointCommand{})
	addCommand(parser, "certificates", "create a certificate authority and certificates", &certificatesCommand{})
	addCommand(parser, "record", "generate a trace", &recordCommand{})
	addCommand(parser, "statements", "print the statements that create a fleet", &statementsCommand{})
	addCommand(parser, "inspect", "report what the endpoints ran and still hold", &inspectCommand{})
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}

func addCommand(p *flags.Parser, name, short string, c flags.Commander) {
	if _, err := p.AddCommand(name, short, short, c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7900"`
	Writes int    `long:"writes" default:"400" description:"writes taken a second"`
	Reads  int    `long:"reads" default:"2000" description:"reads taken a second"`

	InstanceLag time.Duration `long:"instance-lag" default:"3s" description:"lag of the list of instances"`
}

// Execute runs the platform until SIGTERM or SIGINT.
func (c *platformCommand) Execute([]string) error {
	s := &http.Server{Addr: c.Listen, Handler: platform.New(c.Writes, c.Reads, c.InstanceLag).Handler(), ReadHeaderTimeout: 5 * time.Second}
	ctx, stop := signalContext()
	defer stop()
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type fleetFile struct {
	Fleet string `long:"fleet" required:"true" description:"fleet file"`
}

type endpointCommand struct {
	fleetFile
	Zone string `long:"zone" required:"true"`
}

// Execute runs the endpoints of one zone until SIGTERM or SIGINT.
func (c *endpointCommand) Execute([]string) error {
	f, err := fleet.Load(c.Fleet)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	return f.Serve(ctx, c.Zone)
}

type certificatesCommand struct {
	Dir   string `long:"dir" required:"true"`
	Names struct {
		Names []string `positional-arg-name:"NODE"`
	} `positional-args:"true"`
}

// Execute writes the certificates of an authority and of each node.
func (c *certificatesCommand) Execute([]string) error {
	a, err := cert.NewAuthority(c.Dir)
	if err != nil {
		return err
	}
	for _, name := range c.Names.Names {
		if err := a.Issue(name); err != nil {
			return err
		}
	}
	return nil
}

type recordCommand struct {
	Workload string  `long:"workload" choice:"unions" choice:"couriers" choice:"slope" required:"true"`
	Seconds  float64 `long:"seconds" default:"20"`
	Scale    float64 `long:"scale" default:"1" description:"multiple of the users' rate"`
	Seed     uint64  `long:"seed" default:"1"`
	Rate     float64 `long:"rate" default:"20" description:"slope: requests a second"`
	Tokens   int     `long:"tokens" description:"slope: tokens of a prompt; 0 for a plain service"`
	Out      int     `long:"out" description:"slope: tokens of an answer"`
}

// Execute prints the trace.
func (c *recordCommand) Execute([]string) error {
	w := record.Unions()
	switch c.Workload {
	case "couriers":
		w = record.Couriers()
	case "slope":
		w = record.Slope(c.Rate, c.Tokens, c.Out)
	}
	return w.Generate(c.Seconds, c.Scale, c.Seed).Write(os.Stdout)
}

type statementsCommand struct{ fleetFile }

// Execute prints the statements.
func (c *statementsCommand) Execute([]string) error {
	f, err := fleet.Load(c.Fleet)
	if err != nil {
		return err
	}
	fmt.Println(strings.Join(f.Statements(), "\n"))
	return nil
}

type inspectCommand struct{ fleetFile }

// Execute prints what the endpoints recorded. It fails if a key ran more than once
// or an attempt still holds memory.
func (c *inspectCommand) Execute([]string) error {
	f, err := fleet.Load(c.Fleet)
	if err != nil {
		return err
	}
	found := f.Inspect(context.Background())
	fmt.Printf("endpoints: %d prompt tokens computed, %d wasted (%.2f%%); %d answers decoded; %d calls\n",
		found.Prefilled, found.Wasted, 100*float64(found.Wasted)/float64(max(found.Prefilled, 1)), found.Decoded, found.Calls)
	fmt.Printf("endpoints: ran twice %d, still held %d, unreadable %d\n",
		len(found.RanTwice), len(found.StillHeld), len(found.Unreadable))
	for _, line := range append(found.RanTwice, found.StillHeld...) {
		fmt.Println("  " + line)
	}
	if len(found.RanTwice)+len(found.StillHeld) > 0 {
		return errors.New("a key ran more than once or an attempt still holds memory")
	}
	return nil
}
