package quarantine

import (
	"strings"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// maxSuccesses is the number of causes after which the older half of the successes is
// dropped.
const maxSuccesses = 8192

// successTimes holds the latest time at which a request with a cause ran, for at least
// the maxSuccesses causes that were used last. Most whole requests never return, so the
// memory is bounded by count and not by age.
type successTimes struct {
	recent, older map[Cause]bootclock.Time
}

// get returns the latest success of a cause, 0 if none is known.
func (s *successTimes) get(cause Cause) bootclock.Time {
	return max(s.recent[cause], s.older[cause])
}

func (s *successTimes) put(cause Cause, at bootclock.Time) {
	if s.recent == nil || len(s.recent) >= maxSuccesses {
		s.recent, s.older = map[Cause]bootclock.Time{}, s.recent
	}
	at = max(at, s.get(cause))
	if _, known := s.recent[cause]; !known {
		cause.ID = strings.Clone(cause.ID) // it may be a part of a long header
	}
	s.recent[cause] = at
}
