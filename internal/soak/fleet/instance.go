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
	"github.com/trailshed/trailshed/internal/soak/ether"
	"github.com/trailshed/trailshed/internal/soak/link"
	"github.com/trailshed/trailshed/internal/soak/program"
	"github.com/trailshed/trailshed/platform"
	"github.com/trailshed/trailshed/platform/standin"
)

var errNoSuccess = errors.New("no success")

// Ports of an instance, on an address of its own.
const (
	portCallers = 8149
	portReady   = 8141
	portAdmin   = 9464
	portPeers   = 7380
	portShown   = 7381 // of the proxy before portPeers
)

// The retry budget of the whole fleet, as the settings tell it: tight, so that
// it is used up.
const (
	retryRatio  = 0.05
	retrySlack  = 8
	retryWindow = 10 * time.Second
	// grace is the platform's. What is taken on up to 35 % of it after SIGTERM
	// must fit into the rest, also the stand-ins' longest work, 3.3 s.
	grace = 8 * time.Second
)

// The balancer asks each instance every askEvery and takes it out after two
// misses.
const askEvery = 300 * time.Millisecond

// instance is one gateway process with the proxies around it.
type instance struct {
	name, zone string
	regions    string // of all zones, as the settings have them
	ip         netip.Addr
	program    *program.Program
	door       *standin.Door // its way to the store
	doorLink   *link.Link    // before the door
	ether      *ether.Ether  // before its peers' port
	in         atomic.Bool   // the balancer has it in

	mu   sync.Mutex
	deaf float64 // part of the datagrams to it that is lost
	mute float64 // part of those from it
}

// region is that of a zone; each has its own.
func region(zone string) string { return "region-of-" + zone }

func regions(zones []string) string {
	var list []string
	for _, zone := range zones {
		list = append(list, zone+": "+region(zone))
	}
	return strings.Join(list, ", ")
}

func (i *instance) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(i.ip, port) }

func (i *instance) gateway() caller.Gateway {
	return caller.Gateway{Name: i.name, Life: i.program.Life(), At: i.at(portCallers)}
}

func (f *Fleet) addInstance(zone string, n int) error {
	address := f.Network.As4()
	address[3] = byte(10 + len(f.instances))
	i := &instance{name: fmt.Sprintf("%s-%d", zone, n), zone: zone, regions: regions(f.Zones), ip: netip.AddrFrom4(address), door: f.store.Open()}
	var err error
	if i.doorLink, err = link.New(i.door.Address); err != nil {
		return err
	}
	if i.ether, err = ether.New(i.at(portShown), i.at(portPeers), f.loss); err != nil {
		return err
	}
	dir := f.LogDir()
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	i.program = &program.Program{
		File: f.Program, Settings: filepath.Join(dir, i.name+".yaml"), Log: filepath.Join(dir, i.name+".log"),
		Failed: func(how error) { f.checker.Ended(i.name, i.program.Life(), how) },
	}
	f.instances = append(f.instances, i)
	return i.writeSettings(grace)
}

func (i *instance) writeSettings(grace time.Duration) error {
	text := fmt.Sprintf(`instance: {name: %s, zone: %s}
zones: {%s}
callers: {listen: "%s", ready: "%s"}
peers: {listen: "%s", advertise: "%s"}
admin: {listen: "%s"}
store: {address: "%s", timeout: 500ms}
retry: {ratio: %g, slack: %d, window: %s}
stop: {grace: %s}
orders: {gap: 3s}
memory: {limit_mb: 128}
`, i.name, i.zone, i.regions, i.at(portCallers), i.at(portReady), i.at(portPeers), i.at(portShown), i.at(portAdmin),
		i.doorLink.Address, retryRatio, retrySlack, retryWindow, grace)
	return os.WriteFile(i.program.Settings, []byte(text), 0o600)
}

// loss is what is lost between two addresses of peers' ports.
func (f *Fleet) loss(from, to netip.AddrPort) float64 {
	lost := 0.0
	for _, i := range f.instances {
		i.mu.Lock()
		switch i.ip {
		case from.Addr():
			lost = max(lost, i.mute)
		case to.Addr():
			lost = max(lost, i.deaf)
		}
		i.mu.Unlock()
	}
	return lost
}

// lose sets which part of the datagrams from and to an instance is lost.
func (i *instance) lose(mute, deaf float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mute, i.deaf = mute, deaf
}

// close ends the process: by SIGKILL, since the run is over.
func (i *instance) close() {
	program.Over(i.program.Signal(syscall.SIGKILL), patience)
	i.ether.Close()
	i.doorLink.Close()
	i.door.Close()
}

// balance asks the instances whether they are ready until ctx ends.
func (f *Fleet) balance(ctx context.Context) {
	client := &http.Client{Timeout: askEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	missed := map[string]int{}
	for sleep(ctx, askEvery) {
		for _, i := range f.all() {
			if i.answersReady(ctx, client) {
				missed[i.name] = 0
				i.in.Store(true)
				continue
			}
			if missed[i.name]++; missed[i.name] >= 2 {
				i.in.Store(false)
			}
		}
	}
}

func (i *instance) answersReady(ctx context.Context, c *http.Client) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.at(portReady).String()+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := c.Do(req)
	if err != nil {
		return false // a miss, whatever the reason
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick draws an instance that the balancer has in.
func (f *Fleet) pick() (caller.Gateway, bool) {
	all := f.all()
	from := rand.IntN(len(all))
	for n := range all {
		if i := all[(from+n)%len(all)]; i.in.Load() {
			return i.gateway(), true
		}
	}
	return caller.Gateway{}, false
}
