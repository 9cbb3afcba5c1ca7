package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/origin"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

// originWaitShare bounds the wait for the origin of a stream, as a share of the time for
// which the caller waits for an event: the rest is for the upstream.
const originWaitShare = 0.75

// findOrigin binds a stream that the caller takes up to the software version that began
// it. It returns a refusal if that version can't be known.
func (f *Route) findOrigin(ctx context.Context, r *Request) error {
	if r.Route.Kind != fleet.Streaming || r.LastEventID == "" {
		return nil
	}
	services := make([]string, len(r.Route.Targets))
	for i, t := range r.Route.Targets {
		services[i] = t.Service
	}
	maxWait := time.Duration(originWaitShare * float64(r.WaitLeft(bootclock.Now())))
	o, source, final := f.Origins.FindOrigin(ctx, r.Resumes, services, r.Service, maxWait)
	r.Log.WithFields(log.Fields{
		"resumes": r.Resumes, "service": o.Service, "software": o.Version, "source": source.String(),
		"after_ms": bootclock.Since(r.Arrived).Milliseconds(),
	}).Info("stream taken up")
	if source == origin.Unknown {
		refusal := r.Attempt.Refuse(verdict.OriginUnknown, "which software version began the stream is not known")
		if !final {
			refusal = refusal.WithRetryAfter(defaultRetryAfter)
		}
		return refusal
	}
	r.Service = o.Service
	r.software = fleet.VersionConstraint{Bound: true, Version: o.Version}
	return nil
}

// recordOrigin binds a stream whose first event has arrived to the software version of
// the upstream.
func (f *Route) recordOrigin(r *Request, u *fleet.Upstream) {
	if r.software.Bound {
		return
	}
	r.software = fleet.VersionConstraint{Bound: true, Version: u.Software}
	if current := f.State.View().ByID[u.ID]; current != nil && !current.SameRun(u) {
		return // it may be the next run, of another version, that has answered
	}
	f.Origins.RecordOrigin(r.ID, origin.Origin{Service: r.Service, Version: u.Software})
}
