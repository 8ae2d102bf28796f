package dispatcher

import (
	"context"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
)

const (
	// maxReportsPerSecond bounds how many reports per second are read from all
	// endpoints of a cell, and minReportInterval is the minimum time between two
	// reports of one endpoint. Neither applies to endpoints with NeedsReport set.
	maxReportsPerSecond = 20
	minReportInterval   = time.Second
)

// readReports requests a report from each endpoint whose next one is due and
// which has no report request in progress.
func (d *Dispatcher) readReports(ctx context.Context) {
	now := d.options.Now()
	d.each(func(r *activeCell) {
		r.mu.Lock()
		defer r.mu.Unlock()
		endpoints := r.cell.Endpoints()
		interval := max(minReportInterval, time.Duration(len(endpoints))*time.Second/maxReportsPerSecond)
		for _, status := range endpoints {
			due := status.NeedsReport || now.Sub(r.lastRead[status.Name]) >= interval
			if !due || r.reading[status.Name] {
				continue
			}
			r.reading[status.Name], r.lastRead[status.Name] = true, now
			go d.readReport(ctx, r, status.Member)
		}
	})
}

func (d *Dispatcher) readReport(ctx context.Context, r *activeCell, m catalog.Member) {
	startedAt := d.options.Now()
	r.mu.Lock()
	after := r.lastEvent[m.Name]
	r.mu.Unlock()
	report, err := d.client.Report(ctx, m.Address, after)
	d.scope.Counter("reports").Inc(1)
	r.mu.Lock()
	r.reading[m.Name] = false
	if n := len(report.Events); n > 0 {
		r.lastEvent[m.Name] = report.Events[n-1].Sequence
	}
	r.mu.Unlock()
	if err != nil {
		d.scope.Counter("reports_failed").Inc(1)
		d.apply(r, cell.Unreachable{Endpoint: m.Name})
		return
	}
	d.apply(r, cell.Reported{Endpoint: m.Name, Report: report, RequestedAt: startedAt})
}
