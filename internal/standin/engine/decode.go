package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/trailshed/trailshed/internal/endpoint"
)

var errKVFetch = errors.New("kv cache cannot be fetched")

func (e *Engine) decode(w http.ResponseWriter, r *http.Request) {
	var d endpoint.DecodeRequest
	if e.traits.Role != Decode || json.NewDecoder(r.Body).Decode(&d) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	j := newJob(d.Attempt, phaseWaiting)
	if !e.takeSlot(j) {
		http.Error(w, "no slot came free", http.StatusServiceUnavailable)
		return
	}
	cache, err := e.fetchKV(j, d)
	if err != nil {
		e.mu.Lock()
		e.free(j)
		e.mu.Unlock()
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.startDecode(j, d, cache)
	e.stream(w, r, j)
}

// takeSlot waits for a free slot, at most as long as a prefill result is kept.
func (e *Engine) takeSlot(j *job) bool {
	deadline := time.Now().Add(e.traits.KVHold)
	for time.Now().Before(deadline) {
		e.mu.Lock()
		if _, taken := e.jobs[j.attempt]; !taken && len(e.jobs) < e.traits.Slots {
			j.phase = phaseTransfer
			e.jobs[j.attempt] = j
			e.mu.Unlock()
			return true
		}
		e.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// fetchKV fetches the KV cache from the prefill engine. It is aborted if the job is
// cancelled.
func (e *Engine) fetchKV(j *job, d endpoint.DecodeRequest) (kvData, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-j.freed:
			cancel()
		case <-ctx.Done():
		}
	}()
	url := "http://" + d.Source.String() + "/kv/" + d.Attempt
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(nil))
	if err != nil {
		return kvData{}, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return kvData{}, errKVFetch
	}
	defer func() { _ = resp.Body.Close() }()
	var cache kvData
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&cache) != nil {
		return kvData{}, errKVFetch
	}
	return cache, nil
}

// startDecode adds a job to the decode batch.
func (e *Engine) startDecode(j *job, d endpoint.DecodeRequest, cache kvData) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.words = Answer(cache.Prompt, d.MaxTokens)
	j.next = min(d.Offset, len(j.words))
	j.out = make(chan endpoint.Token, 2*len(j.words)+2)
	j.run = e.recordRun(Run{Attempt: j.attempt, Phase: phaseDecode})
	j.phase = phaseDecode
	e.wakeLoop()
}

// decodeLoop generates one token for every running job at each step. A job
// continues after its reader has disconnected, as in an engine that does not detect
// this.
func (e *Engine) decodeLoop() {
	for {
		running := e.running()
		if len(running) == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.closed:
				return
			}
		}
		step := e.scaled(e.traits.StepBase + time.Duration(len(running))*e.traits.StepPerSlot)
		select {
		case <-time.After(step):
		case <-e.closed:
			return
		}
		e.advance(running, step)
	}
}

func (e *Engine) running() []*job {
	e.mu.Lock()
	defer e.mu.Unlock()
	var running []*job
	for _, j := range e.jobs {
		if j.phase == phaseDecode {
			running = append(running, j)
		}
	}
	return running
}

// advance generates the next token of each job and frees the jobs that are complete.
func (e *Engine) advance(running []*job, step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step = step
	for _, j := range running {
		if e.jobs[j.attempt] != j {
			continue
		}
		if j.next < len(j.words) {
			t := endpoint.Token{Index: j.next, Text: j.words[j.next]}
			j.out <- t
			if e.faults.RepeatTokens {
				j.out <- t
			}
			j.next++
			j.run.Tokens++
		}
		if j.next == len(j.words) {
			j.run.Used = true
			j.out <- endpoint.Token{Index: j.next, Done: true, Total: len(j.words)}
			e.free(j)
		}
	}
}

// stream sends a job's tokens until the job is complete or freed, or the reader
// disconnects. Tokens buffered when the job is freed are still sent.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	flusher := http.NewResponseController(w)
	lines := json.NewEncoder(w)
	for sent := 0; ; sent++ {
		var t endpoint.Token
		select {
		case t = <-j.out:
		default:
			select {
			case t = <-j.out:
			case <-j.freed:
				if len(j.out) == 0 {
					return
				}
				t = <-j.out
			case <-r.Context().Done():
				return
			}
		}
		e.mu.Lock()
		cutAfter := e.faults.CutAfter
		e.mu.Unlock()
		if cutAfter > 0 && sent == cutAfter {
			panic(http.ErrAbortHandler)
		}
		if lines.Encode(t) != nil || t.Done {
			return
		}
		_ = flusher.Flush()
	}
}
