package autoscale

import (
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// minResolution and maxResolution bound the time that one bucket of a window covers.
const (
	minResolution = 250 * time.Millisecond
	maxResolution = time.Second
)

// window keeps the lowest and the highest of the latest numbers.
type window struct {
	since      bootclock.Time // since when there are numbers without interruption, 0 if there are none
	resolution time.Duration
	buckets    []bucket // oldest first
}

type bucket struct {
	at        bootclock.Time // of the first number
	low, high int
}

// add adds a number and drops those that are older than keep.
func (w *window) add(now bootclock.Time, n int, keep time.Duration) {
	if w.since == 0 {
		w.since, w.resolution = now, min(max(keep/64, minResolution), maxResolution)
	}
	if last := len(w.buckets) - 1; last >= 0 && now.Sub(w.buckets[last].at) < w.resolution {
		w.buckets[last].low, w.buckets[last].high = min(w.buckets[last].low, n), max(w.buckets[last].high, n)
	} else {
		w.buckets = append(w.buckets, bucket{now, n, n})
	}
	drop := 0
	for drop < len(w.buckets)-1 && now.Sub(w.buckets[drop].at) > keep+w.resolution {
		drop++
	}
	w.buckets = w.buckets[drop:]
}

func (w *window) reset() { *w = window{} }

// lowest returns the lowest number within a time before now. ok is false if there were
// not numbers for all of it.
func (w *window) lowest(now bootclock.Time, within time.Duration) (n int, ok bool) {
	return w.extreme(now, within, func(b bucket, n int) int { return min(n, b.low) }, 1<<62)
}

// highest returns the highest number within a time before now.
func (w *window) highest(now bootclock.Time, within time.Duration) (n int, ok bool) {
	return w.extreme(now, within, func(b bucket, n int) int { return max(n, b.high) }, 0)
}

func (w *window) extreme(now bootclock.Time, within time.Duration, combine func(bucket, int) int, n int) (int, bool) {
	if w.since == 0 || now.Sub(w.since) < within {
		return 0, false
	}
	for _, b := range w.buckets {
		if now.Sub(b.at) <= within+w.resolution {
			n = combine(b, n)
		}
	}
	return n, true
}
