package filter

import "time"

// serviceTime estimates how long an upstream takes for a request of a model,
// as retransmission timers estimate round trips: a smoothed mean and a
// smoothed deviation.
type serviceTime struct{ mean, deviation time.Duration }

const (
	meanGain      = 8 // a new sample counts for one eighth of the mean
	deviationGain = 4 // and for one quarter of the deviation
	deviations    = 2 // added to the mean, so that most requests end in time
)

// observe takes over the duration of a complete request.
func (s *serviceTime) observe(d time.Duration) {
	if s.mean == 0 {
		s.mean, s.deviation = d, d/2
		return
	}
	s.deviation += ((d - s.mean).Abs() - s.deviation) / deviationGain
	s.mean += (d - s.mean) / meanGain
}

// latestStart returns the time until which a request may wait: started later,
// it would be cut by its deadline and the upstream's work would be lost. At
// most half of the request's time is kept for the upstream, because the
// estimate may be of longer requests than this one.
func (s *serviceTime) latestStart(deadline time.Time, limit time.Duration) time.Time {
	expected := s.mean + deviations*s.deviation
	return deadline.Add(-min(expected, limit/2))
}
