package balance

import "time"

// report is the last load report of an upstream.
type report struct {
	at             time.Time
	othersInFlight float64 // requests that are not this instance's
}

// Report takes over a load report: the requests that the upstream has running
// or waiting, from all instances, as of that time.
func (p *Picker) Report(name string, requests float64, at time.Time) {
	u := p.byName[name]
	if u == nil || at.Before(u.report.at) {
		return
	}
	u.report = report{at: at, othersInFlight: max(requests-float64(u.inFlight), 0)}
}

// others returns the requests of other instances by the last report, 0 if
// that is too old.
func (p *Picker) othersInFlight(now time.Time, u *upstream) float64 {
	if u.report.at.IsZero() || now.Sub(u.report.at) > p.config.ReportMaxAge {
		return 0
	}
	return u.report.othersInFlight
}

// load returns the load of an upstream relative to what it bears.
func (p *Picker) load(now time.Time, u *upstream) float64 {
	return (float64(u.inFlight) + p.othersInFlight(now, u)) / float64(max(u.Concurrency, 1))
}
