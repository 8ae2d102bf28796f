package directory

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/trailshed/trailshed/internal/epoch"
	"github.com/trailshed/trailshed/pkg/clock"
)

// applyEvacuation applies an operator's order on a zone. An older order changes nothing.
func (d *Directory) applyEvacuation(now clock.Millis, e Evacuation) []Change {
	before, known := d.zones[e.Zone]
	if e.Zone == "" || e.Revision <= before.Revision {
		return nil
	}
	if known && before.Ended != e.Ended && d.restore.mayBeOfCopy(now, e.Revision, before.Revision) {
		return nil
	}
	d.zones[e.Zone] = e
	if known && before.Ended == e.Ended || !known && e.Ended {
		return nil
	}
	kind := ZoneEvacuated
	if e.Ended {
		kind = ZoneRestored
	}
	for _, rec := range d.endpoints {
		if rec.endpoint.Zone == e.Zone {
			d.updateIndex(rec)
		}
	}
	return []Change{{Kind: kind, Zone: e.Zone, Revision: e.Revision}}
}

// applyAllEvacuations applies the complete list of evacuations at a revision. Operators'
// entries have no lease, so an evacuation that is not listed is over, even shortly after an
// outage, unless the store was restored and may have lost it.
func (d *Directory) applyAllEvacuations(now clock.Millis, all []Evacuation, revision int64) []Change {
	var changes []Change
	current := map[string]bool{}
	for _, e := range all {
		current[e.Zone] = true
		changes = append(changes, d.applyEvacuation(now, e)...)
	}
	for zone, e := range d.zones {
		if d.restore.settling(now) && epoch.Of(e.Revision) < d.restore.epoch {
			continue // the operators write it again if it holds
		}
		if !current[zone] && !e.Ended && e.Revision < revision {
			changes = append(changes, d.applyEvacuation(now, Evacuation{Zone: zone, Ended: true, Revision: revision})...)
		}
	}
	return changes
}

// isEvacuated reports whether a zone is evacuated.
func (d *Directory) isEvacuated(zone string) bool {
	e, known := d.zones[zone]
	return known && !e.Ended
}

// evacuatedZones returns the evacuated zones and what they contribute to a view's digest.
func (d *Directory) evacuatedZones() (zones map[string]bool, digest uint64) {
	zones = map[string]bool{}
	for zone, e := range d.zones {
		if !e.Ended {
			zones[zone] = true
			digest ^= xxhash.Sum64String(zone + "\x00" + strconv.FormatInt(epoch.Revision(e.Revision), 16))
		}
	}
	return zones, digest
}
