// Package engine is the client of model engines. Engines are driven by the
// Open Inference Protocol's model repository extension and report their load
// in the ORCA header "endpoint-load-metrics".
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hibiscusyard/hibiscusyard/plumbing/statusline"
)

// Headers of every engine response.
const (
	IncarnationHeader = "X-Upstream-Incarnation"
	LoadHeader        = "Endpoint-Load-Metrics"
)

// Bounds of one call.
const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	maxIndexBody = 8 << 20
	maxErrorBody = 4 << 10
	idleConns    = 2
	idleTimeout  = 30 * time.Second
	// maxResponseHeader bounds the headers of a response in bytes.
	maxResponseHeader = 64 << 10
)

// Outcome is what is known about the effect of an order.
type Outcome uint8

// Outcomes. The zero value is Unknown.
const (
	Unknown Outcome = iota // the order may or may not take effect
	Done                   // the order has taken effect
	Refused                // the order has not taken effect
)

func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case Refused:
		return "refused"
	}
	return "unknown"
}

// Reasons of a refusal.
const (
	ReasonStaleToken  = "stale_fencing_token"
	ReasonMemory      = "insufficient_memory"
	ReasonNotFound    = "unknown_model"
	ReasonUnavailable = "unavailable"
	ReasonUnreachable = "unreachable"
	ReasonInvalid     = "invalid_answer"
)

// Result is the result of one order.
type Result struct {
	Outcome Outcome
	Reason  string // of a refusal or an unknown outcome
	Answer
	Err error
}

// Answer is the state of an engine as given in the headers of every response.
type Answer struct {
	Incarnation string // empty if there was no response
	Load        Load
}

// Load is the load that an engine reports. It may be out of date.
type Load struct {
	Known         bool
	Utilization   float64 // share of the capacity in use, 0 to 1
	InFlight      int     // requests in flight
	MemoryUsedMB  int64
	MemoryTotalMB int64
}

// LoadOrder is an order to load a model or an adapter.
type LoadOrder struct {
	Model        string
	ReplicaID    string
	FencingToken uint64
	Base         string // model of an adapter
	MemoryMB     int64  // weights and cache reservation
	// SendBy is the deadline for sending the order; zero means that only the
	// client's write timeout applies.
	SendBy time.Time
}

// UnloadOrder is an order to unload a replica.
type UnloadOrder struct {
	Model        string
	ReplicaID    string
	FencingToken uint64
	SendBy       time.Time
}

// Entry is one entry of an engine's index.
type Entry struct {
	Name       string
	State      string // READY, LOADING, UNLOADING or UNAVAILABLE
	Reason     string
	ReplicaID  string
	MemoryMB   int64
	Checkpoint string // memory, disk or remote
}

// States of an index entry.
const (
	Ready       = "READY"
	Loading     = "LOADING"
	Unloading   = "UNLOADING"
	Unavailable = "UNAVAILABLE"
)

// Client calls engines. It never retries a call.
type Client struct{ http *http.Client }

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	transport := &http.Transport{
		DialContext:         statusline.Dialer(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxResponseHeader,
	}
	return &Client{http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type parameters struct {
	ReplicaID    string `json:"replica_id,omitempty"`
	FencingToken uint64 `json:"fencing_token,omitempty"`
	Base         string `json:"base,omitempty"`
	MemoryMB     int64  `json:"memory_mb,omitempty"`
	Checkpoint   string `json:"checkpoint,omitempty"`
}

type orderBody struct {
	Parameters parameters `json:"parameters"`
}

type indexEntry struct {
	Name       string     `json:"name"`
	State      string     `json:"state"`
	Reason     string     `json:"reason"`
	Parameters parameters `json:"parameters"`
}

type errorBody struct {
	Error string `json:"error"`
}

// Load sends a load order and waits until the load is complete.
func (c *Client) Load(ctx context.Context, address string, order LoadOrder) Result {
	return c.order(ctx, address, order.Model, "load", parameters{ReplicaID: order.ReplicaID,
		FencingToken: order.FencingToken, Base: order.Base, MemoryMB: order.MemoryMB}, order.SendBy)
}

// Unload sends an unload order. An engine that does not have the replica
// answers 404, which counts as Done because nothing is left to unload.
func (c *Client) Unload(ctx context.Context, address string, order UnloadOrder) Result {
	result := c.order(ctx, address, order.Model, "unload",
		parameters{ReplicaID: order.ReplicaID, FencingToken: order.FencingToken}, order.SendBy)
	if result.Reason == ReasonNotFound {
		result.Outcome, result.Reason, result.Err = Done, "", nil
	}
	return result
}

// Index returns all models in the engine's index.
func (c *Client) Index(ctx context.Context, address string) ([]Entry, Answer, error) {
	resp, _, err := c.do(ctx, http.MethodPost, address, "/v2/repository/index", []byte("{}"), time.Time{})
	if err != nil {
		return nil, Answer{}, err
	}
	defer resp.Body.Close()
	answer := readAnswer(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, answer, statusError(resp)
	}
	var list []indexEntry
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxIndexBody)).Decode(&list); err != nil {
		return nil, answer, fmt.Errorf("decode index of %s: %w", address, err)
	}
	if answer.Incarnation == "" {
		return nil, answer, fmt.Errorf("index of %s: header %s is missing", address, IncarnationHeader)
	}
	entries := make([]Entry, len(list))
	for i, e := range list {
		entries[i] = Entry{Name: e.Name, State: e.State, Reason: e.Reason, ReplicaID: e.Parameters.ReplicaID,
			MemoryMB: e.Parameters.MemoryMB, Checkpoint: e.Parameters.Checkpoint}
	}
	return entries, answer, nil
}

// Healthy reports whether the engine is ready.
func (c *Client) Healthy(ctx context.Context, address string) (bool, Answer, error) {
	resp, _, err := c.do(ctx, http.MethodGet, address, "/v2/health/ready", nil, time.Time{})
	if err != nil {
		return false, Answer{}, err
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK, readAnswer(resp), nil
}

func (c *Client) order(ctx context.Context, address, model, verb string, p parameters, sendBy time.Time) Result {
	body, err := json.Marshal(orderBody{Parameters: p})
	if err != nil {
		return Result{Outcome: Refused, Reason: ReasonInvalid, Err: err}
	}
	path := "/v2/repository/models/" + url.PathEscape(model) + "/" + verb
	resp, sent, err := c.do(ctx, http.MethodPost, address, path, body, sendBy)
	if err != nil {
		outcome := Refused
		if sent {
			outcome = Unknown
		}
		return Result{Outcome: outcome, Reason: ReasonUnreachable, Err: err}
	}
	defer resp.Body.Close()
	result := Result{Answer: readAnswer(resp)}
	switch resp.StatusCode {
	case http.StatusOK:
		result.Outcome = Done
		// The connection is reused for the next call only if the body is read.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBody))
		return result
	case http.StatusConflict:
		result.Outcome, result.Reason = Refused, ReasonStaleToken
	case http.StatusInsufficientStorage:
		result.Outcome, result.Reason = Refused, ReasonMemory
	case http.StatusNotFound:
		result.Outcome, result.Reason = Refused, ReasonNotFound
	case http.StatusServiceUnavailable:
		result.Outcome, result.Reason = Refused, ReasonUnavailable
	default:
		// Any other status, such as a 500 during a load, does not show whether
		// the order has taken effect.
		result.Outcome, result.Reason = Unknown, ReasonInvalid
	}
	result.Err = statusError(resp)
	return result
}

// do sends one request. The bool result reports whether any byte of it may have
// been sent.
func (c *Client) do(ctx context.Context, method, address, path string, body []byte, sendBy time.Time) (*http.Response, bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	// The request must be sent promptly or not at all: the lifetime of an order,
	// after which no new effect is expected, is counted from the time of sending.
	writeDeadline := time.Now().Add(writeTimeout)
	if !sendBy.IsZero() && sendBy.Before(writeDeadline) {
		writeDeadline = sendBy
	}
	var connected atomic.Bool
	writeTimer := time.AfterFunc(time.Until(writeDeadline), func() { cancel(errWriteTimeout) })
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			// If the process was frozen at this point, the deadline has passed
			// when it resumes.
			_ = info.Conn.SetWriteDeadline(writeDeadline)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { writeTimer.Stop() },
	})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		writeTimer.Stop()
		cancel(nil)
		return nil, false, err
	}
	// Without GetBody the transport does not retry the request on a new
	// connection.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	writeTimer.Stop()
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errWriteTimeout) {
			err = cause
		}
		cancel(nil)
		return nil, connected.Load(), err
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, true, nil
}

var errWriteTimeout = errors.New("request could not be sent in time")

type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

func statusError(resp *http.Response) error {
	var body errorBody
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if json.Unmarshal(data, &body) != nil || body.Error == "" {
		body.Error = http.StatusText(resp.StatusCode)
	}
	return fmt.Errorf("engine answered %d: %s", resp.StatusCode, body.Error)
}

func readAnswer(resp *http.Response) Answer {
	return Answer{Incarnation: resp.Header.Get(IncarnationHeader), Load: ParseLoad(resp.Header.Get(LoadHeader))}
}

// ParseLoad reads the JSON form of an ORCA load report, "JSON {...}". A
// missing or malformed report gives a Load with Known unset.
func ParseLoad(header string) Load {
	text, ok := strings.CutPrefix(header, "JSON ")
	if !ok {
		return Load{}
	}
	var report struct {
		Utilization float64            `json:"application_utilization"`
		Named       map[string]float64 `json:"named_metrics"`
	}
	if json.Unmarshal([]byte(text), &report) != nil {
		return Load{}
	}
	return Load{Known: true, Utilization: min(max(report.Utilization, 0), 1),
		InFlight:      int(report.Named["requests_in_flight"]),
		MemoryUsedMB:  int64(report.Named["memory_used_mb"]),
		MemoryTotalMB: int64(report.Named["memory_total_mb"])}
}
