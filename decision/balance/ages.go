package balance

import "time"

// Age is the time for which an upstream has been running, as observed by this
// instance.
type Age struct {
	Upstream    string        `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Age         time.Duration `cbor:"3,keyasint"`
}

// Ages returns the ages of the upstreams whose incarnation is known and for
// which no restart is suspected. An instance that has just started passes the
// ages of its peers to RecordRunningSince, so that it does not apply a ramp to
// upstreams that have been running for long.
func (p *Picker) Ages(now time.Time) []Age {
	var ages []Age
	for _, u := range p.upstreams {
		if u.ramp.incarnation == "" || !u.ramp.suspectedAt.IsZero() {
			continue
		}
		ages = append(ages, Age{Upstream: u.Name, Incarnation: u.ramp.incarnation, Age: now.Sub(u.rampStart())})
	}
	return ages
}
