// Package caller sends requests as the users' clients do and records the replies. Each
// call has its own ID, even if its body repeats; some callers reuse connections, and some
// disconnect before the answer.
package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/trailshed/trailshed/platform/standin"
)

// Kind is a kind of request.
type Kind struct {
	Path       string
	Method     string
	Service    string
	AtMostOnce bool // must run at most once
	Stream     bool
	Resumable  bool          // its caller takes the stream up if it breaks
	Version    int           // of the configuration that added its route; 0 for the first one
	Body       string        // of all requests; if empty, each has its own
	Parts      []string      // leading parts of the prompts; behind them, each has one of its own
	Workspace  string        // whose key is sent
	HomeZone   string        // the only zone whose endpoints may receive it; empty for all
	Timeout    time.Duration // that callers send with it; 0: requestTimeout
}

// Workspaces of the soak. Limited sends more requests than its limit allows, Flooding at times far more
// than endpoints can serve.
const (
	firstWorkspace  = "thorn"
	secondWorkspace = "amber"
	Limited         = "fern"
	Flooding        = "reed"
)

// Limit of the workspace Limited.
const (
	LimitRate  = 6 // requests a second
	LimitBurst = 6 // requests
)

// Workspaces returns the workspaces of every configuration.
func Workspaces() []standin.Workspace {
	return []standin.Workspace{
		{Name: firstWorkspace, Keys: []string{key(firstWorkspace)}, Priority: 1},
		{Name: secondWorkspace, Keys: []string{key(secondWorkspace)}, Priority: 2},
		{Name: Limited, Keys: []string{key(Limited)}, Priority: 2, Rate: LimitRate, Burst: LimitBurst},
		{Name: Flooding, Keys: []string{key(Flooding)}, Priority: 2},
	}
}

// key returns a workspace's API key.
func key(workspace string) string { return "key-of-" + workspace }

// Kinds returns the kinds of requests that the first configuration serves.
func Kinds() []Kind {
	return []Kind{
		{Path: "/stream/x", Method: http.MethodPost, Service: "llm", Stream: true, Resumable: true, Workspace: firstWorkspace, Parts: []string{commonPart}},
		{Path: "/once" + standin.LongPath, Method: http.MethodPost, Service: "llm", Stream: true, AtMostOnce: true, Workspace: firstWorkspace, Parts: []string{commonPart}},
		{Path: "/once/x", Method: http.MethodPost, Service: "llm", Stream: true, AtMostOnce: true, Workspace: secondWorkspace},
		{Path: "/safe/x", Method: http.MethodGet, Service: "web", Workspace: secondWorkspace},
		{Path: "/unsafe/x", Method: http.MethodPost, Service: "web", AtMostOnce: true, Workspace: firstWorkspace},
		{Path: "/unsafe/y", Method: http.MethodPost, Service: "web", AtMostOnce: true, Workspace: Limited},
	}
}

// AddedKind returns the kind for the route that a configuration version adds.
func AddedKind(version int) Kind {
	return Kind{Path: "/v" + strconv.Itoa(version) + "/x", Method: http.MethodGet, Service: "web", Version: version, Workspace: firstWorkspace}
}

// HomeKind returns the kind that only the region of a zone may serve.
func HomeKind(zone string) Kind {
	return Kind{Path: "/home/x", Method: http.MethodGet, Service: "web", Workspace: firstWorkspace, HomeZone: zone}
}

// FloodKind returns the kind of requests of which the workspace Flooding sends too many.
func FloodKind() Kind {
	return Kind{Path: "/safe/x", Method: http.MethodGet, Service: "web", Workspace: Flooding}
}

// Prefixes of the routes of SilenceKinds.
const (
	QuickPrefix = "/quick/"
	ShortPrefix = "/short/"
)

// SilenceKinds returns the kinds of requests that are sent while endpoints fall silent: on their routes,
// instances look for another endpoint after less than a second.
func SilenceKinds() []Kind {
	return []Kind{
		{Path: QuickPrefix + "x" + standin.SlowPath, Method: http.MethodPost, Service: "llm", Stream: true, Workspace: secondWorkspace},
		{Path: ShortPrefix + "x", Method: http.MethodPost, Service: "web", Workspace: secondWorkspace},
	}
}

// RefusalKinds returns the kinds of requests that are sent while endpoints refuse what they ran. Two in three must run
// at most once.
func RefusalKinds() []Kind {
	resumable, once := streamKind(), Kind{Path: "/once/x", Method: http.MethodPost, Service: "llm", Stream: true, AtMostOnce: true, Workspace: secondWorkspace}
	return []Kind{
		once, once, resumable,
		{Path: "/unsafe/x", Method: http.MethodPost, Service: "web", AtMostOnce: true, Workspace: firstWorkspace},
		{Path: "/unsafe/x", Method: http.MethodPost, Service: "web", AtMostOnce: true, Workspace: secondWorkspace},
		{Path: "/safe/x", Method: http.MethodGet, Service: "web", Workspace: secondWorkspace},
	}
}

// PacedPrefix is the prefix of the route of PacedStream, MaxPacedTime the time that it allows.
const (
	PacedPrefix  = "/paced/"
	MaxPacedTime = 15 * time.Second
)

// PacedStream returns the kind of streams that take a given time.
func PacedStream(length time.Duration) Kind {
	return Kind{
		Path: PacedPrefix + "x" + standin.PacePath(length/(standin.Events-1)), Method: http.MethodPost, Service: "llm", Stream: true,
		Resumable: true, Workspace: secondWorkspace, Timeout: MaxPacedTime,
	}
}

// PacedKinds returns kinds of plain requests whose answers take a given time.
func PacedKinds(length time.Duration) []Kind {
	suffix := "x" + standin.PacePath(length)
	return []Kind{
		{Path: ShortPrefix + suffix, Method: http.MethodPost, Service: "web", Workspace: secondWorkspace},
		{Path: "/unsafe/" + suffix, Method: http.MethodPost, Service: "web", AtMostOnce: true, Workspace: firstWorkspace},
	}
}

// timeout returns the timeout that callers send with requests of the kind.
func (k Kind) timeout() time.Duration {
	if k.Timeout > 0 {
		return k.Timeout
	}
	return requestTimeout
}

// streamKind returns the kind of streams that can be resumed.
func streamKind() Kind { return Kinds()[0] }

// commonPart is the first part of prompts.
const commonPart = "c0ffee"

// CrashingParts returns the parts of prompts that crash the engines that begin to answer on them.
func CrashingParts() []string { return []string{"dead0", "dead1", "dead2", "dead3"} }

// PartKind returns the kind of requests whose prompts have the n-th crashing part. No two of its calls
// are alike otherwise.
func PartKind(n int) Kind {
	k := streamKind()
	k.Parts = []string{commonPart, CrashingParts()[n%len(CrashingParts())]}
	return k
}

// CrashingPart returns the crashing part of the prompts of a kind, or "".
func (k Kind) CrashingPart() string {
	for _, part := range k.Parts {
		if slices.Contains(CrashingParts(), part) {
			return part
		}
	}
	return ""
}

// Crashes reports whether the request crashes engines, by its body or a part of its prompt.
func (c Call) Crashes() bool {
	return strings.HasPrefix(c.Body, PoisonMarker) || c.Kind.CrashingPart() != ""
}

// PoisonMarker is in the bodies of requests that crash the engines that run them.
const PoisonMarker = "poison"

// PoisonKind returns the kind for the n-th poisoned request of a run. All calls of it have
// the same body.
func PoisonKind(n int) Kind {
	k := streamKind()
	k.Body = PoisonMarker + " " + strconv.Itoa(n)
	return k
}

// Gateway is an instance that accepts requests.
type Gateway struct {
	Name        string
	Incarnation int // number of starts of its process when the request was sent
	Address     netip.AddrPort
}

// Call is one request and its reply, as the caller observed them.
type Call struct {
	ID           string
	Kind         Kind
	Gateway      Gateway
	Body         string
	Sent         time.Time
	Ended        time.Time
	Disconnected bool // the caller disconnected before the answer was complete
	Reply        standin.Response
	// BeganAs is the ID of the call that brought the stream's first event, if this one takes
	// a stream up, and After the number of events received before.
	BeganAs  string
	After    int
	Versions []string // software versions that wrote the stream's events
}

// Origin returns the ID of the call that brought the stream's first event.
func (c Call) Origin() string {
	if c.BeganAs != "" {
		return c.BeganAs
	}
	return c.ID
}

// received returns how many of the stream's events have arrived whole, with those of earlier
// calls.
func (c Call) received() int { return c.After + strings.Count(c.Reply.Body, "\n\n") }

// MayTakeUp reports whether the caller goes on with the stream of this call.
func (c Call) MayTakeUp() bool {
	return c.Kind.Resumable && c.Kind.Body == "" && !c.Crashes() && c.Reply.Err != nil && c.Reply.Status == http.StatusOK &&
		c.received() > 0 && c.received() < standin.Events
}

// comesBack reports whether the caller sends this call again later: no instance answered it, or one named a time.
func (c Call) comesBack() bool {
	return !c.Disconnected && (c.Reply.Status == 0 || c.Reply.Status != http.StatusOK && c.Reply.RetryAfter > 0)
}

const (
	// requestTimeout is the timeout that callers send with most requests; they give up
	// gracePeriod after it.
	requestTimeout = 4 * time.Second
	gracePeriod    = 1500 * time.Millisecond
	// disconnectRatio is the fraction of calls that the caller abandons, at a random time
	// of up to maxDisconnectDelay.
	disconnectRatio    = 0.08
	maxDisconnectDelay = 300 * time.Millisecond
	// maxTakeUps is how often a caller goes on with one stream.
	maxTakeUps = 3
	// awayTime bounds for how long a caller tries to go on with a stream that broke: longer than all instances
	// are down. absentPause is the pause after a try that no instance answered.
	awayTime    = 8 * time.Second
	absentPause = 200 * time.Millisecond
	// keepAliveRatio is the fraction of callers that reuse connections.
	keepAliveRatio = 0.5
)

// Caller sends requests one after another. It must not be used concurrently.
type Caller struct {
	PickGateway func() (Gateway, bool) // returns an instance in the balancer's rotation; false if none is
	NextKind    func() Kind
	Done        func(Call)
	NextID      func() string // returns a new request ID
	KeepAlive   bool          // reuses connections in any case

	client *http.Client
}

// Run sends requests until ctx ends, with random pauses of gap on average.
func (c *Caller) Run(ctx context.Context, gap time.Duration) {
	defer c.Close()
	for ctx.Err() == nil {
		if g, ok := c.PickGateway(); ok {
			c.CallWhole(ctx, g, c.NextKind())
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.Float64() * 2 * float64(gap))):
		}
	}
}

// CallWhole sends one request, which it returns, and takes its stream up if that breaks.
func (c *Caller) CallWhole(ctx context.Context, g Gateway, k Kind) Call {
	call := c.Call(ctx, g, k)
	c.Done(call)
	c.takeUp(ctx, call)
	return call
}

// takeUp goes on with the stream of a call that broke, at whatever instance.
func (c *Caller) takeUp(ctx context.Context, call Call) {
	for n := 0; n < maxTakeUps && call.MayTakeUp() && ctx.Err() == nil; n++ {
		call = c.takeUpOnce(ctx, call)
	}
}

// takeUpOnce tries to go on with the stream of a call that broke until an instance goes on with it or refuses it
// without naming a time to come back, and returns the last try. While all instances are down, it waits for one.
func (c *Caller) takeUpOnce(ctx context.Context, call Call) (last Call) {
	k := call.Kind
	k.Body = call.Body
	for until := time.Now().Add(awayTime); ctx.Err() == nil && time.Now().Before(until); {
		pause := absentPause
		if g, ok := c.PickGateway(); ok {
			last = c.send(ctx, Call{ID: c.NextID(), Kind: k, Gateway: g, Sent: time.Now(), BeganAs: call.Origin(), After: call.received()})
			last.Kind.Body = ""
			c.Done(last)
			if !last.comesBack() {
				return last
			}
			pause = max(last.Reply.RetryAfter, absentPause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return last
}

// Close closes the connections that are kept.
func (c *Caller) Close() {
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
}

// Call sends one request and waits for its end.
func (c *Caller) Call(ctx context.Context, g Gateway, k Kind) Call {
	if c.client == nil {
		c.client = &http.Client{Transport: &http.Transport{
			DisableKeepAlives: !c.KeepAlive && rand.Float64() > keepAliveRatio, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}}
	}
	return c.send(ctx, Call{ID: c.NextID(), Kind: k, Gateway: g, Sent: time.Now()})
}

// send sends the request of a call and completes the call.
func (c *Caller) send(ctx context.Context, call Call) Call {
	k, g := call.Kind, call.Gateway
	switch {
	case k.Body != "":
		call.Body = k.Body
	case k.Method == http.MethodPost:
		call.Body = "body of " + call.ID
	}
	request := standin.Request{ID: call.ID, Address: g.Address, Method: k.Method, Path: k.Path, Body: call.Body, Deadline: k.timeout(), Key: key(k.Workspace), BeganAs: call.BeganAs, LastEvent: call.After}
	if len(k.Parts) > 0 {
		request.Parts = append(slices.Clone(k.Parts), call.Origin())
	}
	ctx, cancel := context.WithTimeout(ctx, k.timeout()+gracePeriod)
	defer cancel()
	var once sync.Once
	if rand.Float64() < disconnectRatio {
		delay := time.Duration(rand.Float64() * float64(maxDisconnectDelay))
		timer := time.AfterFunc(delay, func() { once.Do(func() { call.Disconnected = true }); cancel() })
		defer timer.Stop()
	}
	reply := request.Send(ctx, c.client)
	once.Do(func() {}) // a disconnect after the answer does not count
	reply.Body, call.Versions = standin.SplitVersions(reply.Body)
	call.Reply, call.Ended = reply, time.Now()
	if reply.Err == nil {
		call.Disconnected = false
	}
	return call
}

// SendOne sends a single request on its own connection. Like any call, it may be abandoned.
func SendOne(ctx context.Context, g Gateway, k Kind, id string) Call {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &Caller{NextID: func() string { return id }, client: &http.Client{Transport: transport}}
	return c.Call(ctx, g, k)
}

// LeftOrLate reports whether the caller left before the end of the answer, or the time that it had
// allowed for the answer was over.
func (c Call) LeftOrLate() bool {
	return c.Disconnected || errors.Is(c.Reply.Err, context.Canceled) || errors.Is(c.Reply.Err, context.DeadlineExceeded) ||
		c.Ended.Sub(c.Sent) >= c.Kind.timeout()
}

// TimedOut reports whether the caller gave up because no complete answer came within
// the timeout of its kind and gracePeriod.
func (c Call) TimedOut() bool {
	return c.Reply.Err != nil && c.Ended.Sub(c.Sent) >= c.Kind.timeout()+gracePeriod
}
