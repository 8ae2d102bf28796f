package cell_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/pkg/clock"
)

// benchCell is a cell with many endpoints in a steady state.
type benchCell struct {
	cell    *cell.Cell
	now     clock.Millis
	owners  []cell.Owner
	running [][]cell.AnnouncedAttempt // by owner
	reports []cell.Reported
	next    int
}

// entries is the number of processes of a zone at the required size.
const entries = 75

// newBenchCell returns a cell with a third of its endpoints for prefill and one
// free slot at each decode endpoint.
func newBenchCell(endpoints int) *benchCell {
	cl := &benchCell{now: 1_000_000}
	var members []catalog.Member
	for i := range endpoints {
		m := catalog.Member{Name: fmt.Sprintf("e%02d", i), Role: catalog.RoleDecode, Slots: 20, LinkRate: 1_000_000}
		if i%3 == 0 {
			m.Role = catalog.RolePrefill
		}
		members = append(members, m)
	}
	cl.cell = cell.New(name, cl.now, cell.Options{Policy: cell.PolicyJoint, OwnerExpiry: expiry, RetryRatio: 0.1})
	cl.cell.Apply(cl.now, cell.Configured{Catalog: catalog.New(), Members: members})
	for i := range entries {
		cl.owners = append(cl.owners, cell.Owner{Node: fmt.Sprintf("n%02d", i), Incarnation: 1})
	}
	cl.running = make([][]cell.AnnouncedAttempt, entries)
	n := 0
	for _, m := range members {
		report := cell.Reported{Endpoint: m.Name, Report: endpoint.Report{Load: endpoint.Load{Running: 19, StepUS: 37_000}}}
		for range 19 {
			if m.Role == catalog.RolePrefill {
				break
			}
			id := cell.NewAttemptID(fmt.Sprintf("00000000-0000-0000-0000-%012d", n), 1)
			cl.running[n%entries] = append(cl.running[n%entries], cell.AnnouncedAttempt{Attempt: id, Phase: cell.Streaming, Prefill: "e00", Decode: m.Name})
			report.Report.Held = append(report.Report.Held, endpoint.HeldAttempt{Attempt: string(id), Phase: "decode"})
			n++
		}
		cl.reports = append(cl.reports, report)
	}
	cl.announce()
	cl.report()
	return cl
}

func (b *benchCell) announce() {
	for i, o := range b.owners {
		b.cell.Apply(b.now, cell.Announcement{Cell: name, Owner: o, Running: b.running[i]})
	}
}

func (b *benchCell) report() {
	for _, r := range b.reports {
		r.RequestedAt = b.now
		b.cell.Apply(b.now, r)
	}
}

func (b *benchCell) submit() cell.AttemptID {
	a := b.nextRequest()
	b.cell.Apply(b.now, a)
	return a.Attempt
}

func (b *benchCell) nextRequest() cell.AttemptRequest {
	b.next++
	id := cell.NewAttemptID(fmt.Sprintf("10000000-0000-0000-0000-%012d", b.next), 1)
	blocks := make([]uint64, 24)
	for i := range blocks {
		blocks[i] = uint64(b.next%500*100 + i)
	}
	return cell.AttemptRequest{
		Cell: name, Attempt: id, Owner: b.owners[b.next%len(b.owners)], Workspace: fmt.Sprintf("w%d", b.next%50),
		Kind: "k", Tokens: 1500, Blocks: blocks, MaxTokens: 100, Budget: 1500 * time.Millisecond,
	}
}

// BenchmarkRequest measures all events of one request, from its AttemptRequest to
// Finished.
func BenchmarkRequest(b *testing.B) {
	for _, endpoints := range []int{6, 24, 48} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			cl := newBenchCell(endpoints)
			for b.Loop() {
				cl.now++
				id := cl.submit()
				cl.cell.Apply(cl.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Prefilled, Duration: 50 * time.Millisecond})
				cl.cell.Apply(cl.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Streaming})
				cl.cell.Apply(cl.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Finished, Duration: time.Second, Tokens: 50})
				if cl.next%100 == 0 {
					cl.announce()
				}
			}
		})
	}
}

// BenchmarkBackground measures one second of a dispatcher without requests:
// ticks, announcements and reports.
func BenchmarkBackground(b *testing.B) {
	for _, endpoints := range []int{6, 24, 48} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			cl := newBenchCell(endpoints)
			for b.Loop() {
				for tick := range 100 {
					cl.now = cl.now.Add(10 * time.Millisecond)
					cl.cell.Apply(cl.now, cell.Tick{})
					if tick%30 == 0 {
						cl.announce()
					}
					if tick%20 == 0 {
						cl.report()
					}
				}
			}
		})
	}
}

// BenchmarkWaiting measures adding and withdrawing one request while the given
// number of others wait and no slot is free.
func BenchmarkWaiting(b *testing.B) {
	for _, waiting := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("%d waiting", waiting), func(b *testing.B) {
			cl := newBenchCell(48)
			for range 32 + waiting {
				cl.submit()
			}
			for b.Loop() {
				id := cl.submit()
				cl.cell.Apply(cl.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Withdrawn})
			}
		})
	}
}

// BenchmarkMemory measures the heap of a busy cell.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cl := newBenchCell(48)
	for range 20_000 {
		cl.now++
		id := cl.submit()
		cl.cell.Apply(cl.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Prefilled, Duration: 50 * time.Millisecond})
		cl.cell.Apply(cl.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Finished, Duration: time.Second, Tokens: 50})
		if cl.next%100 == 0 {
			cl.announce()
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB/cell")
	runtime.KeepAlive(cl)
}
