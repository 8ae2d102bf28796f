package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/changelog"
	"github.com/trailshed/trailshed/internal/member"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/ticker"
)

const (
	topicHeartbeat = "member.heartbeat"
	topicPull      = "config.pull"
	// contactInterval is the interval at which a heartbeat is sent to one of the contact
	// addresses, so that zones find each other again after a partition.
	contactInterval   = 3 * time.Second
	instancesInterval = 10 * time.Second
	pullTimeout       = 2 * time.Second
	watchersPerZone   = 2
	// discoveryDelay is how long after its start a process may not know all others, which
	// it learns of from heartbeats.
	discoveryDelay = 5 * time.Second
)

// handleHeartbeat updates the member table, and pulls the configuration from a peer that
// has a newer revision.
func (n *Node) handleHeartbeat(_ peer.Sender, h member.Heartbeat) {
	n.mu.Lock()
	joined := n.table.Receive(n.now(), h)
	n.mu.Unlock()
	for _, id := range joined {
		n.log.Info().Str("member", id).Msg("member joined")
	}
	if h.From.Revision > n.changes.Current().Revision && n.pulling.CompareAndSwap(false, true) {
		go n.pull(h.From.Address)
	}
}

// pull fetches a newer configuration from a peer.
func (n *Node) pull(from netip.AddrPort) {
	defer n.pulling.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	after := n.changes.Current().Revision
	delta, err := peer.Call[changelog.Pull, changelog.Delta](ctx, n.transport, from, topicPull, changelog.Pull{After: after})
	if err != nil {
		n.counters.Scope.Counter("config_pull_failed").Inc(1)
		return
	}
	if err := n.changes.ApplyDelta(delta); err != nil {
		n.log.Warn().Err(err).Msg("configuration from peer not applied")
	}
}

func (n *Node) heartbeatLoop(ctx context.Context) {
	heartbeats := time.NewTicker(n.settings.Peers.Heartbeat)
	defer heartbeats.Stop()
	contacts := time.NewTicker(contactInterval)
	defer contacts.Stop()
	instances := time.NewTicker(instancesInterval)
	defer instances.Stop()
	known := n.contactAddresses(ctx)
	n.contact(known, len(known))
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeats.C:
			n.expire()
			n.sendHeartbeats()
		case <-contacts.C:
			n.contact(known, 1)
		case <-instances.C:
			known = n.contactAddresses(ctx)
		}
	}
}

// contactAddresses returns the seeds and the instances in the platform's list, which lags.
func (n *Node) contactAddresses(ctx context.Context) []netip.AddrPort {
	known := n.settings.Peers.SeedAddresses()
	list, err := n.store.Instances(ctx)
	if err != nil {
		return known
	}
	for _, i := range list {
		if !i.Leaving {
			known = append(known, i.Address)
		}
	}
	return known
}

func (n *Node) expire() {
	n.mu.Lock()
	gone := n.table.Expire(n.now())
	n.mu.Unlock()
	for _, id := range gone {
		n.log.Info().Str("member", id).Msg("member gone")
	}
}

// sendHeartbeats sends a heartbeat to a few random peers.
func (n *Node) sendHeartbeats() {
	h := n.nextHeartbeat()
	n.mu.Lock()
	targets := n.table.Targets(n.settings.Peers.Fanout)
	n.mu.Unlock()
	n.sendHeartbeat(h, targets)
}

func (n *Node) nextHeartbeat() member.Heartbeat {
	own := n.dispatcher.Statuses()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.NextHeartbeat(n.now(), n.changes.Current().Revision, own)
}

// contact sends a heartbeat to count random addresses, which need not be known members.
func (n *Node) contact(addresses []netip.AddrPort, count int) {
	picked := slices.Clone(addresses)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	n.sendHeartbeat(n.nextHeartbeat(), picked[:min(count, len(picked))])
}

func (n *Node) sendHeartbeat(h member.Heartbeat, targets []netip.AddrPort) {
	for _, to := range targets {
		if to == n.transport.Address() {
			continue
		}
		if err := peer.Send(n.transport, to, topicHeartbeat, h); err != nil {
			n.counters.Scope.Counter("heartbeat_failed").Inc(1)
		}
	}
}

func (n *Node) reconcileLoop(ctx context.Context) {
	ticker.Every(ctx, reconcileInterval, n.dispatcher.Reconcile)
}

// isDispatcher reports whether this process is the dispatcher of a cell. It is not before
// it has the complete configuration, because endpoints would be missing.
func (n *Node) isDispatcher(name catalog.Cell) bool {
	if !n.changes.Loaded() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.table.Dispatcher(name)
	return ok && m.ID == n.settings.Node.ID
}

func (n *Node) dispatcherOf(name catalog.Cell) (netip.AddrPort, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.table.Dispatcher(name)
	return m.Address, ok
}

func (n *Node) claimOwner(shard string) (netip.AddrPort, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.table.ClaimOwner(shard)
	return m.Address, ok
}

// isWatcher reports whether this process watches the platform for its zone.
func (n *Node) isWatcher() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.table.Watchers(watchersPerZone) {
		if m.ID == n.settings.Node.ID {
			return true
		}
	}
	return false
}

// processes returns the number of known processes. all reports whether this process has
// run long enough to know all of them.
func (n *Node) processes() (count int, all bool) {
	return len(n.members()), n.now().Sub(n.started) >= discoveryDelay
}

func (n *Node) members() []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Live()
}

func (n *Node) status(name catalog.Cell) (member.CellStatus, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Status(name)
}

func (n *Node) cells() []member.CellStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Cells()
}
