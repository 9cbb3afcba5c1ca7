package balance

import "time"

// report is the last load report of an upstream.
type report struct {
	at             time.Time
	othersInFlight float64 // requests of other instances at the upstream
}

// Report records a load report of an upstream: the number of requests running
// or waiting there, from all instances, at the given time. Reports older than
// the last one are ignored.
func (p *Picker) Report(name string, requests float64, at time.Time) {
	u := p.byName[name]
	if u == nil || at.Before(u.report.at) {
		return
	}
	u.report = report{at: at, othersInFlight: max(requests-float64(u.inFlight), 0)}
}

// othersInFlight returns the number of requests that other instances have at
// the upstream according to its last report, 0 if the report is older than
// Config.ReportMaxAge.
func (p *Picker) othersInFlight(now time.Time, u *upstream) float64 {
	if u.report.at.IsZero() || now.Sub(u.report.at) > p.config.ReportMaxAge {
		return 0
	}
	return u.report.othersInFlight
}

// load returns the load of an upstream relative to its concurrency.
func (p *Picker) load(now time.Time, u *upstream) float64 {
	return (float64(u.inFlight) + p.othersInFlight(now, u)) / float64(max(u.Concurrency, 1))
}
