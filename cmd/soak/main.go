// Command soak runs real trailshed processes under randomised faults injected from outside,
// and checks the promises against what callers and endpoints observe. See docs/SOAK.md.
package main

import (
	"cmp"
	"context"
	_ "embed"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	trailshed "github.com/trailshed/trailshed/internal/command"
	"github.com/trailshed/trailshed/internal/soak/clocks"
	"github.com/trailshed/trailshed/internal/soak/fleet"
	"github.com/trailshed/trailshed/internal/soak/outage"
	"github.com/trailshed/trailshed/internal/soak/schedule"
)

// failedSeeds lists seeds that failed in the past, one a line: the seed, with a colon and the kind if it failed in a run
// with steps of one kind only, then the cause.
//
//go:embed failed_seeds.txt
var failedSeeds string

type command struct {
	Program     string        `long:"program" default:"build/trailshed" description:"the program under test"`
	Dir         string        `long:"dir" default:"build/soak-logs" description:"for settings and logs; logs of good runs are removed"`
	FirstSeed   uint64        `long:"from" default:"1" description:"first seed"`
	Seeds       int           `long:"seeds" default:"1" description:"how many seeds"`
	FailedSeeds bool          `long:"again" description:"run the seeds that once failed instead"`
	Seconds     int           `long:"seconds" default:"20" description:"length of the part with faults"`
	Jobs        int           `long:"jobs" default:"1" description:"runs at a time"`
	Zones       int           `long:"zones" default:"3" description:"availability zones"`
	PerZone     int           `long:"per-zone" default:"2" description:"instances in each zone"`
	Callers     int           `long:"callers" default:"24" description:"callers at a time"`
	Timed       bool          `long:"timed" description:"check bounds on time too; not on a machine that is busy"`
	Only        string        `long:"only" description:"take steps of this kind only, as internal/soak/schedule names them"`
	Plain       bool          `long:"plain" description:"leave out poisoned requests and suspended machines"`
	MaxTime     time.Duration `long:"most" description:"begin no further run after so long; 0: no bound"`
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "gateway" {
		os.Exit(runGateway(os.Args[3]))
	}
	c := &command{}
	if _, err := flags.NewParser(c, flags.Default).Parse(); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	failed := c.run(ctx)
	stop()
	if failed > 0 {
		fmt.Printf("%d runs failed\n", failed)
		os.Exit(1)
	}
}

// runGateway runs the gateway command with clocks that the soak test can suspend, and links to
// endpoints that it can break. Everything else is the product's code.
func runGateway(settings string) int {
	source, err := clocks.Open(clocks.Path(settings))
	if err == nil {
		links := outage.Follow(context.Background(), outage.Path(settings))
		err = trailshed.RunGateway(settings, source, links.Dial)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// run executes the runs of all seeds and returns how many failed.
func (c *command) run(ctx context.Context) int {
	runs := c.runs()
	started := time.Now()
	next := make(chan seededRun)
	go func() {
		defer close(next)
		for _, r := range runs {
			if ctx.Err() != nil || c.MaxTime > 0 && time.Since(started) > c.MaxTime {
				return
			}
			next <- r
		}
	}()
	var group sync.WaitGroup
	var mu sync.Mutex
	var shown coverage
	failed := 0
	for job := range max(c.Jobs, 1) {
		group.Go(func() {
			for r := range next {
				result, good := c.runSeed(ctx, job, r)
				mu.Lock()
				shown.add(result)
				if !good {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if gap := shown.gap(schedule.Kind(c.Only)); gap != "" {
		fmt.Println(gap)
		failed++
	}
	return failed
}

// seededRun is one run: its seed, and the kind of all its steps, or "" for all kinds.
type seededRun struct {
	seed uint64
	only schedule.Kind
}

// runs returns the runs to execute.
func (c *command) runs() (list []seededRun) {
	if !c.FailedSeeds {
		for n := range c.Seeds {
			list = append(list, seededRun{c.FirstSeed + uint64(n), schedule.Kind(c.Only)})
		}
		return list
	}
	for line := range strings.Lines(failedSeeds) {
		word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		number, kind, _ := strings.Cut(word, ":")
		if seed, err := strconv.ParseUint(number, 10, 64); err == nil {
			list = append(list, seededRun{seed, schedule.Kind(cmp.Or(kind, c.Only))})
		}
	}
	return list
}

// firstExtraSeed is the first of the failed seeds with steps of all kinds that failed in a run with extra steps, and is
// run with them again.
const firstExtraSeed = 100_000

// runSeed executes the run of one seed and prints the result. It reports whether the fleet
// recovered and all promises were kept.
func (c *command) runSeed(ctx context.Context, job int, run seededRun) (r fleet.Result, good bool) {
	seed := run.seed
	o := fleet.Options{
		Program: c.Program, Dir: c.Dir, Seed: seed, FaultDuration: time.Duration(c.Seconds) * time.Second,
		Network: network(job), PerZone: c.PerZone, Callers: c.Callers, Timed: c.Timed, OnlyKind: run.only,
	}
	o.ExtraSteps = !c.Plain && (!c.FailedSeeds || run.only != "" || seed >= firstExtraSeed)
	if o.ExtraSteps || o.OnlyKind == schedule.Suspend || o.OnlyKind == schedule.Unlink {
		if self, err := os.Executable(); err == nil {
			o.Program = self
		}
	}
	for zone := range c.Zones {
		o.Zones = append(o.Zones, string(rune('a'+zone)))
	}
	r, err := fleet.Run(ctx, o)
	fmt.Printf("seed %d: %d steps, %d of %d requests answered well, %d of %d shortly before an exit answered or refused, %d of %d streams went on after a kill of all, %d requests failed by endpoints that ran them, %d rejections repeated, %d violations\n",
		seed, r.Steps, r.Succeeded, r.Requests, r.LateAnswered, r.Late, r.WentOn, r.Rejoined, r.Failed, r.Repeated, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Printf("  %s: %s: %s\n%s", v.Promise, v.ID, v.What, r.Faults.Describe(v.At.Add(-4*time.Second), v.At.Add(time.Second)))
	}
	if err != nil {
		fmt.Printf("  recovery: %v\n", err)
	}
	good = err == nil && len(r.Violations) == 0
	if good {
		_ = os.RemoveAll(o.LogDir())
	}
	return r, good
}

// network returns a loopback network for a job. Jobs and concurrent soak processes use
// different networks; those of processes whose IDs are equal modulo 250 may coincide.
func network(job int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(1 + job), 0})
}
