//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/trailshed/trailshed/internal/soak/program"
	"github.com/trailshed/trailshed/platform/standin"
)

// Bounds of the users' small sites.
const (
	drainTime   = 2 * time.Second // until an endpoint that leaves gets no more requests
	configTime  = 2 * time.Second // until a configuration is in force
	contactTime = 3 * time.Second // without disruption, until an instance is in touch
	grace       = 8 * time.Second
)

// settingsFormat has the keys of the deployment's template, with the bounds of a small site.
const settingsFormat = `instance: {name: %s, zone: %s}
zones: {zone-a: region, zone-b: region, zone-c: region}
callers: {listen: "%s", ready: "%s"}
peers: {listen: "%s"}
admin: {listen: "%s"}
store: {address: "%s"}
retry: {ratio: 0.2, slack: 56, window: 10s}
stop: {grace: 8s}
orders: {gap: 3000ms}
freshness: {configuration: 2000ms, endpoints: 2000ms}
memory: {limit_mb: 134}
processor: {share: 0.4, speed: 1}
`

// gateway is one process of the product.
type gateway struct {
	name    string
	address netip.AddrPort
	proxy   *proxy
	program *program.Program
	client  *http.Client
}

// fleet is a small deployment: the product's processes, and stand-ins of all else.
type fleet struct {
	dir      string
	store    *standin.Store
	server   *httptest.Server
	gateways []*gateway
	record   *record
	given    map[netip.AddrPort]bool // addresses of the processes
	ids      atomic.Int64
	exits    atomic.Int64 // of processes, unexpected

	mu        sync.Mutex
	endpoints []*standin.Endpoint
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newFleet starts perZone instances in each of three zones.
func newFleet(binary, dir string, r *record, perZone int) (*fleet, error) {
	f := &fleet{dir: dir, store: standin.NewStore(), record: r, given: map[netip.AddrPort]bool{}}
	f.store.PageSize = 500
	f.server = httptest.NewServer(f.store.Handler())
	for n := range perZone {
		for _, zone := range zones {
			if err := f.addGateway(binary, fmt.Sprintf("%s-%d", zone, n+1), zone); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *fleet) addGateway(binary, name, zone string) error {
	p, err := newProxy(f.server.Listener.Addr().String(), func() { f.record.note("%s: a connection to the store has gone silent", name) })
	if err != nil {
		return err
	}
	ports, err := f.freePorts(4)
	if err != nil {
		return err
	}
	g := &gateway{name: name, address: ports[0], proxy: p, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	g.program = &program.Program{
		Executable: binary, Settings: filepath.Join(f.dir, name+".yaml"), Log: filepath.Join(f.dir, name+".log"),
		OnFailure: func(how error) {
			f.exits.Add(1)
			f.record.note("%s ended by itself: %v", name, how)
		},
	}
	text := fmt.Sprintf(settingsFormat, name, zone, ports[0], ports[1], ports[2], ports[3], p.address)
	if err := os.WriteFile(g.program.Settings, []byte(text), 0o600); err != nil {
		return err
	}
	f.gateways = append(f.gateways, g)
	return nil
}

// freePorts returns loopback addresses whose ports are free for TCP and UDP. Their ports are below those that the
// kernel gives to connections, one of which might take a port before its process listens.
func (f *fleet) freePorts(n int) (list []netip.AddrPort, err error) {
	const first, count, tries = 20_000, 10_000, 1000
	for range tries {
		if len(list) == n {
			return list, nil
		}
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(first+rand.IntN(count)))
		if f.given[at] {
			continue
		}
		l, err := net.Listen("tcp", at.String())
		if err != nil {
			continue
		}
		defer l.Close()
		if u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err == nil {
			defer u.Close()
			f.given[at] = true
			list = append(list, at)
		}
	}
	return nil, errors.New("no free ports")
}

// addEndpoint starts an endpoint of a plain service whose requests take some time, and registers it.
func (f *fleet) addEndpoint(id, service, zone string, work time.Duration) *standin.Endpoint {
	e := standin.NewEndpoint(id, service, zone, "")
	e.SetBehaviour(standin.Behaviour{Delay: work})
	e.Register(f.store, "ready")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = append(f.endpoints, e)
	return e
}

// start starts all processes and waits until each has served a request.
func (f *fleet) start(path string) error {
	for _, g := range f.gateways {
		if err := g.program.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, g := range f.gateways {
		for f.send(g, path).Status != http.StatusOK {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s serves nothing", g.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// send sends one request that may run only once, and records it with its answer.
func (f *fleet) send(g *gateway, path string) call {
	c := call{id: fmt.Sprintf("r%06d", f.ids.Add(1)), gateway: g.name, path: path, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	c.Response = standin.Request{ID: c.id, Address: g.address, Path: path, Body: "b"}.Send(ctx, g.client)
	c.ended = time.Now()
	f.record.add(c)
	return c
}

// load sends requests to every instance at an interval until ctx ends, and waits for the answers.
func (f *fleet) load(ctx context.Context, path string, interval time.Duration) (wait func()) {
	var group sync.WaitGroup
	for _, g := range f.gateways {
		group.Go(func() {
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					group.Go(func() { f.send(g, path) })
				}
			}
		})
	}
	return group.Wait
}

// close ends all processes.
func (f *fleet) close() {
	var group sync.WaitGroup
	for _, g := range f.gateways {
		group.Go(func() {
			if exited := g.program.Signal(syscall.SIGTERM); !program.WaitExit(exited, grace) {
				program.WaitExit(g.program.Signal(syscall.SIGKILL), time.Second)
			}
		})
	}
	group.Wait()
}
