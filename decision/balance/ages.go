package balance

import "time"

// Age is how long an upstream has been running, as this instance knows it.
type Age struct {
	Upstream    string        `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Age         time.Duration `cbor:"3,keyasint"`
}

// Ages lists the upstreams whose incarnation is known and not in doubt.
// Another instance that has just started passes them to Established, so that
// it does not take upstreams in use for fresh ones.
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
