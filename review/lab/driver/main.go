//go:build review

// Command driver plays the cases of the review that are scripts.
package main

import (
	"flag"
	"fmt"
	"os"
)

var (
	which   = flag.String("case", "", "case to play")
	out     = flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble = flag.Bool("trouble", true, "play the disruption")
)

func main() {
	flag.Parse()
	plays := map[string]func(*record) []string{"crash-in-stream": crashInStream, "crash-in-answer": crashInAnswer}
	play := plays[*which]
	if play == nil {
		cannotRun("no case " + *which)
	}
	r := openRecord(*out)
	broken := play(r)
	for _, b := range broken {
		fmt.Println("broken:", b)
		r.say("broken: %s", b)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
}
