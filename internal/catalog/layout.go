package catalog

import (
	"fmt"
	"maps"
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

// cells is worked out once for each catalog, when first needed.
type cells struct {
	once     sync.Once
	members  map[Cell][]Member
	byServes map[place][]Cell
}

// place is what the parts of one cell have in common.
type place struct{ zone, serves string }

// Layout returns the members of every cell, sorted by name. Callers must not
// change them.
func (c *Catalog) Layout() map[Cell][]Member {
	c.cells.once.Do(c.layOut)
	return c.cells.members
}

// CellsOf returns the cells of a zone that serve a model or plain service.
func (c *Catalog) CellsOf(zone, serves string) []Cell {
	c.cells.once.Do(c.layOut)
	return c.cells.byServes[place{zone, serves}]
}

func (c *Catalog) layOut() {
	c.cells.members = c.membersByCell()
	c.cells.byServes = map[place][]Cell{}
	for name := range c.cells.members {
		p := place{name.Zone, name.Serves}
		c.cells.byServes[p] = append(c.cells.byServes[p], name)
	}
}

func (c *Catalog) membersByCell() map[Cell][]Member {
	sizes := map[Cell]int{}
	for _, e := range c.Endpoints {
		p := c.Pools[e.Pool]
		sizes[Cell{Zone: p.Zone, Serves: p.Serves}]++
	}
	layout := map[Cell][]Member{}
	for _, name := range slices.Sorted(maps.Keys(c.Endpoints)) {
		e := c.Endpoints[name]
		p := c.Pools[e.Pool]
		cell := Cell{Zone: p.Zone, Serves: p.Serves}
		cell.Part = part(name, (sizes[cell]+cellSize-1)/cellSize)
		layout[cell] = append(layout[cell], Member{
			Name: name, Role: p.Role, Address: e.Address, Slots: e.Slots, Link: e.Link,
			Draining: e.State != EndpointServing || p.State != PoolRunning,
		})
	}
	return layout
}

// part places an endpoint by its name alone, so that all nodes agree.
func part(name string, parts int) int {
	return int(xxhash.Sum64String(name) % uint64(max(parts, 1)))
}
