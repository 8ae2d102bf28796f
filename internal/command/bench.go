package command

import (
	"runtime"

	"github.com/trailshed/trailshed/internal/experiment"
)

type bench struct {
	Out     string `short:"o" long:"out" value-name:"FILE" description:"write the result to this file, to compare with later"`
	Against string `long:"against" value-name:"FILE" description:"compare with an earlier result, seed by seed"`
	Plots   string `long:"plots" value-name:"DIR" description:"draw plots into this directory"`
	Format  string `long:"format" default:"svg" choice:"svg" choice:"png" description:"of plots"`
	Jobs    int    `short:"j" long:"jobs" value-name:"N" description:"runs at a time; 0: half of the processors"`
	Default bool   `long:"print-default" description:"print the commented plan that stands for what a file leaves out"`
	Args    struct {
		File string `positional-arg-name:"PLAN"`
	} `positional-args:"true"`
}

// Execute runs the experiment of a plan and prints the result.
func (b *bench) Execute([]string) error {
	if b.Default {
		_, err := Output.Write(experiment.DefaultPlan)
		return Error.Wrap(err)
	}
	if b.Args.File == "" {
		return Error.New("bench: PLAN is missing")
	}
	plan, err := experiment.LoadPlan(b.Args.File)
	if err != nil {
		return err
	}
	var earlier *experiment.Result
	if b.Against != "" {
		if earlier, err = experiment.ReadResult(b.Against); err != nil {
			return err
		}
	}
	jobs := b.Jobs
	if jobs == 0 {
		jobs = max(runtime.NumCPU()/2, 1)
	}
	result := plan.RunAll(buildVersion(), jobs)
	if err := result.Print(Output, earlier); err != nil {
		return err
	}
	if b.Out != "" {
		if err := result.Write(b.Out); err != nil {
			return err
		}
	}
	if b.Plots != "" {
		return result.Plot(b.Plots, b.Format)
	}
	return nil
}
