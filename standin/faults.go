// Package standin holds what the stand-ins of outside systems have in common:
// faults that are set at run time, a rate limit, and answers that are lost.
// The stand-ins speak the published protocols of the systems that they stand
// for and serve tests and development only.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
)

// Kinds of outages.
const (
	OutageClose = "close" // connections are closed without an answer
	OutageError = "error" // every answer is an internal error of the protocol
)

// Faults are the faults of a stand-in. The zero value has none. A stand-in
// ignores the fields of others.
type Faults struct {
	// Latency delays each request before it takes effect. Default 0.
	Latency duration.Duration `json:"latency,omitempty"`
	// AnswerLatency delays each answer after the request took effect. Default 0.
	AnswerLatency duration.Duration `json:"answer_latency,omitempty"`
	// Rate is the number of requests a second; over it the protocol's throttling error is answered. Default 0, no limit.
	Rate float64 `json:"rate,omitempty"`
	// Outage is "close" or "error". Default none.
	Outage string `json:"outage,omitempty"`
	// LoseAnswers is the number of next requests with an effect whose answers are lost. Default 0.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// ResetBefore is the number of next requests that are reset before they take effect. Default 0.
	ResetBefore int `json:"reset_before,omitempty"`
	// Hang holds requests without effect or answer until the caller gives up. Default false.
	Hang bool `json:"hang,omitempty"`

	// Conflicts is the number of next transactions that a table cancels as if another were under way. Default 0.
	Conflicts int `json:"conflicts,omitempty"`
	// ListLag delays changes of the instance list. Default 0.
	ListLag duration.Duration `json:"list_lag,omitempty"`
	// ReportLag delays the load report of engines and services. Default 0.
	ReportLag duration.Duration `json:"report_lag,omitempty"`

	// Refuse makes an engine answer 503 to orders and chats. Default false.
	Refuse bool `json:"refuse,omitempty"`
	// TruncateAfter breaks the connection of chats after that many tokens. Default 0, off.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// HangAfter stalls chats after that many tokens until the caller gives up. Default 0, off.
	HangAfter int `json:"hang_after,omitempty"`
	// ForeignID makes chats answer with another request's ID. Default false.
	ForeignID bool `json:"foreign_id,omitempty"`
	// Garbage makes chats answer with bytes that are no JSON. Default false.
	Garbage bool `json:"garbage,omitempty"`

	// SlowStartLimit is the number of requests at once that a service bears while it is fresh. Default 0, no limit.
	SlowStartLimit int `json:"slow_start_limit,omitempty"`
	// SlowStartFor is how long a service is fresh after a restart. Default 0.
	SlowStartFor duration.Duration `json:"slow_start_for,omitempty"`
}

// store holds the faults in force.
type store struct {
	mu     sync.Mutex
	faults Faults
}

func (s *store) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Take counts down a fault that is set for a number of requests.
func (s *store) Take(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// patch decodes data over the faults in force, so that fields that it does not
// name stay as they are, or end if replace is set. An error changes nothing.
func (s *store) patch(data []byte, replace bool) (Faults, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.faults
	if replace {
		changed = Faults{}
	}
	if err := strictjson.Decode(data, &changed); err != nil {
		return s.faults, err
	}
	s.faults = changed
	return changed, nil
}

// WriteJSON answers with a JSON document.
func WriteJSON(w http.ResponseWriter, contentType string, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	w.Write(data)
}
