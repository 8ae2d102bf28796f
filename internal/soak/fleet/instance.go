package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/checker"
	"github.com/trailshed/trailshed/internal/soak/ether"
	"github.com/trailshed/trailshed/internal/soak/link"
	"github.com/trailshed/trailshed/internal/soak/program"
	"github.com/trailshed/trailshed/internal/soak/schedule"
	"github.com/trailshed/trailshed/platform"
	"github.com/trailshed/trailshed/platform/standin"
)

var errNoSuccess = errors.New("no success")

// Ports of an instance; each instance has its own address.
const (
	portCallers    = 8149
	portReady      = 8141
	portAdmin      = 9464
	portPeers      = 7380
	portAdvertised = 7381 // of the proxy in front of portPeers
)

// The retry budget in the settings, shared by the whole fleet. It is small so that runs
// exhaust it, and ampler in runs which check that requests are sent again.
const (
	ampleRatio  = 1
	ampleSlack  = checker.AmpleRetrySlack
	retryRatio  = 0.05
	retrySlack  = 8
	retryWindow = 10 * time.Second
	// grace is the platform's grace period. Requests are accepted for up to 35 % of it
	// after SIGTERM and must complete in the remaining time, including the stand-ins'
	// longest answer, which takes 3.3 s.
	grace = 8 * time.Second
)

// healthInterval is the interval of the balancer's readiness checks. Two failed checks in
// a row remove an instance from the rotation.
const healthInterval = 300 * time.Millisecond

// instance is one gateway process with the proxies around it.
type instance struct {
	name, zone string
	regions    string // regions of all zones, in the format of the settings
	ip         netip.Addr
	program    *program.Program
	storeProxy *standin.Proxy // its access to the store
	storeLink  *link.Link     // in front of storeProxy
	peerProxy  *ether.Proxy   // in front of its port for peers
	inRotation atomic.Bool    // the balancer sends it requests
	refuses    bool           // its settings let it refuse connections in overload
	retryRatio float64
	retrySlack float64

	mu           sync.Mutex
	inboundLoss  float64 // fraction of the datagrams to it that is dropped
	outboundLoss float64 // fraction of the datagrams from it that is dropped
	linkFaults   int     // faults of its links to endpoints that are in force
}

// retryBudget returns the retry budget of a run.
func (o Options) retryBudget() (ratio, slack float64) {
	if o.OnlyKind == schedule.Endless || o.OnlyKind == schedule.Refuse {
		return ampleRatio, ampleSlack
	}
	return retryRatio, retrySlack
}

// region returns the region of a zone; each zone has its own.
func region(zone string) string { return "region-of-" + zone }

// regions returns the regions of zones in the format of the settings.
func regions(zones []string) string {
	var list []string
	for _, zone := range zones {
		list = append(list, zone+": "+region(zone))
	}
	return strings.Join(list, ", ")
}

func (i *instance) addr(port uint16) netip.AddrPort { return netip.AddrPortFrom(i.ip, port) }

func (i *instance) gateway() caller.Gateway {
	return caller.Gateway{Name: i.name, Incarnation: i.program.Incarnation(), Address: i.addr(portCallers)}
}

// addInstance prepares an instance with its proxies, without starting the process.
func (f *Fleet) addInstance(zone string, n int) error {
	address := f.Network.As4()
	address[3] = byte(10 + len(f.instances))
	i := &instance{name: fmt.Sprintf("%s-%d", zone, n), zone: zone, regions: regions(f.Zones), ip: netip.AddrFrom4(address), storeProxy: f.store.NewProxy()}
	i.retryRatio, i.retrySlack = f.retryBudget()
	var err error
	if i.storeLink, err = link.New(i.storeProxy.Address); err != nil {
		return err
	}
	if i.peerProxy, err = ether.New(i.addr(portAdvertised), i.addr(portPeers), f.loss); err != nil {
		return err
	}
	dir := f.LogDir()
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	i.program = &program.Program{
		Executable: f.Program, Settings: filepath.Join(dir, i.name+".yaml"), Log: filepath.Join(dir, i.name+".log"),
		OnFailure: func(how error) { f.checker.ProcessExited(i.name, i.program.Incarnation(), how) },
	}
	f.mu.Lock()
	f.instances = append(f.instances, i)
	f.mu.Unlock()
	return i.writeSettings(grace)
}

// writeSettings writes the settings file with a grace period.
func (i *instance) writeSettings(grace time.Duration) error {
	text := fmt.Sprintf(`instance: {name: %s, zone: %s}
zones: {%s}
callers: {listen: "%s", ready: "%s", refuse: %t}
peers: {listen: "%s", advertise: "%s"}
admin: {listen: "%s"}
store: {address: "%s", timeout: 500ms}
retry: {ratio: %g, slack: %g, window: %s}
stop: {grace: %s}
orders: {gap: 3s}
memory: {limit_mb: 128}
`, i.name, i.zone, i.regions, i.addr(portCallers), i.addr(portReady), i.refuses, i.addr(portPeers), i.addr(portAdvertised), i.addr(portAdmin),
		i.storeLink.Address, i.retryRatio, i.retrySlack, retryWindow, grace)
	return os.WriteFile(i.program.Settings, []byte(text), 0o600)
}

// loss returns the fraction of datagrams to drop between the peer addresses of two
// instances.
func (f *Fleet) loss(from, to netip.AddrPort) float64 {
	fraction := 0.0
	for _, i := range f.allInstances() {
		i.mu.Lock()
		switch i.ip {
		case from.Addr():
			fraction = max(fraction, i.outboundLoss)
		case to.Addr():
			fraction = max(fraction, i.inboundLoss)
		}
		i.mu.Unlock()
	}
	return fraction
}

// setLoss sets the fractions of datagrams from and to an instance that are dropped.
func (i *instance) setLoss(outbound, inbound float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.outboundLoss, i.inboundLoss = outbound, inbound
}

// close ends the process, by SIGKILL since the run is over, and closes the proxies.
func (i *instance) close() {
	program.WaitExit(i.program.Signal(syscall.SIGKILL), waitTimeout)
	i.peerProxy.Close()
	i.storeLink.Close()
	i.storeProxy.Close()
}

// balance checks the readiness of all instances until ctx ends, and adds them to the
// rotation or removes them from it.
func (f *Fleet) balance(ctx context.Context) {
	client := &http.Client{Timeout: healthInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	failures := map[string]int{}
	for sleep(ctx, healthInterval) {
		for _, i := range f.allInstances() {
			if i.isReady(ctx, client) {
				failures[i.name] = 0
				i.inRotation.Store(true)
				continue
			}
			if failures[i.name]++; failures[i.name] >= 2 {
				i.inRotation.Store(false)
			}
		}
	}
}

// isReady reports whether an instance's readiness check succeeds.
func (i *instance) isReady(ctx context.Context, c *http.Client) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.addr(portReady).String()+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := c.Do(req)
	if err != nil {
		return false // any error is a failed check
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pickInstance draws an instance in rotation; false if there is none.
func (f *Fleet) pickInstance() (caller.Gateway, bool) {
	all := f.allInstances()
	start := rand.IntN(len(all))
	for n := range all {
		if i := all[(start+n)%len(all)]; i.inRotation.Load() {
			return i.gateway(), true
		}
	}
	return caller.Gateway{}, false
}
