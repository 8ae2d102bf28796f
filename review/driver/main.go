//go:build review

// Command driver runs one case of the review: it starts the product's processes before stand-ins of the
// platform, brings the disruption about, and checks the rule. It exits with 1 if the rule was broken, with 0 if
// it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	held = iota
	broken
	failed
)

// scenario runs a case and returns what broke the rule, if anything did.
type scenario func(f *fleet, trouble bool) (findings []string, err error)

var scenarios = map[string]struct {
	run     scenario
	perZone int
}{
	"prefill": {prefill, 2},
	"removal": {removal, 2},
	"silence": {silence, 2},
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver SCENARIO BINARY RECORD")
		return failed
	}
	s, known := scenarios[args[0]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown scenario", args[0])
		return failed
	}
	binary, err := filepath.Abs(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	r := newRecord()
	f, err := newFleet(binary, dir, r, s.perZone)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	findings, err := s.run(f, trouble)
	f.close()
	r.addArrivals(f.endpoints)
	if err != nil {
		r.note("could not run: %v", err)
	}
	if n := f.exits.Load(); n > 0 && err == nil {
		findings = append(findings, fmt.Sprintf("%d processes ended by themselves", n))
	}
	for _, what := range findings {
		r.note("BROKEN: %s", what)
	}
	if err == nil && len(findings) == 0 {
		r.note("the rule held")
	}
	if wrote := r.write(args[2]); wrote != nil {
		fmt.Fprintln(os.Stderr, wrote)
		return failed
	}
	switch {
	case err != nil:
		return failed
	case len(findings) > 0:
		return broken
	default:
		return held
	}
}
