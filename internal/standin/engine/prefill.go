package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/trailshed/trailshed/internal/endpoint"
)

func (e *Engine) prefill(w http.ResponseWriter, r *http.Request) {
	var p endpoint.PrefillRequest
	if e.traits.Role != Prefill || json.NewDecoder(r.Body).Decode(&p) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	j := newJob(p.Attempt, phaseWaiting)
	j.prompt, j.tokens, j.blocks = p.Prompt, p.Tokens, p.Blocks
	e.mu.Lock()
	if _, taken := e.jobs[p.Attempt]; taken {
		e.mu.Unlock()
		http.Error(w, "attempt is here already", http.StatusConflict)
		return
	}
	e.jobs[p.Attempt] = j
	e.queue = append(e.queue, j)
	e.mu.Unlock()
	e.wakeLoop()
	select {
	case <-j.ready:
		reply(w, endpoint.PrefillResult{CachedTokens: j.cached})
	case <-j.freed:
		http.Error(w, "cancelled", http.StatusGone)
	}
}

// prefillLoop computes one prompt at a time.
func (e *Engine) prefillLoop() {
	for {
		j := e.nextPrefill()
		if j == nil {
			select {
			case <-e.wake:
			case <-e.closed:
				return
			}
			continue
		}
		work := time.Duration(j.tokens-j.cached) * time.Second / time.Duration(e.traits.TokensPerSec)
		select {
		case <-time.After(e.scaled(work)):
			e.finishPrefill(j)
		case <-j.freed:
		case <-e.closed:
			return
		}
	}
}

func (e *Engine) nextPrefill() *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if e.jobs[j.attempt] != j {
			continue
		}
		j.phase = phasePrefill
		j.cached = min(e.cache.match(j.blocks)*blockTokens, j.tokens)
		j.run = e.recordRun(Run{Attempt: j.attempt, Phase: phasePrefill, Tokens: j.tokens - j.cached})
		return j
	}
	return nil
}

// finishPrefill makes the result available for KVHold.
func (e *Engine) finishPrefill(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[j.attempt] != j {
		return
	}
	e.cache.add(j.blocks)
	j.phase = phaseKV
	close(j.ready)
	time.AfterFunc(e.traits.KVHold, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if j.phase == phaseKV {
			e.free(j)
		}
	})
}

// kvData stands for a KV cache in a transfer.
type kvData struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

// fetch transfers a KV cache over the link and frees it on this engine.
func (e *Engine) fetch(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	j, ok := e.jobs[chi.URLParam(r, "attempt")]
	if !ok || j.phase != phaseKV {
		e.mu.Unlock()
		http.Error(w, "kv expired", http.StatusGone)
		return
	}
	j.phase = phaseTransfer
	stalled := e.faults.StallTransfers
	e.mu.Unlock()
	if stalled {
		select {
		case <-j.freed:
		case <-r.Context().Done():
		}
	} else {
		e.transfer(j)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[j.attempt] != j || stalled {
		e.free(j)
		http.Error(w, "transfer cut", http.StatusGone)
		return
	}
	j.run.Used = true
	e.free(j)
	reply(w, kvData{Prompt: j.prompt, Tokens: j.tokens})
}

// transfer waits for the link and then for the duration of the transfer.
func (e *Engine) transfer(j *job) {
	e.link.Lock()
	defer e.link.Unlock()
	select {
	case <-time.After(e.scaled(time.Duration(j.tokens) * time.Second / time.Duration(e.traits.LinkTokens))):
	case <-j.freed:
	}
}
