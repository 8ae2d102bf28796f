package directory

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// evacuate takes what the operators want of a zone. An older order changes nothing.
func (d *Directory) evacuate(e Evacuation) []Change {
	before, known := d.zones[e.Zone]
	if e.Zone == "" || e.Revision <= before.Revision {
		return nil
	}
	d.zones[e.Zone] = e
	if known && before.Over == e.Over || !known && e.Over {
		return nil
	}
	what := ZoneEvacuated
	if e.Over {
		what = ZoneRestored
	}
	for _, h := range d.endpoints {
		if h.endpoint.Zone == e.Zone {
			d.show(h)
		}
	}
	return []Change{{What: what, Zone: e.Zone, Revision: e.Revision}}
}

// evacuateOnly takes all evacuations that stand at a revision. Operators' entries have
// no lease, so one that is absent is over also shortly after an outage.
func (d *Directory) evacuateOnly(all []Evacuation, revision int64) []Change {
	var changes []Change
	standing := map[string]bool{}
	for _, e := range all {
		standing[e.Zone] = true
		changes = append(changes, d.evacuate(e)...)
	}
	for zone, e := range d.zones {
		if !standing[zone] && !e.Over && e.Revision < revision {
			changes = append(changes, d.evacuate(Evacuation{Zone: zone, Over: true, Revision: revision})...)
		}
	}
	return changes
}

// isEvacuated says whether a zone is evacuated.
func (d *Directory) isEvacuated(zone string) bool {
	e, known := d.zones[zone]
	return known && !e.Over
}

// evacuated returns the zones that are evacuated and what a digest has of them.
func (d *Directory) evacuated() (zones map[string]bool, digest uint64) {
	zones = map[string]bool{}
	for zone, e := range d.zones {
		if !e.Over {
			zones[zone] = true
			digest ^= xxhash.Sum64String(zone + "\x00" + strconv.FormatInt(e.Revision, 16))
		}
	}
	return zones, digest
}
