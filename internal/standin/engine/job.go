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
	out     chan endpoint.Token // decode: large enough never to block
	ready   chan struct{}       // prefill: closed when computed
	gone    chan struct{}       // closed when freed
	once    sync.Once
}

func newJob(attempt, phase string) *job {
	return &job{attempt: attempt, phase: phase, ready: make(chan struct{}), gone: make(chan struct{})}
}

func (j *job) end() { j.once.Do(func() { close(j.gone) }) }
