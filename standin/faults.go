// Package standin provides the common parts of the stand-ins, which simulate
// external systems in tests and development: fault injection at run time, a
// rate limit, and lost responses. Each stand-in speaks the published protocol
// of the system that it replaces. Stand-ins are not for production use.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/hibiscusyard/hibiscusyard/plumbing/duration"
	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
)

// Values of Faults.Outage.
const (
	OutageClose = "close" // connections are closed without a response
	OutageError = "error" // every request fails with the internal error of the protocol
)

// Faults configures the faults that a stand-in injects. The zero value injects
// none. A stand-in ignores the fields that are specific to other kinds.
type Faults struct {
	// Latency delays each request before it takes effect. Default 0.
	Latency duration.Duration `json:"latency,omitempty"`
	// AnswerLatency delays each response after the request took effect. Default 0.
	AnswerLatency duration.Duration `json:"answer_latency,omitempty"`
	// Rate is the rate limit in requests per second; requests over it fail with the protocol's throttling error. Default 0, no limit.
	Rate float64 `json:"rate,omitempty"`
	// Outage is "close" or "error". Default none.
	Outage string `json:"outage,omitempty"`
	// LoseAnswers is the number of subsequent requests with a side effect whose responses are lost. Default 0.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// ResetBefore is the number of subsequent requests whose connection is reset before they take effect. Default 0.
	ResetBefore int `json:"reset_before,omitempty"`
	// Hang blocks requests, without effect or response, until the caller disconnects. Default false.
	Hang bool `json:"hang,omitempty"`

	// Conflicts is the number of subsequent transactions that a table cancels as conflicting with another one in progress. Default 0.
	Conflicts int `json:"conflicts,omitempty"`
	// ListLag is the time after which a change of the instance list becomes visible. Default 0.
	ListLag duration.Duration `json:"list_lag,omitempty"`
	// ReportLag is the age of the load reports of engines and services. Default 0.
	ReportLag duration.Duration `json:"report_lag,omitempty"`

	// Refuse makes an engine respond to orders and chats with status 503. Default false.
	Refuse bool `json:"refuse,omitempty"`
	// TruncateAfter is the number of tokens after which the connection of a chat is aborted. Default 0, off.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// HangAfter is the number of tokens after which a chat stalls until the caller disconnects. Default 0, off.
	HangAfter int `json:"hang_after,omitempty"`
	// ForeignID makes responses to chats carry the ID of another request. Default false.
	ForeignID bool `json:"foreign_id,omitempty"`
	// Garbage makes responses to chats contain bytes that are not valid JSON. Default false.
	Garbage bool `json:"garbage,omitempty"`

	// SlowStartLimit is the maximum number of concurrent requests of a service during its slow start. Default 0, no limit.
	SlowStartLimit int `json:"slow_start_limit,omitempty"`
	// SlowStartFor is the duration of the slow start after a start or restart. Default 0.
	SlowStartFor duration.Duration `json:"slow_start_for,omitempty"`
}

// faultStore holds the active faults.
type faultStore struct {
	mu     sync.Mutex
	faults Faults
}

func (s *faultStore) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Consume decrements the counter of a fault that is set for a number of requests.
// It reports whether the fault applies to this request.
func (s *faultStore) Consume(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// update applies a JSON document to the active faults. Fields absent from it keep
// their value, or are reset if replace is set. On an error the active faults stay
// unchanged.
func (s *faultStore) update(data []byte, replace bool) (Faults, error) {
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

// WriteJSON writes body as a JSON response, or status 500 if it cannot be encoded.
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
