package filter

import "time"

// serviceTime estimates the service time of requests for a model with a smoothed
// mean and a smoothed mean deviation, as TCP estimates round-trip times.
type serviceTime struct{ mean, deviation time.Duration }

const (
	meanGain        = 8 // a new sample has a weight of 1/8 in the mean
	deviationGain   = 4 // and of 1/4 in the deviation
	deviationFactor = 2 // deviations added to the mean, so that most requests end in time
)

// add records the duration of a complete request.
func (s *serviceTime) add(d time.Duration) {
	if s.mean == 0 {
		s.mean, s.deviation = d, d/2
		return
	}
	s.deviation += ((d - s.mean).Abs() - s.deviation) / deviationGain
	s.mean += (d - s.mean) / meanGain
}

// latestStart returns the time until which a request may wait. Started later, it
// would be cut off at its deadline and the upstream's work would be wasted. At
// most half of the request's time limit is reserved for the upstream, because
// the estimate may come from longer requests than this one.
func (s *serviceTime) latestStart(deadline time.Time, limit time.Duration) time.Time {
	expected := s.mean + deviationFactor*s.deviation
	return deadline.Add(-min(expected, limit/2))
}
