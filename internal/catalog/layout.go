package catalog

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// cellSize is the number of endpoints from which a cell is split.
const cellSize = 48

// Cell names the endpoints of one zone that serve one model or plain service,
// or one part of them where they are many.
type Cell struct {
	Zone   string `cbor:"1,keyasint" json:"zone"`
	Serves string `cbor:"2,keyasint" json:"serves"`
	Part   int    `cbor:"3,keyasint,omitempty" json:"part"`
}

// Compare orders cells by zone, what they serve and part.
func (c Cell) Compare(o Cell) int {
	return cmp.Or(cmp.Compare(c.Zone, o.Zone), cmp.Compare(c.Serves, o.Serves), cmp.Compare(c.Part, o.Part))
}

// String returns zone/serves/part.
func (c Cell) String() string { return fmt.Sprintf("%s/%s/%d", c.Zone, c.Serves, c.Part) }

// Member is an endpoint as its cell sees it.
type Member struct {
	Name     string
	Role     string
	Address  netip.AddrPort
	Slots    int
	Link     int
	Draining bool // takes no new work
}

// layouts are worked out once for each zone that asks, which is the own one.
type layouts struct {
	mu     sync.Mutex
	byZone map[string]*layout
}

type layout struct {
	members  map[Cell][]Member
	byServes map[string][]Cell
}

// Layout returns the members of every cell of a zone, sorted by name. Callers
// must not change them.
func (c *Catalog) Layout(zone string) map[Cell][]Member { return c.layout(zone).members }

// CellsOf returns the cells of a zone that serve a model or plain service.
func (c *Catalog) CellsOf(zone, serves string) []Cell { return c.layout(zone).byServes[serves] }

func (c *Catalog) layout(zone string) *layout {
	c.layouts.mu.Lock()
	defer c.layouts.mu.Unlock()
	l, ok := c.layouts.byZone[zone]
	if !ok {
		l = c.layOut(zone)
		if c.layouts.byZone == nil {
			c.layouts.byZone = map[string]*layout{}
		}
		c.layouts.byZone[zone] = l
	}
	return l
}

func (c *Catalog) layOut(zone string) *layout {
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
		cell := Cell{Zone: zone, Serves: p.Serves, Part: part(name, (sizes[p.Serves]+cellSize-1)/cellSize)}
		l.members[cell] = append(l.members[cell], Member{
			Name: name, Role: p.Role, Address: e.Address, Slots: e.Slots, Link: e.Link,
			Draining: e.State != EndpointServing || p.State != PoolRunning,
		})
	}
	for cell := range l.members {
		l.byServes[cell.Serves] = append(l.byServes[cell.Serves], cell)
	}
	return l
}

// part places an endpoint by its name alone, so that all nodes agree.
func part(name string, parts int) int {
	return int(xxhash.Sum64String(name) % uint64(max(parts, 1)))
}
