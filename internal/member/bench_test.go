package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/internal/member"
)

// BenchmarkHeartbeat measures building, encoding, decoding and merging one
// heartbeat, in a cluster of 24 zones with 9 cells and the given number of
// members each.
func BenchmarkHeartbeat(b *testing.B) {
	for _, each := range []int{2, 25, 75} {
		b.Run(fmt.Sprintf("%d members a zone", each), func(b *testing.B) {
			cl := newCluster(24, each)
			own := cl.tables[:each]
			cl.tables = append([]*member.Table{}, own...)
			cl.run(10 * time.Second)
			table := cl.tables[0]
			remote := newCluster(24, 3)
			h := member.Heartbeat{From: remote.tables[0].Self()}
			for i, f := range remote.tables[3:] {
				self := f.Self()
				self.ID = fmt.Sprintf("far%03d", i)
				h.Members = append(h.Members, self)
			}
			for z := range 24 {
				for s := range 9 {
					name := catalog.Cell{Zone: fmt.Sprintf("z%d", z), Serves: fmt.Sprintf("model-%d", s)}
					h.Cells = append(h.Cells, member.CellStatus{
						Cell: name, Node: "n000", Address: table.Self().Address, Stamp: cl.now,
						Headroom: cell.Headroom{Free: 100, Wait: time.Second},
					})
				}
			}
			table.Receive(cl.now, h)
			size := 0
			for b.Loop() {
				data, err := cbor.Marshal(table.NextHeartbeat(cl.now, 1, nil))
				if err != nil {
					b.Fatal(err)
				}
				var back member.Heartbeat
				if err := cbor.Unmarshal(data, &back); err != nil {
					b.Fatal(err)
				}
				table.Receive(cl.now, back)
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/heartbeat")
		})
	}
}
