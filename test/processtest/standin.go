package processtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin"
	"github.com/hibiscusyard/hibiscusyard/standin/engine"
	"github.com/hibiscusyard/hibiscusyard/standin/instances"
	"github.com/hibiscusyard/hibiscusyard/standin/service"
	"github.com/hibiscusyard/hibiscusyard/standin/table"
)

// controlClient calls control endpoints. Its time-out ends calls to a frozen
// stand-in.
var controlClient = &http.Client{Timeout: 10 * time.Second}

// Standin is a stand-in that runs as a process.
type Standin struct {
	*Process
	Address string // IP address and port
}

// StartStandin starts a stand-in of a kind, such as "table", and waits until it
// listens.
func StartStandin(t testing.TB, name, kind string, args ...string) *Standin {
	t.Helper()
	s := &Standin{Process: Start(t, name, "standin", append([]string{kind}, args...)...)}
	s.await("prints its address", func() bool { return strings.HasSuffix(s.stdout.String(), "\n") })
	s.Address = strings.TrimSpace(s.stdout.String())
	return s
}

// URL returns the base URL.
func (s *Standin) URL() string { return "http://" + s.Address }

// SetFaults replaces the faults of the stand-in; the zero value removes all.
func (s *Standin) SetFaults(f standin.Faults) {
	s.t.Helper()
	data, err := json.Marshal(f)
	if err != nil {
		s.t.Fatal(err)
	}
	s.control(http.MethodPost, "/control/faults?replace=true", data, nil)
}

// Restart simulates a cold restart of an engine or a service, with a new
// incarnation.
func (s *Standin) Restart() {
	s.t.Helper()
	s.control(http.MethodPost, "/control/restart", nil, nil)
}

// WatchSecrets makes the stand-in count requests that contain one of the
// strings.
func (s *Standin) WatchSecrets(secrets ...string) {
	s.t.Helper()
	data, err := json.Marshal(secrets)
	if err != nil {
		s.t.Fatal(err)
	}
	s.control(http.MethodPost, "/control/secrets", data, nil)
}

// EngineCounts returns the counters of an engine.
func (s *Standin) EngineCounts() (c engine.Counts) { s.t.Helper(); s.state(&c); return c }

// ServiceCounts returns the counters of a plain service.
func (s *Standin) ServiceCounts() (c service.Counts) { s.t.Helper(); s.state(&c); return c }

// TableCounts returns the counters of a table.
func (s *Standin) TableCounts() (c table.Counts) { s.t.Helper(); s.state(&c); return c }

// Register adds an instance to an instance list.
func (s *Standin) Register(r instances.Registration) {
	s.t.Helper()
	data, err := json.Marshal(r)
	if err != nil {
		s.t.Fatal(err)
	}
	s.control(http.MethodPut, "/control/instances", data, nil)
}

// Deregister removes an instance from an instance list.
func (s *Standin) Deregister(id string) {
	s.t.Helper()
	s.control(http.MethodDelete, "/control/instances/"+id, nil, nil)
}

func (s *Standin) state(into any) {
	s.t.Helper()
	s.control(http.MethodGet, "/control/state", nil, into)
}

func (s *Standin) control(method, path string, body []byte, into any) {
	s.t.Helper()
	req, err := http.NewRequest(method, s.URL()+path, bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		s.t.Fatalf("%s: %v", s.Name, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode >= http.StatusMultipleChoices {
		s.t.Fatalf("%s: %s %s: status %d, %v: %s", s.Name, method, path, resp.StatusCode, err, data)
	}
	if into == nil {
		return
	}
	if err := json.Unmarshal(data, into); err != nil {
		s.t.Fatalf("%s: %s: %v", s.Name, path, err)
	}
}
