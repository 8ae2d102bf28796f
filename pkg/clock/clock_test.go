package clock_test

import (
	"fmt"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

func ExampleMillis_Add() {
	deadline := clock.Millis(1_000).Add(1500 * time.Millisecond)
	fmt.Println(deadline, deadline.Sub(2_000))
	// Output: 2500 500ms
}
