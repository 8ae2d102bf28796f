package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/trailshed/trailshed/internal/quota"
)

// BenchmarkMessages reports the messages and bytes per instance and second, without
// framing, while all workspaces send their usual load and one of them six times that.
// The request rate grows with the fleet: five a second per instance.
func BenchmarkMessages(b *testing.B) {
	sizes := []struct{ instances, zones, workspaces int }{{78, 3, 16}, {373, 3, 16}, {1800, 24, 720}}
	for _, s := range sizes {
		b.Run(fmt.Sprint(s.instances), func(b *testing.B) {
			for b.Loop() {
				limits := map[string]quota.Limit{}
				requested := 5 * requestUnits * float64(s.instances) / float64(s.workspaces)
				for n := range s.workspaces {
					limits[fmt.Sprint("workspace", n)] = quota.Limit{Rate: requested / usualRatio, Burst: requested / usualRatio}
				}
				f := newFleet(1, s.instances, s.zones, limits)
				demand := func(workspace string, _ *instance) float64 {
					if workspace == "workspace0" {
						return 6 * requested / float64(s.instances)
					}
					return requested / float64(s.instances)
				}
				f.run(window, demand) // until the ledgers know what ran before
				f.countBytes, f.messages = true, 0
				const seconds = 2
				f.run(seconds*time.Second, demand)
				each := float64(s.instances) * seconds
				b.ReportMetric(float64(f.messages)/each, "messages/instance/s")
				b.ReportMetric(float64(f.bytes)/each, "bytes/instance/s")
			}
		})
	}
}
