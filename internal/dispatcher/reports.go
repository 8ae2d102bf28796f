package dispatcher

import (
	"context"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
)

const (
	// reportsPerSecond bounds the reports read of a cell's endpoints that have
	// nothing to settle; reportPause is the least time between two of one.
	reportsPerSecond = 20
	reportPause      = time.Second
)

// readReports starts reading the endpoints whose report is due and whose last
// reading has come back.
func (d *Dispatcher) readReports(ctx context.Context) {
	now := d.options.Now()
	d.each(func(r *running) {
		r.mu.Lock()
		defer r.mu.Unlock()
		endpoints := r.cell.Endpoints()
		pause := max(reportPause, time.Duration(len(endpoints))*time.Second/reportsPerSecond)
		for _, s := range endpoints {
			due := s.Urgent || now.Sub(r.read[s.Name]) >= pause
			if !due || r.reading[s.Name] {
				continue
			}
			r.reading[s.Name], r.read[s.Name] = true, now
			go d.readReport(ctx, r, s.Member)
		}
	})
}

func (d *Dispatcher) readReport(ctx context.Context, r *running, m catalog.Member) {
	began := d.options.Now()
	r.mu.Lock()
	after := r.after[m.Name]
	r.mu.Unlock()
	report, err := d.client.Report(ctx, m.Address, after)
	d.scope.Counter("reports").Inc(1)
	r.mu.Lock()
	r.reading[m.Name] = false
	if n := len(report.Events); n > 0 {
		r.after[m.Name] = report.Events[n-1].Sequence
	}
	r.mu.Unlock()
	if err != nil {
		d.scope.Counter("reports_failed").Inc(1)
		d.apply(r, cell.Unreachable{Endpoint: m.Name})
		return
	}
	d.apply(r, cell.Reported{Endpoint: m.Name, Report: report, Began: began})
}
