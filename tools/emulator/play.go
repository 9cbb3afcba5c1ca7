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

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes. A caller repeats a refused request once, at the time it was told.
const (
	Served  Outcome = "served"
	Late    Outcome = "late"    // whole, after the objective
	Refused Outcome = "refused" // plainly, and certainly not run
	Failed  Outcome = "failed"  // an error, a cut answer or none in time
)

// Result is one request as its caller saw it.
type Result struct {
	Arrival *Arrival
	Outcome Outcome
	// Code is the reason of the last refusal or failure.
	Code string
	// First is the time from the arrival to the first event or the whole plain
	// answer.
	First    time.Duration
	Repeated bool
}

// progressEvery is how often Play tells how far it is.
const progressEvery = time.Second

// maxConnections bounds the idle connections of the callers to an instance.
const maxConnections = 256

// player sends the requests of a plan.
type player struct {
	*World
	client  *http.Client
	running atomic.Int64

	mu      sync.Mutex
	results []Result
}

// Play plays a plan to its end and returns the results in the order in which
// they came. It writes a line of progress each second.
func (w *World) Play(ctx context.Context, p *Plan, progress io.Writer) []Result {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections}
	defer transport.CloseIdleConnections()
	play := &player{World: w, client: &http.Client{Transport: transport}}
	started := time.Now()
	var all sync.WaitGroup
	all.Go(func() { w.applyFaults(ctx, started) })
	over, stop := context.WithCancel(ctx)
	var reporter sync.WaitGroup
	reporter.Go(func() { play.report(over, started, len(p.Arrivals), progress) })
	for i := range p.Arrivals {
		a := &p.Arrivals[i]
		if !duration.Sleep(ctx, time.Until(started.Add(a.At))) {
			break
		}
		all.Go(func() { play.call(ctx, a) })
	}
	all.Wait()
	stop()
	reporter.Wait()
	play.mu.Lock()
	defer play.mu.Unlock()
	return play.results
}

func (p *player) report(ctx context.Context, started time.Time, total int, w io.Writer) {
	for duration.Sleep(ctx, progressEvery) {
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

// call makes one request, and once more if it is refused with a time at which
// to come back.
func (p *player) call(ctx context.Context, a *Arrival) {
	p.running.Add(1)
	defer p.running.Add(-1)
	k := &p.scenario.Kinds[a.Kind]
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(k.Deadline.Std()))
	defer cancel()
	result := Result{Arrival: a}
	for {
		answer := p.send(ctx, a, k, began)
		result.Outcome, result.Code = answer.outcome, answer.code
		result.First = answer.first
		if answer.outcome != Refused || result.Repeated || answer.comeBack <= 0 || !duration.Sleep(ctx, answer.comeBack) {
			break
		}
		result.Repeated = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, result)
}

type answer struct {
	outcome  Outcome
	code     string
	first    time.Duration
	comeBack time.Duration
}

func (p *player) send(ctx context.Context, a *Arrival, k *Kind, began time.Time) answer {
	fronts := p.Callers()
	if len(fronts) == 0 {
		return answer{outcome: Failed, code: "no_instance"}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fronts[int(a.Front)%len(fronts)]+k.path()+a.ID, strings.NewReader("{}"))
	if err != nil {
		return answer{outcome: Failed, code: "not_sent"}
	}
	p.describe(r, a, k, time.Until(began.Add(k.Deadline.Std())))
	response, err := p.client.Do(r)
	if err != nil {
		return answer{outcome: Failed, code: gaveUp(ctx, "connection_broke")}
	}
	defer response.Body.Close() //nolint:errcheck // read to its end, or given up.
	switch {
	case response.StatusCode == http.StatusOK:
		return p.read(ctx, response, k, began)
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		return answer{outcome: Refused, code: readCode(response.Body), comeBack: retryAfter(response.Header)}
	}
	return answer{outcome: Failed, code: readCode(response.Body)}
}

// describe sets the headers of a request.
func (p *player) describe(r *http.Request, a *Arrival, k *Kind, left time.Duration) {
	r.Host = Host
	r.Header.Set("Authorization", "Token "+Key(p.scenario.Workspaces[a.Workspace].Name))
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

// read reads a whole answer.
func (p *player) read(ctx context.Context, response *http.Response, k *Kind, began time.Time) answer {
	body := bufio.NewReader(response.Body)
	var first time.Duration
	events := 0
	for {
		line, err := body.ReadString('\n')
		if first == 0 && line != "" {
			first = time.Since(began)
		}
		if strings.HasPrefix(line, "data:") {
			events++
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return answer{outcome: Failed, code: gaveUp(ctx, "answer_cut"), first: first}
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

func gaveUp(ctx context.Context, otherwise string) string {
	if ctx.Err() != nil {
		return "no_answer_in_time"
	}
	return otherwise
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
