// Package service provides a stand-in for a plain HTTP service. Each request has
// a side effect, which is counted by request ID and by idempotency key.
package service

import (
	"io"
	"net/http"
	"sync"

	"github.com/hibiscusyard/hibiscusyard/standin"
)

// Config configures a service.
type Config struct {
	// Concurrency is the number of concurrent requests at full utilization. Default 16.
	Concurrency int
	// Faults are the faults that are active from the start. Default none.
	Faults standin.Faults
}

// Counts holds the counters of a service.
type Counts struct {
	standin.Counts
	Incarnation       string         `json:"incarnation"`
	Effects           int            `json:"effects"`
	ByRequest         map[string]int `json:"by_request"`
	ByKey             map[string]int `json:"by_key"`
	MaxPerRequest     int            `json:"max_per_request"`
	MaxPerKey         int            `json:"max_per_key"`
	Running           int            `json:"running"`
	MaxRunning        int            `json:"max_running"`
	MaxSlowStart      int            `json:"max_fresh"`      // maximum number of concurrent requests during slow start
	SlowStartFailures int            `json:"fresh_failures"` // requests that were refused because of the slow start
	LastHeaders       http.Header    `json:"last_headers"`   // of the last request with an effect
	LastMethodPath    string         `json:"last_method_path"`
}

// Service is a stand-in for a plain HTTP service. It is safe for concurrent use.
type Service struct {
	*standin.Gate
	process *standin.Process
	config  Config

	mu     sync.Mutex
	counts Counts
}

// New returns a service whose slow start, if configured, begins now.
func New(c Config) *Service {
	if c.Concurrency <= 0 {
		c.Concurrency = 16
	}
	s := &Service{config: c, process: standin.NewProcess(standin.LoadReport{})}
	s.counts.ByRequest, s.counts.ByKey = map[string]int{}, map[string]int{}
	s.Gate = standin.NewGate(standin.Protocol{
		Throttled: func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "too many requests", http.StatusTooManyRequests)
		},
		Failed: func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "internal error", http.StatusInternalServerError)
		},
		Effect: func(*http.Request) bool { return true },
	}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.process.Serve(w, r, http.HandlerFunc(s.serve))
	}), func() any { return s.State() })
	s.SetFaults(c.Faults)
	s.HandleControl("POST /control/restart", func(w http.ResponseWriter, _ *http.Request) {
		s.process.Restart()
		w.WriteHeader(http.StatusNoContent)
	})
	return s
}

// Restart assigns a new incarnation and aborts the connections of the requests in flight.
func (s *Service) Restart() { s.process.Restart() }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.process.SetHeaders(w.Header(), r, s.Faults().ReportLag.Std())
	s.Gate.ServeHTTP(w, r)
}

// State returns the counters.
func (s *Service) State() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Counts, c.Incarnation = s.Gate.Counts(), s.process.Incarnation()
	c.ByRequest, c.ByKey = map[string]int{}, map[string]int{}
	for id, n := range s.counts.ByRequest {
		c.ByRequest[id] = n
	}
	for key, n := range s.counts.ByKey {
		c.ByKey[key] = n
	}
	return c
}

// Answer is the body of a response.
type Answer struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	Query     string `json:"query"`
	RequestID string `json:"request_id"`
	Body      string `json:"body"`
	Effects   int    `json:"effects"` // number of effects with this request ID so far
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.beginRequest() {
		http.Error(w, "overloaded while starting", http.StatusServiceUnavailable)
		return
	}
	defer s.endRequest()
	id := r.Header.Get(standin.HeaderRequestID)
	standin.WriteJSON(w, "application/json", http.StatusOK, Answer{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, RequestID: id, Body: string(body), Effects: s.recordEffect(r, id),
	})
}

// beginRequest counts a running request. It reports false if the slow-start
// limit is reached.
func (s *Service) beginRequest() bool {
	f := s.Faults()
	slowStart := s.process.Age() < f.SlowStartFor.Std()
	s.mu.Lock()
	defer s.mu.Unlock()
	if slowStart && f.SlowStartLimit > 0 && s.counts.Running >= f.SlowStartLimit {
		s.counts.SlowStartFailures++
		return false
	}
	s.counts.Running++
	s.counts.MaxRunning = max(s.counts.MaxRunning, s.counts.Running)
	if slowStart {
		s.counts.MaxSlowStart = max(s.counts.MaxSlowStart, s.counts.Running)
	}
	s.reportLoad()
	return true
}

func (s *Service) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Running--
	s.reportLoad()
}

func (s *Service) reportLoad() {
	s.process.SetLoad(standin.LoadReport{
		ApplicationUtilization: float64(s.counts.Running) / float64(s.config.Concurrency),
		NamedMetrics:           standin.NamedMetrics{RequestsInFlight: s.counts.Running},
	})
}

// recordEffect counts the side effect of a request and returns the number of
// effects with its ID so far.
func (s *Service) recordEffect(r *http.Request, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Effects++
	s.counts.LastHeaders, s.counts.LastMethodPath = r.Header.Clone(), r.Method+" "+r.URL.Path
	if id != "" {
		s.counts.ByRequest[id]++
		s.counts.MaxPerRequest = max(s.counts.MaxPerRequest, s.counts.ByRequest[id])
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.counts.ByKey[key]++
		s.counts.MaxPerKey = max(s.counts.MaxPerKey, s.counts.ByKey[key])
	}
	return s.counts.ByRequest[id]
}
