// Package userplatform provides a stand-in for the users' platform: its metadata
// store, its model engines and its plain services, with their entries, orders
// and faults, so that tests of the product do not need the users' test bench. It
// implements the calls that the adapter uses and rejects all others.
package userplatform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin"
)

// row is a row of the store in its wire format.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"versionNumber"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type page struct {
	Rows    []row   `json:"rows"`
	More    bool    `json:"hasMore"`
	Version int64   `json:"versionNumber"`
	NowMS   float64 `json:"nowMs"`
}

type rowKey struct{ table, key string }

// Store is a stand-in for the metadata store. The faults common to all stand-ins
// are set on its gate. It is safe for concurrent use.
type Store struct {
	mu               sync.Mutex
	rows             map[rowKey]row
	version          int64
	compactedVersion int64 // the change history up to this version is discarded
	changed          chan struct{}
	started          time.Time
	calls            map[string]int
	objects          map[string][]byte
	gate             *standin.Gate
	currentEra       atomic.Int64 // changed under mu
	// base is the state before history, as of baseVersion.
	base        map[rowKey]row
	baseVersion int64
	history     []change
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now(), calls: map[string]int{}, objects: map[string][]byte{}, base: map[rowKey]row{}}
	s.currentEra.Store(1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	s.handleObjects(mux)
	s.gate = standin.NewGate(standin.Protocol{
		Throttled: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		Failed:    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		Effect:    func(r *http.Request) bool { return r.Method == http.MethodPost },
	}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(&eraWriter{ResponseWriter: w, store: s}, r)
	}), func() any { return s.Calls() })
	return s
}

// Gate returns the HTTP handler of the store, which also applies the faults.
func (s *Store) Gate() *standin.Gate { return s.gate }

// Calls returns the number of calls by path since the start.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for path, n := range s.calls {
		calls[path] = n
	}
	return calls
}

// Put writes a row on behalf of the operator or an upstream. A value other than
// a byte slice is encoded as JSON.
func (s *Store) Put(table, key string, value any) error {
	data, ok := value.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(value); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: data})
	return nil
}

// Delete deletes a row and leaves a tombstone.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Tombstone: true})
}

// DiscardHistory discards the change history, so that feeds from earlier versions fail
// with status 410.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.compactedVersion = s.version
	s.notifyFeeds()
}

// Value returns the value of a row, or nil if it does not exist.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, key}].Value
}

func (s *Store) write(r row) {
	s.version++
	r.Version = s.version
	s.rows[rowKey{r.Table, r.Key}] = r
	s.record(r)
	s.notifyFeeds()
}

func (s *Store) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) answer(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	nowMS := float64(time.Since(s.started)) / float64(time.Millisecond)
	standin.WriteJSON(w, "application/json", status, page{Rows: rows, Version: s.version, NowMS: nowMS})
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Writes, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path]++
	var current []row
	conditionsMet := true
	for _, e := range tx.Expected {
		stored := s.rows[rowKey{e.Table, e.Key}]
		if stored.Tombstone {
			stored = row{}
		}
		if stored.Version > 0 {
			current = append(current, stored)
		}
		conditionsMet = conditionsMet && stored.Version == e.Version
	}
	if !conditionsMet {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	for _, change := range tx.Writes {
		if change.Table == "op" || change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.write(change)
	}
	for _, change := range tx.Remove {
		change.Tombstone = true
		s.write(change)
	}
	s.answer(w, http.StatusOK, nil)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	table, from := r.URL.Query().Get("table"), r.URL.Query().Get("from")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path]++
	var rows []row
	for k, found := range s.rows {
		if k.table == table && k.key >= from && !found.Tombstone {
			rows = append(rows, found)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, rows)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err1 := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	s.mu.Lock()
	s.calls[r.URL.Path]++
	for era := s.currentEra.Load(); ; {
		if after < s.compactedVersion || after > s.version || era != s.currentEra.Load() {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.rowsAfter(query.Get("table"), after)
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
			s.mu.Lock()
		case <-r.Context().Done():
			return
		case <-timeout.C:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil)
			s.mu.Unlock()
			return
		}
	}
}

func (s *Store) rowsAfter(table string, after int64) []row {
	var rows []row
	for k, found := range s.rows {
		if k.table == table && found.Version > after {
			rows = append(rows, found)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return int(a.Version - b.Version) })
	return rows
}
