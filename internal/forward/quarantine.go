package forward

import (
	"context"
	"strings"

	"github.com/trailshed/trailshed/internal/dialer"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/prompt"
	"github.com/trailshed/trailshed/internal/quarantine"
)

// work identifies what the request asks for, independent of the attempt.
func (p *proxyRequest) work() quarantine.Work {
	return quarantine.Work{
		Workspace: p.workspaceName(), Method: p.message.Method, Host: p.message.Host, Target: p.message.Target, Body: p.message.Body,
	}
}

// quarantined reports whether the request is known to crash the endpoints that run it. It
// is checked on arrival, before each send, and after a wait for a place. Each retry by the
// caller is a new request that needs no retry budget: without a memory across retries and
// instances, one such request would crash engine after engine, together with everything
// that runs beside it.
func (p *proxyRequest) quarantined() bool {
	if !p.Suspects.Holds(p.work()) {
		return false
	}
	p.failure, p.retryAfter = "ends_endpoints", retryAfterQuarantined
	return true
}

// checkProcessEnded is called when an endpoint broke off a run. If the endpoint's process
// has ended, the request becomes a suspect.
func (p *proxyRequest) checkProcessEnded(ctx context.Context, e *directory.Endpoint) {
	if ctx.Err() != nil {
		return
	}
	w := p.work()
	switch p.CheckProcess(ctx, e) {
	case dialer.Running:
		return
	case dialer.Uncertain:
		p.Suspects.RecordUncertainEnd(w, e.ID)
		return
	case dialer.Ended:
	}
	n := p.logLine(eventlog.EndpointEnded, p.failure, nil)
	n.Endpoint, n.Address, n.Fingerprint = e.ID, e.Address.String(), w.Fingerprint().String()
	n.Parts, n.Count = joinParts(p.call.Parts), int64(p.events)
	p.requestLog.Write(n)
	p.Scope.Counter("endpoints_ended").Inc(1)
	p.Suspects.RecordEnd(w, e.ID)
}

// joinParts returns parts of a prompt as a log line names them.
func joinParts(parts []prompt.Part) string {
	names := make([]string, len(parts))
	for i, part := range parts {
		names[i] = string(part)
	}
	return strings.Join(names, ",")
}
