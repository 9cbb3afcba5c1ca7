package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/bootclock"
	"github.com/hibiscusyard/hibiscusyard/duration"
	"github.com/hibiscusyard/hibiscusyard/ports"
)

const (
	// feedSlack is how much longer than its wait a feed call may take.
	feedSlack = 1200 * time.Millisecond
	// readTimeout bounds the read of a whole table.
	readTimeout = 2 * time.Second
	// watchRetry is the pause after a failed call.
	watchRetry = 200 * time.Millisecond
)

// watcher follows one table of the store.
type watcher struct {
	store ports.RowStore
	table string
	// wait is how long a feed call stays open without a change, and gap the
	// pause after a change, which collects those that come together.
	wait, gap time.Duration
	// reset takes over the whole table, change one row.
	reset  func(rows []ports.VersionedRow)
	change func(row ports.VersionedRow)
	// done is called after each answer, with whether anything changed.
	done func(changed bool)
	log  log.Interface

	mu      sync.Mutex
	proved  bootclock.Time // a call sent then has seen the newest state
	failing bool
	failed  bootclock.Time // first failure of the present or last outage
	back    bootclock.Time // end of the last outage
}

// age returns how long ago the state was proved to be the newest.
func (w *watcher) age(now bootclock.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.proved == 0 {
		return time.Hour
	}
	return now.Sub(w.proved)
}

// outage returns when the last outage of the store ended for this instance,
// and how long it was.
func (w *watcher) outage() (back bootclock.Time, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.back, w.back.Sub(w.failed)
}

// run follows the table until ctx ends.
func (w *watcher) run(ctx context.Context) {
	var after int64
	synced := false
	for ctx.Err() == nil {
		sent := bootclock.Now()
		page, err := w.call(ctx, synced, after)
		switch {
		case errors.Is(err, ports.ErrHistoryGone):
			w.log.WithField("table", w.table).Info("history of the store is gone; reading the table anew")
			synced = false
			continue
		case err != nil:
			w.fail(err)
			duration.Sleep(ctx, watchRetry)
			continue
		}
		w.succeed(sent)
		if !synced {
			w.reset(page.Rows)
		}
		for _, row := range page.Rows {
			if synced && row.Table == w.table {
				w.change(row)
			}
		}
		changed := !synced || len(page.Rows) > 0
		after, synced = max(after, page.Version), true
		w.done(changed)
		if changed && w.gap > 0 {
			duration.Sleep(ctx, w.gap)
		}
	}
}

func (w *watcher) call(ctx context.Context, synced bool, after int64) (ports.Page, error) {
	if !synced {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return w.store.Read(ctx, w.table)
	}
	ctx, cancel := context.WithTimeout(ctx, w.wait+feedSlack)
	defer cancel()
	return w.store.Feed(ctx, w.table, after, w.wait)
}

func (w *watcher) fail(err error) {
	w.mu.Lock()
	first := !w.failing
	if first {
		w.failing, w.failed = true, bootclock.Now()
	}
	w.mu.Unlock()
	if first {
		w.log.WithError(err).WithField("table", w.table).Warn("store lost")
	}
}

func (w *watcher) succeed(sent bootclock.Time) {
	w.mu.Lock()
	again := w.failing
	if again {
		w.failing, w.back = false, bootclock.Now()
	}
	w.proved = max(w.proved, sent)
	w.mu.Unlock()
	if again {
		w.log.WithFields(log.Fields{"table": w.table, "outage_ms": w.back.Sub(w.failed).Milliseconds()}).Info("store regained")
	}
}
