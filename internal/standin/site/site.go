// Package site runs a platform, endpoints and nodes in one process, for end-to-end
// tests.
package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/trailshed/trailshed/internal/node"
	"github.com/trailshed/trailshed/internal/settings"
	"github.com/trailshed/trailshed/internal/standin/cert"
	"github.com/trailshed/trailshed/internal/standin/engine"
	"github.com/trailshed/trailshed/internal/standin/platform"
)

// Token is the operator token of all nodes.
const Token = "operator"

// Site is a platform with endpoints and nodes.
type Site struct {
	Platform *platform.Platform
	Engines  map[string]*engine.Engine
	Nodes    []*Node

	dir       string
	authority *cert.Authority
	server    *httptest.Server
	enginesMu sync.Mutex // guards engines
	engines   map[string]*httptest.Server
	addresses map[string]string
	seeds     []string
}

// Node is a running node with its addresses.
type Node struct {
	ID      string
	Callers string
	Admin   string
	peers   netip.AddrPort
	running *node.Node
	stop    context.CancelFunc
	done    chan struct{}
}

// Open starts a platform without endpoints or nodes; certificates are written to dir.
func Open(dir string) (*Site, error) {
	s := &Site{
		Platform: platform.New(1000, 4000, 10*time.Millisecond), Engines: map[string]*engine.Engine{}, engines: map[string]*httptest.Server{},
		dir: dir, addresses: map[string]string{},
	}
	s.server = httptest.NewServer(s.Platform.Handler())
	var err error
	s.authority, err = cert.NewAuthority(dir)
	return s, err
}

// Close stops the nodes, then the endpoints and the platform.
func (s *Site) Close() {
	for _, n := range s.Nodes {
		n.Stop()
	}
	for _, e := range s.engines {
		e.CloseClientConnections()
		e.Close()
	}
	for _, e := range s.Engines {
		e.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
}

// AddEngine starts an endpoint.
func (s *Site) AddEngine(name string, t engine.Traits) {
	e := engine.New(t)
	server := httptest.NewServer(e.Handler())
	s.Engines[name], s.addresses[name] = e, server.Listener.Addr().String()
	s.setEngine(name, server)
	e.Crash = func() { s.crash(name) }
}

// RestartEngine restarts a crashed endpoint at its previous address.
func (s *Site) RestartEngine(name string) error {
	l, err := net.Listen("tcp", s.addresses[name]) //nolint:noctx // closed with the site
	if err != nil {
		return err
	}
	server := httptest.NewUnstartedServer(s.Engines[name].Handler())
	_ = server.Listener.Close()
	server.Listener = l
	server.Start()
	s.setEngine(name, server)
	return nil
}

func (s *Site) setEngine(name string, server *httptest.Server) {
	s.enginesMu.Lock()
	defer s.enginesMu.Unlock()
	s.engines[name] = server
}

func (s *Site) engine(name string) *httptest.Server {
	s.enginesMu.Lock()
	defer s.enginesMu.Unlock()
	return s.engines[name]
}

// crash simulates the end of an endpoint's process. It is called by one of the
// endpoint's handlers.
func (s *Site) crash(name string) {
	server := s.engine(name)
	_ = server.Listener.Close()
	go server.CloseClientConnections() // in a goroutine, as it waits for the handlers
}

// KillEngine closes an endpoint's server and its connections.
func (s *Site) KillEngine(name string) {
	server := s.engine(name)
	server.CloseClientConnections()
	server.Close()
}

// Address returns an endpoint's address.
func (s *Site) Address(name string) string { return s.addresses[name] }

// AddNode starts a node in a zone and waits until it is healthy. If change is not
// nil, it modifies the settings first.
func (s *Site) AddNode(id, zone string, change func(*settings.Settings)) (*Node, error) {
	if err := s.authority.Issue(id); err != nil {
		return nil, err
	}
	set, err := s.settings(id, zone)
	if err != nil {
		return nil, err
	}
	if change != nil {
		change(set)
	}
	running, err := node.New(set, zerolog.New(os.Stderr).Level(zerolog.ErrorLevel))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	peers, callers, admin := running.Addresses()
	n := &Node{
		ID: id, Callers: callers.String(), Admin: admin.String(), peers: peers,
		running: running, stop: stop, done: make(chan struct{}),
	}
	go func() {
		defer close(n.done)
		if err := running.Run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, id, err)
		}
	}()
	s.Nodes = append(s.Nodes, n)
	s.seeds = append(s.seeds, peers.String())
	return n, n.waitHealthy()
}

// Peers returns the address at which other nodes connect to this one.
func (n *Node) Peers() netip.AddrPort { return n.peers }

// Unlink makes a node's own connections to all endpoints fail if lost is set.
func (n *Node) Unlink(lost bool) { n.running.Unlink(func(netip.AddrPort) bool { return lost }) }

// Partition drops the messages between the given nodes and all others. Without arguments it
// ends the partition.
func (s *Site) Partition(group ...*Node) {
	for _, n := range s.Nodes {
		inside := slices.Contains(group, n)
		n.running.Partition(func(to netip.AddrPort) bool {
			i := slices.IndexFunc(s.Nodes, func(o *Node) bool { return o.peers == to })
			return i >= 0 && slices.Contains(group, s.Nodes[i]) != inside
		})
	}
}

// BeginStop starts stopping the node and does not wait.
func (n *Node) BeginStop() { n.stop() }

// Stop stops the node and waits until it has stopped.
func (n *Node) Stop() {
	n.stop()
	<-n.done
}

// waitHealthy waits up to 10 s until the node answers health checks.
func (n *Node) waitHealthy() error {
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + n.Admin + "/healthz") //nolint:noctx // a test's poll
		if err == nil {
			return resp.Body.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("node %s does not answer health checks", n.ID)
}

func (s *Site) settings(id, zone string) (*settings.Settings, error) {
	file := filepath.Join(s.dir, id)
	text := fmt.Sprintf(`
node: {id: %s, zone: %s}
peers: {listen: "127.0.0.1:0", seeds: [%s], ca: %q, certificate: %q, key: %q, heartbeat: 100ms, gone_after: 1s}
callers: {listen: "127.0.0.1:0", leave_delay: 100ms}
admin: {listen: "127.0.0.1:0", token: %s}
platform: {address: "%s", timeout: 500ms, watch: 2s}
`, id, zone, quoteList(s.seeds), filepath.Join(s.dir, "ca.pem"), file+".pem", file+".key",
		Token, s.server.Listener.Addr())
	return settings.Parse(id+".yaml", []byte(text))
}

func quoteList(all []string) string {
	parts := make([]string, 0, len(all))
	for _, s := range all {
		parts = append(parts, fmt.Sprintf("%q", s))
	}
	return strings.Join(parts, ", ")
}
