package engine

import (
	"sync"

	"github.com/trailshed/trailshed/internal/endpoint"
)

// The phases of a job.
const (
	phaseWaiting  = "waiting"
	phasePrefill  = "prefill"
	phaseKV       = "kv"
	phaseTransfer = "transfer"
	phaseDecode   = "decode"
	phaseCall     = "call"
)

// job is one attempt that holds memory.
type job struct {
	attempt string
	phase   string
	prompt  string
	tokens  int
	blocks  []uint64
	cached  int
	run     *Run
	words   []string
	next    int
	out     chan endpoint.Token // decode: buffered so that sends never block
	ready   chan struct{}       // prefill: closed when the result is computed
	freed   chan struct{}       // closed when the job is freed
	endOnce sync.Once
}

func newJob(attempt, phase string) *job {
	return &job{attempt: attempt, phase: phase, ready: make(chan struct{}), freed: make(chan struct{})}
}

func (j *job) end() { j.endOnce.Do(func() { close(j.freed) }) }
