// Package origin records which software version of a service began each stream. What two
// versions write does not fit together, so that a stream may go on only at the version that
// began it. The package does no I/O and reads no clock: callers pass the time.
package origin

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// Keep is how long streams, and versions that have left, are remembered. Callers take a
// stream up within the deadline of its first attempt, which is 30 s at most.
const Keep = 45 * time.Second

// maxStreams bounds the streams of a ledger; 65,536 in Keep are 1,456 a second.
const maxStreams = 1 << 16

// Origin is where a stream began.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	// Version is the version of the upstream's software.
	Version string `cbor:"2,keyasint"`
}

// StreamID identifies a stream by the attempt that brought its first event.
type StreamID uint64

// ID returns the ID of the stream that an attempt with the request ID began.
func ID(request string) StreamID { return StreamID(xxhash.Sum64String(request)) }

// Batch is a set of streams with the same origin.
type Batch struct {
	Origin  Origin     `cbor:"1,keyasint"`
	Streams []StreamID `cbor:"2,keyasint"`
}

// Seen is an admitted version that serves or has lately served.
type Seen struct {
	Service string        `cbor:"1,keyasint"`
	Version string        `cbor:"2,keyasint"`
	Serving bool          `cbor:"3,keyasint,omitempty"`
	GoneFor time.Duration `cbor:"4,keyasint,omitempty"` // time since the last upstream of the version left, 0 while it serves
}

// version is an admitted version of a service: streams may begin at it.
type version struct {
	// admitted is when this instance, as the leader, admitted the version, 0 if it did not.
	admitted bootclock.Time
	// gone is when the last upstream of the version left, 0 while one is registered.
	gone bootclock.Time
}

func (v *version) recent(now bootclock.Time) bool { return v.gone == 0 || now.Sub(v.gone) <= Keep }

// record is one change of the streams, in the order in which they became known.
type record struct {
	id StreamID
	at bootclock.Time
}

// Ledger is what one instance knows of origins. Streams begin only at versions that the
// leader has admitted, after it has saved them: what is saved names all versions at which
// an unknown stream may have begun. A ledger is not safe for concurrent use.
type Ledger struct {
	// versions are the admitted versions of each service.
	versions map[string]map[string]*version
	// serving are the versions of each service in the newest view.
	serving map[string][]string
	// restored is set once what earlier instances saved about versions is known.
	restored bool
	streams  map[StreamID]Origin
	log      []record
	dropped  int // records that have been removed from the start of log
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{versions: map[string]map[string]*version{}, serving: map[string][]string{}, streams: map[StreamID]Origin{}}
}

// Observe records the versions that serve according to a view. It reports whether a
// version has come or gone.
func (l *Ledger) Observe(now bootclock.Time, v *fleet.View) (changed bool) {
	serving := make(map[string][]string, len(v.ByService))
	for service, list := range v.ByService {
		for _, u := range list {
			if !slices.Contains(serving[service], u.Software) {
				serving[service] = append(serving[service], u.Software)
			}
		}
		slices.Sort(serving[service])
		changed = changed || !slices.Equal(serving[service], l.serving[service])
	}
	for service := range l.serving {
		changed = changed || len(serving[service]) == 0
	}
	l.serving = serving
	l.updateGone(now)
	return changed
}

// updateGone records which admitted versions serve, and forgets those that left long ago.
func (l *Ledger) updateGone(now bootclock.Time) {
	for service, known := range l.versions {
		for name, v := range known {
			switch serves := slices.Contains(l.serving[service], name); {
			case serves:
				v.gone = 0
			case v.gone == 0:
				v.gone = now
			case !v.recent(now):
				delete(known, name)
			}
		}
	}
}

// Restore admits the versions that a leader saved or admitted. Until its first call no
// version counts as the only one of its service.
func (l *Ledger) Restore(now bootclock.Time, list []Seen) {
	l.restored = true
	for _, s := range list {
		if !s.Serving && s.GoneFor > Keep {
			continue
		}
		// A version that served when the list was saved may have left only now.
		gone := now.Add(-s.GoneFor)
		if v := l.admit(s.Service, s.Version); v.gone.Before(gone) {
			v.gone = gone
		}
	}
	l.updateGone(now)
}

func (l *Ledger) admit(service, name string) *version {
	known := l.versions[service]
	if known == nil {
		known = map[string]*version{}
		l.versions[service] = known
	}
	if known[name] == nil {
		known[name] = &version{}
	}
	return known[name]
}

// Unadmitted returns the versions that serve and at which no stream may begin yet, sorted.
func (l *Ledger) Unadmitted() []Seen {
	var list []Seen
	for service, serving := range l.serving {
		for _, name := range serving {
			if l.versions[service][name] == nil {
				list = append(list, Seen{Service: service, Version: name, Serving: true})
			}
		}
	}
	SortSeen(list)
	return list
}

// Admit admits versions that the leader has saved.
func (l *Ledger) Admit(now bootclock.Time, list []Seen) {
	for _, s := range list {
		l.admit(s.Service, s.Version).admitted = now
	}
	l.updateGone(now)
}

// StartTerm makes the versions that are admitted so far count as those of earlier leaders.
func (l *Ledger) StartTerm() {
	for _, known := range l.versions {
		for _, v := range known {
			v.admitted = 0
		}
	}
}

// NotYet returns the versions of a service at which no stream may begin yet. A service of
// which no admitted version serves has none: a new version is better than no service.
func (l *Ledger) NotYet(service string) []string {
	if !l.restored {
		return nil
	}
	var list []string
	known := l.versions[service]
	for _, name := range l.serving[service] {
		if known[name] == nil {
			list = append(list, name)
		}
	}
	if len(list) == len(l.serving[service]) {
		return nil
	}
	return list
}

// recent returns the admitted versions of a service that serve or have lately served.
func (l *Ledger) recent(now bootclock.Time, service string) []string {
	var list []string
	for name, v := range l.versions[service] {
		if v.recent(now) {
			list = append(list, name)
		}
	}
	return list
}

// Mixed reports whether a stream of the service may have begun at one of several versions.
func (l *Ledger) Mixed(now bootclock.Time, service string) bool {
	return len(l.recent(now, service)) > 1
}

// Versions returns the admitted versions of all services, sorted.
func (l *Ledger) Versions(now bootclock.Time) []Seen {
	var list []Seen
	for service := range l.versions {
		for _, name := range l.recent(now, service) {
			s := Seen{Service: service, Version: name, Serving: l.versions[service][name].gone == 0}
			if !s.Serving {
				s.GoneFor = now.Sub(l.versions[service][name].gone)
			}
			list = append(list, s)
		}
	}
	SortSeen(list)
	return list
}

// AnyMixed reports whether a stream of some service may have begun at one of several
// versions.
func (l *Ledger) AnyMixed(now bootclock.Time) bool {
	for service := range l.versions {
		if l.Mixed(now, service) {
			return true
		}
	}
	return false
}

// SortSeen sorts versions by service and name.
func SortSeen(list []Seen) {
	slices.SortFunc(list, func(a, b Seen) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Version, b.Version))
	})
}

// Record records the origin of a stream and reports whether it was not known. If one ID
// began streams at two versions, the origin of both is unknown from then on.
func (l *Ledger) Record(now bootclock.Time, id StreamID, o Origin) bool {
	before, known := l.streams[id]
	switch {
	case known && (before == o || before == Origin{}):
		return false
	case known:
		o = Origin{}
	}
	l.prune(now)
	l.streams[id] = o
	l.log = append(l.log, record{id, now})
	return true
}

// Apply records the streams that another instance knows, and reports whether there was a
// new one.
func (l *Ledger) Apply(now bootclock.Time, batches []Batch) (added bool) {
	for _, b := range batches {
		for _, id := range b.Streams {
			added = l.Record(now, id, b.Origin) || added
		}
	}
	return added
}

// prune forgets old streams.
func (l *Ledger) prune(now bootclock.Time) {
	n := 0
	for n < len(l.log) && (now.Sub(l.log[n].at) > Keep || len(l.log)-n >= maxStreams) {
		delete(l.streams, l.log[n].id)
		n++
	}
	l.log = l.log[n:]
	l.dropped += n
}

// Since returns the streams of mixed services that became known after a position, at most
// limit, and the next position. The first position is 0.
func (l *Ledger) Since(now bootclock.Time, position, limit int) (batches []Batch, next int) {
	index := map[Origin]int{}
	mixed := map[string]bool{"": true} // ambiguous streams belong to no service
	next = max(position, l.dropped)
	for n := 0; next < l.dropped+len(l.log) && n < limit; next++ {
		id := l.log[next-l.dropped].id
		o, ok := l.streams[id]
		if !ok {
			continue
		}
		several, checked := mixed[o.Service]
		if !checked {
			several = l.Mixed(now, o.Service)
			mixed[o.Service] = several
		}
		if !several {
			continue
		}
		n++
		i, ok := index[o]
		if !ok {
			i = len(batches)
			index[o] = i
			batches = append(batches, Batch{Origin: o})
		}
		batches[i].Streams = append(batches[i].Streams, id)
	}
	return batches, next
}

// Source is how an origin is known.
type Source uint8

// Sources of origins.
const (
	// Unknown means that this ledger can't tell the origin; another one may.
	Unknown Source = iota
	// Recorded means that the stream has been recorded.
	Recorded
	// OnlyVersion means that streams have begun at no other version for Keep.
	OnlyVersion
	// Earlier means that the stream is not among those that began since the other versions
	// were admitted.
	Earlier
)

// String returns the source as it appears in logs.
func (s Source) String() string {
	return [...]string{"unknown", "recorded", "only_version", "earlier"}[s]
}

// Find returns the origin of a stream that may have begun at one of the services of a
// route. Service is the one that is chosen if the stream is not recorded.
func (l *Ledger) Find(now bootclock.Time, id StreamID, services []string, service string) (Origin, Source) {
	if o, ok := l.streams[id]; ok {
		if !slices.Contains(services, o.Service) {
			return Origin{}, Unknown
		}
		return o, Recorded
	}
	for _, s := range services {
		if !l.restored || len(l.recent(now, s)) != 1 {
			return Origin{}, Unknown
		}
	}
	return Origin{Service: service, Version: l.recent(now, service)[0]}, OnlyVersion
}

// FindEarlier returns the origin of a stream that is not recorded although the leader has
// been told of all streams that began since a time. If it has admitted all but one of the
// recent versions since then, the stream began at that one.
func (l *Ledger) FindEarlier(now, since bootclock.Time, id StreamID, services []string, service string) (Origin, Source) {
	if _, ok := l.streams[id]; ok || len(services) != 1 {
		return Origin{}, Unknown
	}
	var earlier []string
	for _, name := range l.recent(now, service) {
		if !l.versions[service][name].admitted.After(since) {
			earlier = append(earlier, name)
		}
	}
	if len(earlier) != 1 {
		return Origin{}, Unknown
	}
	return Origin{Service: service, Version: earlier[0]}, Earlier
}
