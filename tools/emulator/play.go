package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// Outcome is the result of a request as seen by its caller.
type Outcome string

// Outcomes. A caller retries a refused request once, after the delay in its
// Retry-After header.
const (
	Served  Outcome = "served"
	Late    Outcome = "late"    // complete, but after the objective
	Refused Outcome = "refused" // status 429 or 503; not executed
	Failed  Outcome = "failed"  // an error, a truncated response or none before the deadline
)

// Result is the outcome of one request as seen by its caller.
type Result struct {
	Arrival *Arrival
	Outcome Outcome
	// Code is the error code of the last refusal or failure.
	Code string
	// First is the time from the first send to the first event or the plain
	// response, retry delay included.
	First    time.Duration
	Repeated bool
}

// progressInterval is the time between two progress lines of Play.
const progressInterval = time.Second

// maxConnections limits the callers' idle connections to an instance.
const maxConnections = 256

// player sends the requests of a plan and collects their results.
type player struct {
	*Deployment
	client  *http.Client
	running atomic.Int64

	mu      sync.Mutex
	results []Result
}

// Play sends the requests of a plan at their times, injects the scenario's
// faults, and returns the results in order of completion. It writes a progress
// line every second. Cancelling ctx stops it early.
func (w *Deployment) Play(ctx context.Context, p *Plan, progress io.Writer) []Result {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections}
	defer transport.CloseIdleConnections()
	play := &player{Deployment: w, client: &http.Client{Transport: transport}}
	started := time.Now()
	var requests sync.WaitGroup
	requests.Go(func() { w.applyFaults(ctx, started) })
	progressCtx, stopProgress := context.WithCancel(ctx)
	var reporter sync.WaitGroup
	reporter.Go(func() { play.reportProgress(progressCtx, started, len(p.Arrivals), progress) })
	for i := range p.Arrivals {
		a := &p.Arrivals[i]
		if !duration.Sleep(ctx, time.Until(started.Add(a.At))) {
			break
		}
		requests.Go(func() { play.call(ctx, a) })
	}
	requests.Wait()
	stopProgress()
	reporter.Wait()
	play.mu.Lock()
	defer play.mu.Unlock()
	return play.results
}

func (p *player) reportProgress(ctx context.Context, started time.Time, total int, w io.Writer) {
	for duration.Sleep(ctx, progressInterval) {
		counts := map[Outcome]int{}
		p.mu.Lock()
		for _, r := range p.results {
			counts[r.Outcome]++
		}
		n := len(p.results)
		p.mu.Unlock()
		fmt.Fprintf(w, "%6.1fs  %d of %d ended: %d served, %d late, %d refused, %d failed; %d running\n", //nolint:errcheck // progress only.
			time.Since(started).Seconds(), n, total, counts[Served], counts[Late], counts[Refused], counts[Failed], p.running.Load())
	}
}

// call sends one request, and retries it once if it is refused with a
// Retry-After header.
func (p *player) call(ctx context.Context, a *Arrival) {
	p.running.Add(1)
	defer p.running.Add(-1)
	k := &p.scenario.Kinds[a.Kind]
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, started.Add(k.Deadline.Std()))
	defer cancel()
	result := Result{Arrival: a}
	for {
		answer := p.send(ctx, a, k, started)
		result.Outcome, result.Code = answer.outcome, answer.code
		result.First = answer.first
		if answer.outcome != Refused || result.Repeated || answer.retryAfter <= 0 || !duration.Sleep(ctx, answer.retryAfter) {
			break
		}
		result.Repeated = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, result)
}

type answer struct {
	outcome    Outcome
	code       string
	first      time.Duration
	retryAfter time.Duration
}

func (p *player) send(ctx context.Context, a *Arrival, k *Kind, started time.Time) answer {
	addresses := p.CallerAddresses()
	if len(addresses) == 0 {
		return answer{outcome: Failed, code: "no_instance"}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addresses[int(a.InstanceIndex)%len(addresses)]+k.pathPrefix()+a.ID, strings.NewReader("{}"))
	if err != nil {
		return answer{outcome: Failed, code: "not_sent"}
	}
	p.setHeaders(r, a, k, time.Until(started.Add(k.Deadline.Std())))
	response, err := p.client.Do(r)
	if err != nil {
		return answer{outcome: Failed, code: failureCode(ctx, "connection_broke")}
	}
	defer response.Body.Close() //nolint:errcheck // read completely, or abandoned.
	switch {
	case response.StatusCode == http.StatusOK:
		return p.read(ctx, response, k, started)
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		return answer{outcome: Refused, code: readCode(response.Body), retryAfter: retryAfter(response.Header)}
	}
	return answer{outcome: Failed, code: readCode(response.Body)}
}

// setHeaders sets the headers of a request. left is the time to its deadline.
func (p *player) setHeaders(r *http.Request, a *Arrival, k *Kind, left time.Duration) {
	r.Host = Host
	r.Header.Set("Authorization", "Token "+WorkspaceKey(p.scenario.Workspaces[a.Workspace].Name))
	r.Header.Set(userplatform.HeaderID, a.ID)
	r.Header.Set(userplatform.HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if a.Model == "" {
		return
	}
	model := a.Model
	if a.Adapter != "" {
		model += "/" + a.Adapter
	}
	r.Header.Set(userplatform.HeaderModel, model)
	r.Header.Set(userplatform.HeaderTokens, fmt.Sprintf("%d,%d", k.PromptTokens, k.OutputTokens))
	if k.SharedTokens > 0 {
		r.Header.Set(userplatform.HeaderPrefix, fmt.Sprintf("%s-%s:%d,%s:%d", k.Name, model, k.SharedTokens, a.ID, k.PromptTokens-k.SharedTokens))
	}
}

// read reads a response completely and classifies it.
func (p *player) read(ctx context.Context, response *http.Response, k *Kind, started time.Time) answer {
	body := bufio.NewReader(response.Body)
	var first time.Duration
	events := 0
	for {
		line, err := body.ReadString('\n')
		if first == 0 && line != "" {
			first = time.Since(started)
		}
		if strings.HasPrefix(line, "data:") {
			events++
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return answer{outcome: Failed, code: failureCode(ctx, "answer_cut"), first: first}
		}
	}
	if k.Type == Streaming && events != p.scenario.service(k.Service).Engine.Events {
		return answer{outcome: Failed, code: "events_missing", first: first}
	}
	if first > k.Objective.Std() {
		return answer{outcome: Late, first: first}
	}
	return answer{outcome: Served, first: first}
}

func failureCode(ctx context.Context, fallback string) string {
	if ctx.Err() != nil {
		return "no_answer_in_time"
	}
	return fallback
}

func readCode(body io.Reader) string {
	var d verdict.Description
	if json.NewDecoder(body).Decode(&d) != nil || d.Error.Code == "" {
		return "not_described"
	}
	return d.Error.Code
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
