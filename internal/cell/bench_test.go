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
	p := &benchCell{now: 1_000_000}
	var members []catalog.Member
	for i := range endpoints {
		m := catalog.Member{Name: fmt.Sprintf("e%02d", i), Role: catalog.RoleDecode, Slots: 20, LinkRate: 1_000_000}
		if i%3 == 0 {
			m.Role = catalog.RolePrefill
		}
		members = append(members, m)
	}
	p.cell = cell.New(name, p.now, cell.Options{Policy: cell.PolicyJoint, OwnerExpiry: expiry, RetryRatio: 0.1})
	p.cell.Apply(p.now, cell.Configured{Catalog: catalog.New(), Members: members})
	for i := range entries {
		p.owners = append(p.owners, cell.Owner{Node: fmt.Sprintf("n%02d", i), Incarnation: 1})
	}
	p.running = make([][]cell.AnnouncedAttempt, entries)
	n := 0
	for _, m := range members {
		report := cell.Reported{Endpoint: m.Name, Report: endpoint.Report{Load: endpoint.Load{Running: 19, StepUS: 37_000}}}
		for range 19 {
			if m.Role == catalog.RolePrefill {
				break
			}
			id := cell.NewAttemptID(fmt.Sprintf("00000000-0000-0000-0000-%012d", n), 1)
			p.running[n%entries] = append(p.running[n%entries], cell.AnnouncedAttempt{Attempt: id, Phase: cell.Streaming, Prefill: "e00", Decode: m.Name})
			report.Report.Held = append(report.Report.Held, endpoint.HeldAttempt{Attempt: string(id), Phase: "decode"})
			n++
		}
		p.reports = append(p.reports, report)
	}
	p.announce()
	p.report()
	return p
}

func (p *benchCell) announce() {
	for i, o := range p.owners {
		p.cell.Apply(p.now, cell.Announcement{Cell: name, Owner: o, Running: p.running[i]})
	}
}

func (p *benchCell) report() {
	for _, r := range p.reports {
		r.RequestedAt = p.now
		p.cell.Apply(p.now, r)
	}
}

func (p *benchCell) ask() cell.AttemptID {
	a := p.nextAsk()
	p.cell.Apply(p.now, a)
	return a.Attempt
}

func (p *benchCell) nextAsk() cell.AttemptRequest {
	p.next++
	id := cell.NewAttemptID(fmt.Sprintf("10000000-0000-0000-0000-%012d", p.next), 1)
	blocks := make([]uint64, 24)
	for i := range blocks {
		blocks[i] = uint64(p.next%500*100 + i)
	}
	return cell.AttemptRequest{
		Cell: name, Attempt: id, Owner: p.owners[p.next%len(p.owners)], Workspace: fmt.Sprintf("w%d", p.next%50),
		Kind: "k", Tokens: 1500, Blocks: blocks, MaxTokens: 100, Budget: 1500 * time.Millisecond,
	}
}

// BenchmarkRequest measures all events of one request, from Ask to Finished.
func BenchmarkRequest(b *testing.B) {
	for _, endpoints := range []int{6, 24, 48} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			p := newBenchCell(endpoints)
			for b.Loop() {
				p.now++
				id := p.ask()
				p.cell.Apply(p.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Prefilled, Duration: 50 * time.Millisecond})
				p.cell.Apply(p.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Streaming})
				p.cell.Apply(p.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Finished, Duration: time.Second, Tokens: 50})
				if p.next%100 == 0 {
					p.announce()
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
			p := newBenchCell(endpoints)
			for b.Loop() {
				for tick := range 100 {
					p.now = p.now.Add(10 * time.Millisecond)
					p.cell.Apply(p.now, cell.Tick{})
					if tick%30 == 0 {
						p.announce()
					}
					if tick%20 == 0 {
						p.report()
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
			p := newBenchCell(48)
			for range 32 + waiting {
				p.ask()
			}
			for b.Loop() {
				id := p.ask()
				p.cell.Apply(p.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Withdrawn})
			}
		})
	}
}

// BenchmarkMemory measures the heap of a busy cell.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	p := newBenchCell(48)
	for range 20_000 {
		p.now++
		id := p.ask()
		p.cell.Apply(p.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Prefilled, Duration: 50 * time.Millisecond})
		p.cell.Apply(p.now, cell.Progress{Cell: name, Attempt: id, Phase: cell.Finished, Duration: time.Second, Tokens: 50})
		if p.next%100 == 0 {
			p.announce()
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB/cell")
	runtime.KeepAlive(p)
}
