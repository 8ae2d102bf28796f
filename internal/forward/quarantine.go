package forward

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/prompt"
	"github.com/trailshed/trailshed/internal/quarantine"
	"github.com/trailshed/trailshed/pkg/clock"
)

// work identifies what the request asks for, independent of the attempt.
func (p *proxyRequest) work() quarantine.Work {
	return quarantine.Work{
		Workspace: p.workspaceName(), Method: p.message.Method, Host: p.message.Host, Target: p.message.Target, Body: p.message.Body,
	}
}

// reasonCrashingPart is the reason for which a request is refused, or a send cancelled, whose prompt has
// a part that crashes endpoints.
const reasonCrashingPart = "crashing_part"

// quarantined reports whether the request is known to crash the endpoints that run it. It
// is checked on arrival, before each send, and after a wait for a place. Each retry by the
// caller is a new request that needs no retry budget: without a memory across retries and
// instances, one such request would crash engine after engine, together with everything
// that runs beside it.
func (p *proxyRequest) quarantined() bool {
	part, held := p.Suspects.HoldsPrompt(p.prompt())
	switch {
	case held:
		p.failure, p.heldPart = reasonCrashingPart, part
	case p.Suspects.Holds(p.work()):
		p.failure = "ends_endpoints"
	default:
		return false
	}
	p.retryAfter = retryAfterQuarantined
	return true
}

// prompt names the parts of the request's prompt.
func (p *proxyRequest) prompt() quarantine.Prompt {
	return quarantine.Prompt{Service: p.service, Workspace: p.workspaceName(), Parts: p.call.Parts, Sample: p.sample}
}

// suspectPrompt is prompt, without parts if the endpoint was seen to go on writing the answer to
// this send: then they do not crash it.
func (p *proxyRequest) suspectPrompt() quarantine.Prompt {
	if p.wroteOn {
		return quarantine.Prompt{}
	}
	return p.prompt()
}

// survivalTime is how long an endpoint must go on writing after the first event to have survived the
// beginning of its answer. An endpoint that crashes may have sent some events at once.
const survivalTime = 200 * time.Millisecond

// recordEvent counts an event of this send. One that comes survivalTime after the first shows that no
// part of the prompt crashes the endpoint.
func (p *proxyRequest) recordEvent() {
	now := p.Now()
	if p.events++; p.events == 1 {
		p.begunAt = now
	}
	if now.Sub(p.begunAt) >= survivalTime {
		p.recordBegun(p.begunAt)
	}
}

// waitingRuns are the sends to endpoints that have not been seen to go on writing, so that a part of
// their prompts may crash the endpoint yet.
type waitingRuns struct {
	mu      sync.Mutex
	cancels map[*proxyRequest]context.CancelFunc
}

func (w *waitingRuns) add(p *proxyRequest, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[p] = cancel
}

func (w *waitingRuns) remove(p *proxyRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cancels, p)
}

// CancelHeld cancels the sends of prompts that are held, which endpoints have in their queues or have
// just begun to answer. It is called when a part has become held.
func (f *Forwarder) CancelHeld() {
	f.waiting.mu.Lock()
	defer f.waiting.mu.Unlock()
	for p, cancel := range f.waiting.cancels {
		if _, held := f.Suspects.HoldsPrompt(p.prompt()); held {
			p.cancelledHeld.Store(true)
			cancel()
		}
	}
}

// watchHeld has CancelHeld cancel this send. The returned function ends that.
func (p *proxyRequest) watchHeld(cancel context.CancelFunc) (stop func()) {
	if len(p.call.Parts) == 0 {
		return func() {}
	}
	p.waiting.add(p, cancel)
	return func() { p.waiting.remove(p) }
}

// recordBegun records, once per send, that the endpoint went on writing an answer begun at begun.
func (p *proxyRequest) recordBegun(begun clock.Millis) {
	if !p.wroteOn {
		p.wroteOn = true
		p.waiting.remove(p)
		p.Suspects.RecordBegun(p.prompt(), begun)
	}
}

// checkProcessEnded is called when an endpoint broke off a run. If the endpoint's process
// has ended, the request becomes a suspect, and so do the parts of the given prompt.
func (p *proxyRequest) checkProcessEnded(ctx context.Context, e *directory.Endpoint, suspected quarantine.Prompt) {
	if ctx.Err() != nil {
		return
	}
	w := p.work()
	switch p.CheckProcess(ctx, e) {
	case dialer.Running:
		return
	case dialer.Uncertain:
		p.Suspects.RecordUncertainEnd(w, suspected, e.ID)
		return
	case dialer.Ended:
	}
	n := p.logLine(eventlog.EndpointEnded, p.failure, nil)
	n.Endpoint, n.Address, n.Fingerprint = e.ID, e.Address.String(), w.Fingerprint().String()
	n.Parts, n.Count = joinParts(p.call.Parts), int64(p.events)
	p.requestLog.Write(n)
	p.Scope.Counter("endpoints_ended").Inc(1)
	p.Suspects.RecordEnd(w, suspected, e.ID)
}

// joinParts returns parts of a prompt as a log line names them.
func joinParts(parts []prompt.Part) string {
	names := make([]string, len(parts))
	for i, part := range parts {
		names[i] = string(part)
	}
	return strings.Join(names, ",")
}
