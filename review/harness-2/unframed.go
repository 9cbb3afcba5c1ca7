package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

func init() { cases["unframed"] = unframedStreams }

// streamClients and plainClients are the numbers of requests at a time.
const (
	streamClients = 12
	plainClients  = 8
)

// unframedStreams plays answers without length or chunks at two workers of each service, of
// which one crashes between two events or pieces.
func unframedStreams(r *run) error {
	desired := userplatform.Sample()
	for n := range desired.Tenants {
		desired.Tenants[n].Rate, desired.Tenants[n].Burst = 1e9, 1e9 // limits are no subject here
	}
	if err := desired.Write(r.store); err != nil {
		return err
	}
	for _, id := range []string{"engine-1", "engine-2", "rota-1", "rota-2"} {
		service, _, _ := strings.Cut(id, "-")
		if _, err := r.startWorker(service, id); err != nil {
			return err
		}
	}
	var instances []*instance
	for n := range 2 {
		i, err := r.startInstance(fmt.Sprintf("entry-%d", n+1), nil)
		if err != nil {
			return err
		}
		instances = append(instances, i)
	}
	time.Sleep(5 * time.Second) // the leader gives orders from now on
	var group sync.WaitGroup
	streams, answers := newTally("streams"), newTally("answers that are no stream")
	for n := range streamClients {
		group.Go(func() { streams.add(r.read(instances[n%2], fmt.Sprintf("stream-%d", n+1), "/drafts/1", wholeStream())) })
	}
	time.Sleep((streamEvents*eventPause - plainPause*time.Duration(len(plainPieces))) / 2)
	for n := range plainClients {
		group.Go(func() {
			answers.add(r.read(instances[n%2], fmt.Sprintf("signup-%d", n+1), "/signup/1", strings.Join(plainPieces, "")))
		})
	}
	time.Sleep(plainPause*time.Duration(len(plainPieces))/2 - eventPause/2)
	if r.trouble {
		for _, service := range []string{"engine", "rota"} {
			r.busiest(service).crash()
		}
	}
	group.Wait()
	for _, t := range []*tally{streams, answers} {
		r.notef("%s: %d whole, %d cut so that the consumer can tell, %d failed, %d short that ended as complete", t.kind, t.whole, t.cut, t.failed, t.short)
	}
	if streams.whole+streams.short == 0 || answers.whole+answers.short == 0 {
		return fmt.Errorf("no stream or no other answer came to an end")
	}
	if streams.short > 0 {
		r.failf("ORDER: %d streams ended as complete before their last piece", streams.short)
	}
	if answers.short > 0 {
		r.failf("MIXED: %d successes with a body that is not the worker's whole body", answers.short)
	}
	return nil
}

// busiest returns the worker of a service that runs most requests.
func (r *run) busiest(service string) *worker {
	var best *worker
	most := -1
	for _, w := range r.workers {
		if w.service != service {
			continue
		}
		if n := w.running(); n > most {
			best, most = w, n
		}
	}
	r.notef("%s runs %d requests", best.id, most)
	return best
}

// tally counts how answers ended.
type tally struct {
	kind                      string
	mu                        sync.Mutex
	whole, cut, failed, short int
}

func newTally(kind string) *tally { return &tally{kind: kind} }

// add counts one answer.
func (t *tally) add(status int, whole, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case status != http.StatusOK:
		t.failed++
	case !complete:
		t.cut++
	case whole:
		t.whole++
	default:
		t.short++
	}
}

// wholeStream returns the body of a whole stream.
func wholeStream() string {
	var b strings.Builder
	for id := 1; id <= streamEvents; id++ {
		b.WriteString(event(id))
	}
	return b.String()
}

// read sends a request and reads the answer. It returns the status, whether the body is the
// one that a worker writes, and whether it ended as complete.
func (r *run) read(i *instance, id, path, want string) (status int, whole, complete bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+i.settings.CallerListen+path, strings.NewReader("request "+id))
	if err != nil {
		return 0, false, false
	}
	request.Host = "rota.example"
	request.Header.Set("Authorization", "Token committee-key")
	request.Header.Set(userplatform.HeaderID, id)
	request.Header.Set(userplatform.HeaderDeadline, "5000")
	if path == "/drafts/1" {
		request.Header.Set(userplatform.HeaderModel, "notices")
		request.Header.Set(userplatform.HeaderTokens, "100,80")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		r.notef("%s: %v", id, err)
		return 0, false, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	end := "complete"
	if err != nil {
		end = err.Error()
	}
	r.notef("%s at %s: status %d, signature %q, %d of %d bytes, end of the answer: %s", id, i.settings.Instance, response.StatusCode,
		response.Header.Get(userplatform.HeaderSignature), len(body), len(want), end)
	return response.StatusCode, string(body) == want, err == nil
}
