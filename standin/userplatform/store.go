// Package userplatform stands in for the users' platform: its metadata store,
// model engines and plain services with their entries, orders and faults, so
// that the product is tested without the users' bench. It implements what the
// adapter uses and refuses the rest.
package userplatform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin"
)

// row is a row as the store spells it.
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

// Store is the stand-in of the metadata store. Faults of all stand-ins apply
// through its gate; LoseWrites and Refuse are its own.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	floor   int64 // changes up to here are forgotten
	changed chan struct{}
	started time.Time
	calls   map[string]int
	objects map[string][]byte
	gate    *standin.Gate
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now(), calls: map[string]int{}, objects: map[string][]byte{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	s.handleObjects(mux)
	s.gate = standin.NewGate(standin.Protocol{
		Throttled: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		Failed:    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		Effect:    func(r *http.Request) bool { return r.Method == http.MethodPost },
	}, mux, func() any { return s.Calls() })
	return s
}

// Gate returns the handler of the store, with its faults.
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

// Put writes a row as the operator or an upstream does.
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

// Drop removes a row.
func (s *Store) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Tombstone: true})
}

// Forget drops the history, so that feeds from earlier versions are refused.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.floor = s.version
	s.wake()
}

// Value returns the value of a row, nil without one.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, key}].Value
}

func (s *Store) write(r row) {
	s.version++
	r.Version = s.version
	s.rows[rowKey{r.Table, r.Key}] = r
	s.wake()
}

func (s *Store) wake() {
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
	met := true
	for _, e := range tx.Expected {
		now := s.rows[rowKey{e.Table, e.Key}]
		if now.Tombstone {
			now = row{}
		}
		if now.Version > 0 {
			current = append(current, now)
		}
		met = met && now.Version == e.Version
	}
	if !met {
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
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	s.mu.Lock()
	s.calls[r.URL.Path]++
	for {
		if after < s.floor {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.since(query.Get("table"), after)
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
		case <-end.C:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil)
			s.mu.Unlock()
			return
		}
	}
}

func (s *Store) since(table string, after int64) []row {
	var rows []row
	for k, found := range s.rows {
		if k.table == table && found.Version > after {
			rows = append(rows, found)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return int(a.Version - b.Version) })
	return rows
}
