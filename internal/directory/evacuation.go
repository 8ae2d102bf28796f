package directory

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// applyEvacuation applies an operator's order on a zone. An older order changes nothing.
func (d *Directory) applyEvacuation(e Evacuation) []Change {
	before, known := d.zones[e.Zone]
	if e.Zone == "" || e.Revision <= before.Revision {
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
// outage.
func (d *Directory) applyAllEvacuations(all []Evacuation, revision int64) []Change {
	var changes []Change
	current := map[string]bool{}
	for _, e := range all {
		current[e.Zone] = true
		changes = append(changes, d.applyEvacuation(e)...)
	}
	for zone, e := range d.zones {
		if !current[zone] && !e.Ended && e.Revision < revision {
			changes = append(changes, d.applyEvacuation(Evacuation{Zone: zone, Ended: true, Revision: revision})...)
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
			digest ^= xxhash.Sum64String(zone + "\x00" + strconv.FormatInt(e.Revision, 16))
		}
	}
	return zones, digest
}
