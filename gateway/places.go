package gateway

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// placeLife is how long after its grant a place may be used.
	placeLife = 500 * time.Millisecond
	// placeReserve is the part of the time of a caller that is kept for the first event of an
	// answer that waits for a place.
	placeReserve = 300 * time.Millisecond
	// waitedForPlace is the logged reason of a wait for a place.
	waitedForPlace = "place"
)

// hasPlace reports whether the request has a place at an upstream.
func (r *Request) hasPlace(now bootclock.Time) bool {
	return r.place != "" && now.Sub(r.placeAt) < placeLife
}

// takePlace asks for a place if the leader admits requests to the service. again is set if the
// upstream is to be chosen once more, as the request has waited. Without a leader the
// request is sent to the chosen upstream.
func (f *Route) takePlace(ctx context.Context, r *Request, u *fleet.Upstream) (again bool, refusal error) {
	now := bootclock.Now()
	if len(r.choice.Candidates) == 0 || r.hasPlace(now) && r.place == u.ID {
		return false, nil
	}
	if r.LastEventID != "" {
		return false, nil // what has run of the stream would be lost while it waits
	}
	latest := r.WaitLeft(now) - placeReserve
	onTime := r.Arrived.Add(r.Route.LatencyObjective).Sub(now) - placeReserve
	upstream, after, err := f.Places.TakePlace(ctx, r.Service, r.Model, r.choice.Candidates, r.Priority, r.PromptTokens, r.PromptTokens+r.OutputTokens, onTime, latest)
	if ctx.Err() != nil {
		return false, r.canceled(ctx)
	}
	granted := bootclock.Now()
	switch {
	case err != nil:
		r.Log.WithError(err).WithField("upstream", u.ID).Debug("no place asked for: the leader is not reached")
		return false, nil
	case upstream == "" && after == 0:
		return false, nil // the leader does not admit requests to these upstreams
	case upstream == "":
		return false, r.Attempt.Refuse(verdict.QueueFull, "no upstream of the model has room in time").WithRetryAfter(after)
	}
	r.place, r.placeAt = upstream, granted
	if granted.Sub(now) > limitWaitThreshold {
		r.waitedFor = waitedForPlace
		return true, nil
	}
	return upstream != u.ID, nil
}
