// Package caller sends requests as the users' clients do and remembers what it
// got: each try has an id of its own, some callers keep their connections, some
// leave before their answer.
package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/trailshed/trailshed/platform/standin"
)

// Kind is a kind of request.
type Kind struct {
	Path    string
	Method  string
	Service string
	Once    bool // it must not run twice
	Stream  bool
	Version int    // of the configuration that brought its route; 0: the first one
	Body    string // of each request; empty: each has its own
	// Workspace is in whose name it is asked.
	Workspace string
	Home      string // the only zone whose endpoints may see it; empty: all may
}

// The workspaces of the soak. Limited sends more than it may.
const (
	first   = "thorn"
	second  = "amber"
	Limited = "fern"
)

// Limit of Limited, in requests: a second, and besides.
const (
	LimitRate  = 6
	LimitBurst = 6
)

// Workspaces are those of every configuration.
func Workspaces() []standin.Workspace {
	return []standin.Workspace{
		{Name: first, Keys: []string{key(first)}, Priority: 1},
		{Name: second, Keys: []string{key(second)}, Priority: 2},
		{Name: Limited, Keys: []string{key(Limited)}, Priority: 2, Rate: LimitRate, Burst: LimitBurst},
	}
}

func key(workspace string) string { return "key-of-" + workspace }

// Kinds are those of the first configuration.
func Kinds() []Kind {
	return []Kind{
		{Path: "/stream/x", Method: http.MethodPost, Service: "llm", Stream: true, Workspace: first},
		{Path: "/once" + standin.LongPath, Method: http.MethodPost, Service: "llm", Stream: true, Once: true, Workspace: first},
		{Path: "/once/x", Method: http.MethodPost, Service: "llm", Stream: true, Once: true, Workspace: second},
		{Path: "/safe/x", Method: http.MethodGet, Service: "web", Workspace: second},
		{Path: "/unsafe/x", Method: http.MethodPost, Service: "web", Once: true, Workspace: first},
		{Path: "/unsafe/y", Method: http.MethodPost, Service: "web", Once: true, Workspace: Limited},
	}
}

// Added is the kind that a configuration of a version adds.
func Added(version int) Kind {
	return Kind{Path: "/v" + strconv.Itoa(version) + "/x", Method: http.MethodGet, Service: "web", Version: version, Workspace: first}
}

// Home is the kind that a zone's region alone may serve.
func Home(zone string) Kind {
	return Kind{Path: "/home/x", Method: http.MethodGet, Service: "web", Workspace: first, Home: zone}
}

// PoisonMark is in the bodies of requests that end the engines that run them.
const PoisonMark = "poison"

// Poison is the n-th such request of a run: each of its tries has the same body.
func Poison(n int) Kind {
	k := Kinds()[0]
	for _, other := range Kinds() {
		if other.Path == "/stream/x" {
			k = other
		}
	}
	k.Body = PoisonMark + " " + strconv.Itoa(n)
	return k
}

// Gateway is an instance that takes requests.
type Gateway struct {
	Name string
	Life int // of its process, when the request was sent
	At   netip.AddrPort
}

// Call is one request as its caller knows it.
type Call struct {
	ID      string
	Kind    Kind
	Gateway Gateway
	Body    string
	Sent    time.Time
	Ended   time.Time
	Left    bool // the caller went away before the answer
	Reply   standin.Reply
}

const (
	// wait is what callers say they will wait; they give up graceTime later.
	wait      = 4 * time.Second
	graceTime = 1500 * time.Millisecond
	// leaveShare of the callers leave, some time within leaveMost.
	leaveShare = 0.08
	leaveMost  = 300 * time.Millisecond
	// keepShare of the callers keep their connections.
	keepShare = 0.5
)

// Caller sends one request after the other. It is used by one goroutine.
type Caller struct {
	Pick func() (Gateway, bool) // an instance that the balancer has in; false: none
	Kind func() Kind
	Done func(Call)
	Next func() string // an id

	client *http.Client
}

// Run calls until ctx ends, with pauses of gap at the mean.
func (c *Caller) Run(ctx context.Context, gap time.Duration) {
	c.client = &http.Client{Transport: &http.Transport{
		DisableKeepAlives: rand.Float64() > keepShare, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if g, ok := c.Pick(); ok {
			c.Done(c.Call(ctx, g, c.Kind()))
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.Float64() * 2 * float64(gap))):
		}
	}
}

// Call sends one request.
func (c *Caller) Call(ctx context.Context, g Gateway, k Kind) Call {
	call := Call{ID: c.Next(), Kind: k, Gateway: g, Sent: time.Now()}
	switch {
	case k.Body != "":
		call.Body = k.Body
	case k.Method == http.MethodPost:
		call.Body = "body of " + call.ID
	}
	ctx, cancel := context.WithTimeout(ctx, wait+graceTime)
	defer cancel()
	var once sync.Once
	if rand.Float64() < leaveShare {
		after := time.Duration(rand.Float64() * float64(leaveMost))
		timer := time.AfterFunc(after, func() { once.Do(func() { call.Left = true }); cancel() })
		defer timer.Stop()
	}
	ask := standin.Ask{ID: call.ID, To: g.At, Method: k.Method, Path: k.Path, Body: call.Body, Wait: wait, Key: key(k.Workspace)}
	reply := ask.Send(ctx, c.client)
	once.Do(func() {}) // a caller that left later than its answer has not left
	call.Reply, call.Ended = reply, time.Now()
	if reply.Err == nil {
		call.Left = false
	}
	return call
}

// One sends a single request on a connection of its own.
func One(ctx context.Context, g Gateway, k Kind, id string) Call {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &Caller{Next: func() string { return id }, client: &http.Client{Transport: transport}}
	return c.Call(ctx, g, k)
}

// Hung says that a call's caller gave up waiting although its time was over.
func (c Call) Hung() bool { return c.Reply.Err != nil && c.Ended.Sub(c.Sent) >= wait+graceTime }
