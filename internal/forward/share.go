package forward

import (
	"net/http"
	"time"

	"github.com/trailshed/trailshed/internal/balance"
	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/sharegate"
)

// Shares makes workspaces share the slots of plain services. Services that are not shared
// admit all requests.
type Shares struct {
	// Admit counts a request and decides whether it may go to the service.
	Admit func(service, workspace string, priority int) sharegate.Decision
	// Queued returns the endpoints that requests of a workspace beyond its share must not
	// use for now.
	Queued func(service string) []string
	// RecordAnswer counts an answer that stated its endpoint's load. took is 0 if the
	// answer does not show how long a request takes.
	RecordAnswer func(service, endpoint string, l balance.Load, took time.Duration)
}

// reasonShareUsedUp is the reason for refusing a request of a workspace that asks for more
// than its share of a service without room for it.
const reasonShareUsedUp = "share_used_up"

// takeShare refuses a request beyond its workspace's share of a plain service, before it
// takes an endpoint or retry budget. A stream that has begun is never refused.
func (p *proxyRequest) takeShare() bool {
	if p.usesEngines() || p.takesUp() {
		return true
	}
	p.share = p.Shares.Admit(p.service, p.workspaceName(), p.priority())
	if p.share.Admitted {
		p.countShare("share_admitted")
		return true
	}
	p.refuseShare()
	p.credit()
	return false
}

// refuseShare refuses a request because its workspace's share is used up.
func (p *proxyRequest) refuseShare() {
	p.failure = reasonShareUsedUp
	p.countShare("share_refused")
	n := p.logLine(eventlog.Refused, p.failure, nil)
	n.Age, n.Detail = p.share.Age, p.share.String()
	p.refuseWith(http.StatusServiceUnavailable, p.share.RetryAfter, n)
}

// avoidedEndpoints returns the endpoints that a request of a workspace beyond its share must
// not use: those with a queue. A request that was sent before is not held back any more.
func (p *proxyRequest) avoidedEndpoints() []string {
	if !p.share.Excess || p.sends > 0 {
		return nil
	}
	return p.Shares.Queued(p.service)
}

// recordLoad passes the load that an answer of a plain service stated on to the shares.
func (p *proxyRequest) recordLoad(e *directory.Endpoint, head ResponseHead) {
	if p.usesEngines() {
		return
	}
	took := p.Now().Sub(p.sentAt)
	if head.NotRun || head.Streamed {
		took = 0
	}
	p.Shares.RecordAnswer(p.service, e.ID, head.Load, took)
}

// countShare counts decisions about workspaces that ask for more than their share.
func (p *proxyRequest) countShare(name string) {
	if p.share.Excess {
		p.Scope.Tagged(map[string]string{"workspace": p.workspaceName(), "service": p.service}).Counter(name).Inc(1)
	}
}
