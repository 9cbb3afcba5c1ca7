package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/dispatch"
	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/decision/quarantine"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
)

const (
	// crashDelay bounds the time from the start of an answer to the crash that it causes.
	// An upstream that crashes on a request does so when it begins to answer it.
	crashDelay = 250 * time.Millisecond
	// provenAfter is how long after the first event of a stream it counts as a success.
	provenAfter = time.Second
	// minQuarantineRetry is the shortest Retry-After of a quarantined request.
	minQuarantineRetry = time.Second
)

// checkCauses refuses a request with a quarantined cause, unless a trial of it is due.
func (f *Route) checkCauses(now bootclock.Time, r *Request) error {
	if cause, wait, blocked := f.blockedCause(now, r); blocked && wait > 0 {
		return r.refuseQuarantined(cause, wait)
	}
	return nil
}

// takeTrial takes the trial that a request with a quarantined cause needs right before it
// is sent, so that no trial is lost to a request that is refused for another reason.
func (f *Route) takeTrial(ctx context.Context, r *Request) error {
	cause, wait, blocked := f.blockedCause(bootclock.Now(), r)
	if !blocked {
		return nil
	}
	if wait == 0 {
		trial, err := f.Quarantine.TakeTrial(ctx, cause)
		if err == nil && (trial.Released || trial.Granted) {
			r.trialOf, r.trialTaken = cause, true
			r.Log.WithFields(log.Fields{"cause": cause.String(), "released": trial.Released}).Info("quarantined cause tried")
			// Another cause of the request may be quarantined, too.
			if cause, wait, blocked = f.blockedCause(bootclock.Now(), r); !blocked {
				return nil
			}
		}
		wait = max(wait, trial.Wait)
	}
	return r.refuseQuarantined(cause, wait)
}

// blockedCause returns the quarantined cause of a request for which it has no trial, and
// the time until the cause may be tried again. blocked is false if there is none.
func (f *Route) blockedCause(now bootclock.Time, r *Request) (cause quarantine.Cause, wait time.Duration, blocked bool) {
	causes := r.causes()
	if r.trialTaken && r.runs == 0 {
		causes = slices.DeleteFunc(slices.Clone(causes), func(c quarantine.Cause) bool { return c == r.trialOf })
	}
	return f.Quarantine.Blocked(now, causes)
}

func (r *Request) refuseQuarantined(cause quarantine.Cause, wait time.Duration) error {
	return r.Attempt.Refuse(verdict.Quarantined, "upstreams crash on %s", cause).WithRetryAfter(max(wait, minQuarantineRetry))
}

// recordCauses records what one send showed about what the request may crash upstreams
// with. began is when the answer began, 0 if it did not; proven is set if the success of
// the request has been recorded.
func (f *Route) recordCauses(ctx context.Context, r *Request, u *fleet.Upstream, a *sendResult, began bootclock.Time, proven bool) {
	if a.broken {
		a.crashed = f.Forward.isDown(ctx, u)
	}
	switch {
	case proven:
	case a.crashed:
		if began == 0 || a.ended.Sub(began) <= crashDelay {
			f.Quarantine.RecordCrash(u, r.causes())
		}
	case a.outcome == dispatch.Served && a.framed && began != 0:
		f.Quarantine.RecordSuccess(r.causes(), began)
	}
}
