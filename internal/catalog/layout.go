package catalog

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// targetCellSize is the number of endpoints above which a cell is split. It
// bounds the average number of endpoints in its parts.
const targetCellSize = 48

// Cell identifies the endpoints of one zone that serve one model or plain
// service, or one part of them if there are more than fit in one cell.
type Cell struct {
	Zone   string `cbor:"1,keyasint" json:"zone"`
	Serves string `cbor:"2,keyasint" json:"serves"`
	Part   int    `cbor:"3,keyasint,omitempty" json:"part"`
}

// Compare orders cells by zone, served model or service, and part.
func (c Cell) Compare(o Cell) int {
	return cmp.Or(cmp.Compare(c.Zone, o.Zone), cmp.Compare(c.Serves, o.Serves), cmp.Compare(c.Part, o.Part))
}

// String returns the cell in the form zone/serves/part.
func (c Cell) String() string { return fmt.Sprintf("%s/%s/%d", c.Zone, c.Serves, c.Part) }

// Member is an endpoint of a cell, with the settings that its dispatcher needs.
type Member struct {
	Name     string
	Role     string
	Address  netip.AddrPort
	Slots    int
	LinkRate int
	Draining bool // takes no new work
}

// layouts caches the layout of each requested zone. A process usually requests
// only its own zone.
type layouts struct {
	mu     sync.Mutex
	byZone map[string]*layout
}

type layout struct {
	members  map[Cell][]Member
	byServes map[string][]Cell
}

// Layout returns the members of every cell of a zone, sorted by name. The
// result is shared and must not be modified.
func (c *Catalog) Layout(zone string) map[Cell][]Member { return c.layout(zone).members }

// CellsOf returns the cells of a zone that serve the given model or plain
// service.
func (c *Catalog) CellsOf(zone, serves string) []Cell { return c.layout(zone).byServes[serves] }

func (c *Catalog) layout(zone string) *layout {
	c.layouts.mu.Lock()
	defer c.layouts.mu.Unlock()
	l, ok := c.layouts.byZone[zone]
	if !ok {
		l = c.computeLayout(zone)
		if c.layouts.byZone == nil {
			c.layouts.byZone = map[string]*layout{}
		}
		c.layouts.byZone[zone] = l
	}
	return l
}

func (c *Catalog) computeLayout(zone string) *layout {
	sizes := map[string]int{}
	var names []string
	for name, e := range c.Endpoints {
		if p := c.Pools[e.Pool]; p.Zone == zone {
			sizes[p.Serves]++
			names = append(names, name)
		}
	}
	slices.Sort(names)
	l := &layout{members: map[Cell][]Member{}, byServes: map[string][]Cell{}}
	for _, name := range names {
		e := c.Endpoints[name]
		p := c.Pools[e.Pool]
		cell := Cell{Zone: zone, Serves: p.Serves, Part: partOf(name, (sizes[p.Serves]+targetCellSize-1)/targetCellSize)}
		l.members[cell] = append(l.members[cell], Member{
			Name: name, Role: p.Role, Address: e.Address, Slots: e.Slots, LinkRate: e.LinkRate,
			Draining: e.State != EndpointServing || p.State != PoolRunning,
		})
	}
	for cell := range l.members {
		l.byServes[cell.Serves] = append(l.byServes[cell.Serves], cell)
	}
	return l
}

// partOf assigns an endpoint to a part by its name alone, so that all nodes agree.
func partOf(name string, parts int) int {
	return int(xxhash.Sum64String(name) % uint64(max(parts, 1)))
}
