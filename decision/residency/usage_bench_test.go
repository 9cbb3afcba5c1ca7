package residency

import (
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
)

// BenchmarkUsage measures what scaling adds to a leader: the usage, determined 5 times a
// second, and a planning pass of a service that may be scaled.
func BenchmarkUsage(b *testing.B) {
	p, now := largePlanner(60, 353, 85)
	p.view.Config.Services[service].Scale = &fleet.Scale{Minimum: 1, Maximum: 60}
	b.Run("usage", func(b *testing.B) {
		for b.Loop() {
			p.Usage(now, service)
		}
	})
	b.Run("pass", func(b *testing.B) {
		for b.Loop() {
			now = now.Add(time.Millisecond)
			planPass(p, now)
		}
	})
}
