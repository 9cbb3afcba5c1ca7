package coordinator

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/usage"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// RecordUsage implements gateway.Usage.
func (l *Client) RecordUsage(workspace string) {
	if l.counter == nil || workspace == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counter.Record(l.clock.At(bootclock.Now()), workspace)
}

// usageReport returns the report of the requests that began, or nil if none is due. The
// caller holds mu.
func (l *Client) usageReport(now bootclock.Time) *usage.Report {
	if l.counter == nil || l.leader == "" || !l.counter.Due(now, l.clock, usageReportInterval) {
		return nil
	}
	return l.counter.Report(now, l.clock, l.c.config.WallClock())
}

// usageDue reports whether a report of the requests that began is due.
func (l *Client) usageDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counter.Due(bootclock.Now(), l.clock, usageReportInterval)
}

// untilWindowReport returns the time until the report that follows the end of the current
// window. The instances spread these reports.
func (l *Client) untilWindowReport() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	spread := min(time.Duration(max(l.members, 1))*windowReportSpread, maxWindowReportSpread)
	return l.counter.UntilEnd(bootclock.Now(), l.clock) + windowReportDelay + rand.N(spread)
}

// resetUsage makes the next report a full one. The caller holds mu.
func (l *Client) resetUsage() {
	if l.counter != nil {
		l.counter.Reset()
	}
}

// applyUsageNews takes over what a heartbeat of the leader says. It returns the counts that
// no leader had confirmed when their windows were decided. The caller holds mu.
func (l *Client) applyUsageNews(now bootclock.Time, message *heartbeat) []usage.WindowCounts {
	if l.counter == nil {
		return nil
	}
	if message.Echo != 0 {
		l.counter.Confirm(message.Echo)
	}
	news := message.Usage
	if news == nil {
		return nil
	}
	if news.True != 0 && message.Echo != 0 {
		l.clock.Sync(now, news.True, now.Sub(message.Echo)-news.Held)
	}
	if news.Resend {
		l.resetUsage()
	}
	return l.usageDecidedUpTo(news.Decided)
}

// usageDecidedUpTo drops the counts of decided windows. The caller holds mu.
func (l *Client) usageDecidedUpTo(window int64) []usage.WindowCounts {
	if window <= l.usageDecided {
		return nil
	}
	l.usageDecided = window
	return l.counter.Decided(window)
}

func (l *Client) logLateUsage(late []usage.WindowCounts) {
	for _, w := range late {
		total := int64(0)
		for _, n := range w.Counts {
			total += n
		}
		l.c.config.Log.WithFields(log.Fields{"window": w.Window, "requests": total}).Warn("usage may be missing: no leader had confirmed it before the window was decided")
	}
}
