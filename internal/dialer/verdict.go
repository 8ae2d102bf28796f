package dialer

// Verdict is what is known of an endpoint's process.
type Verdict int

// The values of Verdict.
const (
	// Running: the process runs, or nothing indicates that it has ended.
	Running Verdict = iota
	// Ended: the process has ended.
	Ended
	// Uncertain: connections are refused, but the network may be at fault.
	Uncertain
)
