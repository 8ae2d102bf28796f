package node

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trailshed/trailshed/internal/platform"
	"github.com/trailshed/trailshed/internal/quarantine"
	"github.com/trailshed/trailshed/internal/suspects"
	"github.com/trailshed/trailshed/internal/ticker"
)

const (
	// heldPrefix is the prefix of the store's keys for held requests. Each record is
	// stored under its fingerprint, as CBOR.
	heldPrefix = "held/"
	// heldInterval is the interval at which the platform's watchers read the records. A
	// starting process reads them at once. In between, processes inform each other.
	heldInterval = 2 * time.Second
	// heldPageSize is the maximum number of records in one read.
	heldPageSize = 200
)

// openSuspects creates n.suspects, which records the requests that end endpoints.
func (n *Node) openSuspects() {
	n.suspects = suspects.New(suspects.Options{
		Name: n.settings.Node.ID, Zone: n.settings.Node.Zone, Transport: n.transport, Scope: n.counters.Scope, Now: n.now,
		Store: suspects.Store{Save: n.saveHeld, Replace: n.replaceHeld, Remove: n.removeHeld, Read: n.readHeld},
		Peers: n.suspectPeers, Watching: n.isWatcher,
		EndpointGone: func(string) bool { return false }, // no process writes entries of endpoints
		OnHeldChange: func(r quarantine.Record) {
			n.log.Info().Stringer("work", r.Work).Bool("held", r.Held()).Int("ended", len(r.Ended)).Msg("request held or released")
		},
		OnUnreadable: func(err error, _ int64) { n.log.Warn().Err(err).Msg("cannot read the record of a held request") },
	})
}

func (n *Node) suspectPeers() []suspects.Peer {
	var list []suspects.Peer
	for _, m := range n.members() {
		list = append(list, suspects.Peer{Name: m.ID, Zone: m.Zone, Address: m.Address})
	}
	return list
}

// pollHeld reads the stored records at the start and, on a watcher, at every interval
// until ctx ends.
func (n *Node) pollHeld(ctx context.Context) {
	for !n.listHeld(ctx) && ctx.Err() == nil {
		ticker.Sleep(ctx, heldInterval)
	}
	ticker.Every(ctx, heldInterval, func() {
		if n.isWatcher() {
			n.listHeld(ctx)
		}
	})
}

func (n *Node) listHeld(ctx context.Context) bool {
	var update suspects.StoreUpdate
	after := ""
	for {
		page, err := n.store.List(ctx, heldPrefix, after, heldPageSize)
		if err != nil {
			n.counters.Scope.Counter("held_unread").Inc(1)
			return false
		}
		for _, e := range page {
			stored, err := decodeHeld(e)
			if err != nil {
				update.Errors = append(update.Errors, err)
				continue
			}
			update.Records = append(update.Records, stored)
		}
		if len(page) < heldPageSize {
			n.suspects.ApplyStored(update)
			return true
		}
		after = page[len(page)-1].Key
	}
}

func (n *Node) saveHeld(ctx context.Context, r quarantine.Record) (int64, error) {
	return n.replaceHeld(ctx, quarantine.Stored{Record: r})
}

func (n *Node) replaceHeld(ctx context.Context, s quarantine.Stored) (int64, error) {
	value, err := cbor.Marshal(s.Record)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	version, err := n.store.Put(ctx, heldPrefix+s.Work.String(), value, s.Revision)
	if errors.Is(err, platform.ErrConflict) {
		err = errors.Join(suspects.ErrExists, err)
	}
	return version, err
}

func (n *Node) removeHeld(ctx context.Context, r quarantine.Removal) error {
	key := heldPrefix + r.Work.String()
	e, err := n.store.Get(ctx, key)
	if errors.Is(err, platform.ErrMissing) {
		return nil
	}
	if err != nil {
		return err
	}
	return n.store.Delete(ctx, key, e.Version)
}

func (n *Node) readHeld(ctx context.Context, r quarantine.Record) (quarantine.Stored, error) {
	e, err := n.store.Get(ctx, heldPrefix+r.Work.String())
	if err != nil {
		return quarantine.Stored{}, err
	}
	return decodeHeld(e)
}

func decodeHeld(e platform.Entry) (quarantine.Stored, error) {
	stored := quarantine.Stored{Revision: e.Version}
	if err := cbor.Unmarshal(e.Value, &stored.Record); err != nil {
		return stored, Error.New("key %s: %v", e.Key, err)
	}
	return stored, nil
}
