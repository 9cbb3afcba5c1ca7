package userplatform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
)

// The rules for what crashes upstreams: from grace after the crash with the given number
// on, at most maxCrashSends more requests with the cause arrive.
const (
	partCrashes    = 5 // for a part of prompts
	requestCrashes = 3 // for a whole request
	maxCrashSends  = 3
)

// Crash is a crash that a request caused.
type Crash struct {
	At time.Time
	// Part is the part of its prompt that caused it, empty if the whole request did.
	Part string
}

// CrashOnPart makes the upstream crash when it begins to write an answer to a request
// whose prompt shares the part with other requests. After downtime it restarts at the
// same address without models. An empty part ends this.
func (u *Upstream) CrashOnPart(part string, downtime time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashPart, u.crashDowntime = part, downtime
}

// CrashOnRequest makes the upstream crash when it begins to answer a request of a tenant
// for the path, as CrashOnPart does. An empty path ends this.
func (u *Upstream) CrashOnRequest(tenant, path string, downtime time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashTenant, u.crashPath, u.crashDowntime = tenant, path, downtime
}

// Crashes returns the crashes that requests caused.
func (u *Upstream) Crashes() []Crash {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.crashes)
}

// crashIfTriggered starts a crash if the request causes one, and reports whether it did.
func (u *Upstream) crashIfTriggered(r *http.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	crash := Crash{At: time.Now()}
	switch {
	case u.crashPart != "" && slices.Contains(sharedParts(r.Header), u.crashPart):
		crash.Part = u.crashPart
	case u.crashPath != "" && r.URL.Path == u.crashPath && r.Header.Get(HeaderTenant) == u.crashTenant:
	default:
		return false
	}
	if u.server != nil { // otherwise another request has crashed it already
		u.crashes = append(u.crashes, crash)
		go u.crash(u.server, u.crashDowntime)
		u.server = nil
	}
	return true
}

// crash ends the upstream and starts it again after downtime, without models.
func (u *Upstream) crash(running *http.Server, downtime time.Duration) {
	address := u.Address()
	running.Close()
	duration.Sleep(context.Background(), downtime)
	if e := u.Engine; e != nil {
		e.mu.Lock()
		e.Models, e.sequence, e.busy = map[string][]string{}, 0, false
		e.mu.Unlock()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return // the address is in use; the upstream stays lost
	}
	if err := u.restart(listener); err != nil {
		listener.Close()
	}
}

// sharedParts returns the IDs of all parts of a prompt but the last one, which is the
// request's own.
func sharedParts(h http.Header) []string {
	var ids []string
	for _, p := range readPrompt(h).shared {
		ids = append(ids, p.id)
	}
	return ids[:max(len(ids)-1, 0)]
}

// PromptCrashViolations describes the requests with a part that reached the upstreams
// although it had crashed too many of them, unless they arrived earlier than grace after
// that or excused, if it is set, excuses them.
func PromptCrashViolations(upstreams []*Upstream, part string, grace time.Duration, excused func(Arrival) bool) []string {
	return crashViolations(upstreams, "part "+part, part, partCrashes, grace, func(a Arrival) bool {
		return slices.Contains(a.Parts, part) && (excused == nil || !excused(a))
	})
}

// RequestCrashViolations is PromptCrashViolations for a whole request.
func RequestCrashViolations(upstreams []*Upstream, tenant, path string, grace time.Duration, excused func(Arrival) bool) []string {
	return crashViolations(upstreams, "request "+path, "", requestCrashes, grace, func(a Arrival) bool {
		return a.Path == path && a.Tenant == tenant && (excused == nil || !excused(a))
	})
}

func crashViolations(upstreams []*Upstream, cause, part string, number int, grace time.Duration, counts func(Arrival) bool) []string {
	var crashes []time.Time
	for _, u := range upstreams {
		for _, c := range u.Crashes() {
			if c.Part == part {
				crashes = append(crashes, c.At)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < number {
		return nil
	}
	var late []string
	for _, u := range upstreams {
		for _, a := range u.Arrivals() {
			if a.At.After(crashes[number-1].Add(grace)) && counts(a) {
				late = append(late, fmt.Sprintf("%s at %s", a.ID, u.ID))
			}
		}
	}
	if len(late) <= maxCrashSends {
		return nil
	}
	return []string{fmt.Sprintf("%s crashed %d upstreams; %d requests with it arrived later than %s after crash %d, allowed %d: %v",
		cause, len(crashes), len(late), grace, number, maxCrashSends, late)}
}
