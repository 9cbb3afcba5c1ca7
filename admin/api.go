// Package admin provides the administration API of an instance and its
// client.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/controller/catalogsync"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
	"github.com/hibiscusyard/hibiscusyard/plumbing/strictjson"
)

const maxDocument = 8 << 20

// Tables reads and edits the routes and pools tables.
type Tables interface {
	// Stored returns the tables as written by operators; nil before the first version.
	Stored() *catalog.Index
	// Refresh reads the latest version from the table service, so that Stored
	// returns it if the service answers.
	Refresh(ctx context.Context)
	Edit(ctx context.Context, base uint64, change func(*catalog.Catalog)) (catalogsync.Result, error)
}

// Status is the state of an instance and its view of the other instances.
type Status struct {
	Instance    string            `json:"instance"`
	Incarnation string            `json:"incarnation"`
	DataCentre  string            `json:"data_centre"`
	Build       string            `json:"build"`
	Ready       bool              `json:"ready"`
	Reasons     []string          `json:"not_ready_because,omitempty"`
	Version     uint64            `json:"catalogue_version"`
	AgeSeconds  float64           `json:"catalogue_age_seconds"`
	Versions    map[string]uint64 `json:"versions_in_force"`
	Members     []string          `json:"members"`
	Unconfirmed []string          `json:"members_without_this_version"`
	Placer      string            `json:"placer,omitempty"`
	Replicas    []ReplicaStatus   `json:"replicas,omitempty"`
}

// ReplicaStatus is one replica in the instance's current placement view.
type ReplicaStatus struct {
	Pool     string `json:"pool"`
	Model    string `json:"model"`
	Upstream string `json:"upstream"`
	State    string `json:"state"`
}

// Server serves the administration API.
type Server struct {
	Tables    Tables
	TokenHash string
	Status    func(ctx context.Context) Status
	Ready     func() []string // reasons why the instance is not ready
	Metrics   *metrics.Set
	Log       log.Interface
}

// Problem is the JSON body of an error response of the administration API.
type Problem struct {
	Error   string         `json:"error"`
	Version uint64         `json:"version,omitempty"`
	Fields  catalog.Errors `json:"fields,omitempty"`
}

// RoutesDocument is the document of the routes table.
type RoutesDocument struct {
	Routes []catalog.Route `json:"routes"`
}

// PoolsDocument is the document of the pools table.
type PoolsDocument struct {
	Pools []catalog.Pool `json:"pools"`
}

// Handler returns the handler of the API and of the health, readiness and metrics
// endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", ReadyHandler(s.Ready))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.Metrics.WritePrometheus(w)
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /v1/status", s.authenticated(s.getStatus))
	for _, table := range []string{"routes", "pools"} {
		mux.HandleFunc("GET /v1/"+table, s.authenticated(s.getTable(table)))
		mux.HandleFunc("PUT /v1/"+table, s.authenticated(s.putTable(table)))
		mux.HandleFunc("POST /v1/validate/"+table, s.authenticated(s.validateTable(table)))
	}
	return mux
}

// ReadyHandler responds with 200 if reasons returns none, otherwise with 503 and
// the reasons, one a line.
func ReadyHandler(reasons func() []string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if list := reasons(); len(list) > 0 {
			http.Error(w, strings.Join(list, "\n"), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}
}

func (s *Server) authenticated(next http.HandlerFunc) http.HandlerFunc {
	want, _ := hex.DecodeString(s.TokenHash)
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if !ok || subtle.ConstantTimeCompare(sum[:], want) != 1 {
			writeJSON(w, http.StatusUnauthorized, Problem{Error: "the administration token is missing or wrong"})
			return
		}
		next(w, r)
	}
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.Status(r.Context()))
}

func (s *Server) getTable(table string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.Tables.Refresh(r.Context())
		index := s.Tables.Stored()
		w.Header().Set("ETag", etag(index.Version()))
		writeJSON(w, http.StatusOK, document(table, index))
	}
}

func document(table string, index *catalog.Index) any {
	c := &catalog.Catalog{}
	if index != nil {
		c = index.Catalog
	}
	if table == "routes" {
		return RoutesDocument{Routes: append([]catalog.Route{}, c.Routes...)}
	}
	return PoolsDocument{Pools: append([]catalog.Pool{}, c.Pools...)}
}

// readChange decodes the document in the request body and returns the change that
// replaces the table with it.
func readChange(table string, r *http.Request) (func(*catalog.Catalog), error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxDocument))
	if err != nil {
		return nil, err
	}
	if table == "routes" {
		var doc RoutesDocument
		err = strictjson.Decode(data, &doc)
		return func(c *catalog.Catalog) { c.Routes = doc.Routes }, err
	}
	var doc PoolsDocument
	err = strictjson.Decode(data, &doc)
	return func(c *catalog.Catalog) { c.Pools = doc.Pools }, err
}

func (s *Server) putTable(table string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		base, err := baseVersion(r.Header.Get("If-Match"))
		if err != nil {
			writeJSON(w, http.StatusPreconditionRequired, Problem{Error: err.Error()})
			return
		}
		change, err := readChange(table, r)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, Problem{Error: err.Error()})
			return
		}
		result, err := s.Tables.Edit(r.Context(), base, change)
		entry := s.Log.WithFields(log.Fields{"table": table, "base": base})
		if err != nil {
			entry.WithError(err).Warn("edit not accepted")
			s.writeEditError(w, err)
			return
		}
		entry.WithFields(log.Fields{"version": result.Version, "accepted": result.Accepted}).Info("edit committed")
		w.Header().Set("ETag", etag(result.Version))
		status := http.StatusOK
		if !result.Accepted {
			status = http.StatusAccepted
		}
		writeJSON(w, status, result)
	}
}

func (s *Server) writeEditError(w http.ResponseWriter, err error) {
	index := s.Tables.Stored()
	problem := Problem{Error: err.Error(), Version: index.Version()}
	status := http.StatusInternalServerError
	fields, invalid := catalog.AsErrors(err)
	switch {
	case invalid:
		problem.Error, problem.Fields = "the tables would be invalid", fields
		status = http.StatusUnprocessableEntity
	case errors.Is(err, catalogsync.ErrVersion):
		w.Header().Set("ETag", etag(index.Version()))
		status = http.StatusPreconditionFailed
	case errors.Is(err, ports.ErrUnknown):
		problem.Error = "the table did not answer: read the tables to see whether the edit is in effect"
		status = http.StatusGatewayTimeout
	case errors.Is(err, ports.ErrNotApplied):
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, problem)
}

func (s *Server) validateTable(table string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		change, err := readChange(table, r)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, Problem{Error: err.Error()})
			return
		}
		index := s.Tables.Stored()
		next := &catalog.Catalog{}
		if index != nil {
			next.Routes = append(next.Routes, index.Catalog.Routes...)
			next.Pools = append(next.Pools, index.Catalog.Pools...)
		}
		change(next)
		next.ApplyDefaults()
		if err := next.Validate(); err != nil {
			s.writeEditError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, Problem{Version: index.Version()})
	}
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func baseVersion(ifMatch string) (uint64, error) {
	text, err := strconv.Unquote(ifMatch)
	if err == nil {
		var version uint64
		if version, err = strconv.ParseUint(text, 10, 64); err == nil {
			return version, nil
		}
	}
	return 0, errors.New("If-Match must hold the version that the edit is based on, as given in ETag")
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(v) //nolint:errcheck // the client may have disconnected.
}
