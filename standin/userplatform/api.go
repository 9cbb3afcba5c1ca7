package userplatform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin"
)

// Headers of calls to the API that are a duty of one instance at a time.
const (
	HeaderDutyHolder   = "X-Hibiscusyard-Duty-Holder"
	HeaderFencingToken = "X-Hibiscusyard-Fencing-Token"
)

// DutyCall is one call that reached the API.
type DutyCall struct {
	Path, Subject, Holder string
	Token                 uint64
	Body                  string
	At                    time.Time
}

// UsageReport is an accepted usage report.
type UsageReport struct {
	Counts map[string]int64
	Holder string
	Token  uint64
	At     time.Time
	// Repeats is the number of equal reports after the first one.
	Repeats int
}

// API is a stand-in for the platform's API. It accepts usage reports and scaling calls and
// checks that one instance at a time makes them. Faults are set on its gate. It is safe for
// concurrent use.
type API struct {
	// LeaseGap is the time within which holders must not alternate.
	LeaseGap time.Duration
	// OnScale, if set, is called with each scaling call.
	OnScale func(service, zone string, desired int)

	mu         sync.Mutex
	calls      []DutyCall
	bySubject  map[string][]DutyCall
	usage      map[int64]*UsageReport
	violations []string
	refused    int64 // window whose reports are refused, 0 for none
	gate       *standin.Gate
}

// NewAPI returns an API that has accepted nothing.
func NewAPI(leaseGap time.Duration) *API {
	a := &API{LeaseGap: leaseGap, bySubject: map[string][]DutyCall{}, usage: map[int64]*UsageReport{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", a.reportUsage)
	mux.HandleFunc("POST /scale", a.scale)
	a.gate = standin.NewGate(standin.Protocol{
		Throttled: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		Failed:    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		Effect:    func(r *http.Request) bool { return r.Method == http.MethodPost },
	}, mux, func() any { return a.Calls() })
	return a
}

// Refuse makes the API refuse all reports of a window as invalid.
func (a *API) Refuse(window int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = window
}

// Gate returns the HTTP handler of the API, which also applies the faults.
func (a *API) Gate() *standin.Gate { return a.gate }

// Calls returns the calls that took effect, in order.
func (a *API) Calls() []DutyCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]DutyCall(nil), a.calls...)
}

// Usage returns the accepted usage reports by window.
func (a *API) Usage() map[int64]UsageReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	reports := make(map[int64]UsageReport, len(a.usage))
	for window, report := range a.usage {
		reports[window] = *report
	}
	return reports
}

// Violations returns the violations of the rule that one instance at a time makes the
// calls, and reports each window once.
func (a *API) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.violations...)
}

func (a *API) violate(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// record records a call and checks the order of the tokens and holders of its subject. The
// caller holds mu.
func (a *API) record(r *http.Request, subject string, body any) (DutyCall, error) {
	token, err := strconv.ParseUint(r.Header.Get(HeaderFencingToken), 10, 64)
	holder := r.Header.Get(HeaderDutyHolder)
	if err != nil || holder == "" {
		return DutyCall{}, fmt.Errorf("holder %q, token %q", holder, r.Header.Get(HeaderFencingToken))
	}
	text, err := json.Marshal(body)
	if err != nil {
		return DutyCall{}, err
	}
	call := DutyCall{Path: r.URL.Path, Subject: subject, Holder: holder, Token: token, Body: string(text), At: time.Now()}
	earlier := a.bySubject[subject]
	a.calls, a.bySubject[subject] = append(a.calls, call), append(earlier, call)
	other := false // another holder has called since the last call of this one
	for i := len(earlier) - 1; i >= 0; i-- {
		e := earlier[i]
		switch {
		case e.Token > token:
			a.violate("%s: token %d of %s after token %d of %s", subject, token, holder, e.Token, e.Holder)
			return call, nil
		case e.Token == token && e.Holder != holder:
			a.violate("%s: token %d of both %s and %s", subject, token, holder, e.Holder)
			return call, nil
		case e.Holder == holder && other && call.At.Sub(e.At) < a.LeaseGap:
			a.violate("%s: holder %s again %s after its last call, with another holder in between", subject, holder, call.At.Sub(e.At))
			return call, nil
		}
		other = other || e.Holder != holder
	}
	return call, nil
}

func (a *API) reportUsage(w http.ResponseWriter, r *http.Request) {
	var report struct {
		Window int64            `json:"window"`
		Counts map[string]int64 `json:"counts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	call, err := a.record(r, "usage", report)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if report.Window == a.refused {
		http.Error(w, "window refused", http.StatusBadRequest)
		return
	}
	switch known := a.usage[report.Window]; {
	case known == nil:
		a.usage[report.Window] = &UsageReport{Counts: report.Counts, Holder: call.Holder, Token: call.Token, At: call.At}
	case !maps.Equal(known.Counts, report.Counts):
		a.violate("window %d: %v after %v", report.Window, report.Counts, known.Counts)
	default:
		known.Repeats++
	}
	w.WriteHeader(http.StatusOK)
}

func (a *API) scale(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
		Desired int    `json:"desired"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	_, err := a.record(r, order.Service+"/"+order.Zone, order)
	a.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if a.OnScale != nil {
		a.OnScale(order.Service, order.Zone, order.Desired)
	}
	w.WriteHeader(http.StatusOK)
}

// CountRuns returns the number of requests that upstreams have run, by tenant.
func CountRuns(upstreams ...*Upstream) map[string]int64 {
	counts := map[string]int64{}
	for _, u := range upstreams {
		for _, a := range u.Arrivals() {
			if a.Ran && a.Tenant != "" {
				counts[a.Tenant]++
			}
		}
	}
	return counts
}
