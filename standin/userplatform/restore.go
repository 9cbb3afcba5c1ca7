package userplatform

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin"
)

// headerEra is the header of all answers with the number of times that the store has
// come back from a copy, plus 1.
const headerEra = "Store-Era"

// historyLength is how far back the store can be restored.
const historyLength = 30 * time.Second

// change is one write of a row in the history that Restore needs.
type change struct {
	row
	at time.Time
}

// record adds a written row to the history. The caller holds mu.
func (s *Store) record(r row) {
	now := time.Now()
	s.history = append(s.history, change{r, now})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyLength {
		old := s.history[0].row
		s.base[rowKey{old.Table, old.Key}], s.baseVersion = old, old.Version
		s.history = s.history[1:]
	}
}

// Restore makes the store come back from a copy of the given age. What has been written
// since is lost, also what the system under test wrote, and versions are given out again.
// It returns a function that writes the lost rows of the operator and the upstreams
// again.
func (s *Store) Restore(age time.Duration) (writeAgain func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.rows
	s.rows, s.version = maps.Clone(s.base), s.baseVersion
	end := time.Now().Add(-age)
	kept := 0
	for _, c := range s.history {
		if c.at.After(end) {
			break
		}
		s.rows[rowKey{c.Table, c.Key}], s.version = c.row, c.Version
		kept++
	}
	s.history = slices.Clone(s.history[:kept])
	s.currentEra.Add(1)
	s.compactedVersion = min(s.compactedVersion, s.version)
	restored := s.rows
	again := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for k, r := range lost {
			known := restored[k]
			if (k.table == "op" || k.table == "servers") && r.Version > known.Version && s.rows[k].Version == known.Version {
				s.write(r)
			}
		}
	}
	s.notifyFeeds()
	return again
}

// RestoreDrill makes the store unavailable for some time, after which it comes back from
// a copy of the given age. The operator and the upstreams write again after rewriteAfter.
func (s *Store) RestoreDrill(away, age, rewriteAfter time.Duration) {
	s.gate.SetFaults(standin.Faults{Outage: standin.OutageClose})
	time.Sleep(away)
	again := s.Restore(age)
	s.gate.SetFaults(standin.Faults{})
	time.AfterFunc(rewriteAfter, again)
}

// eraWriter adds the era to each answer.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	wrote bool
}

func (w *eraWriter) WriteHeader(status int) {
	w.addEra()
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(p []byte) (int, error) {
	w.addEra()
	return w.ResponseWriter.Write(p)
}

// addEra sets the header once. Handlers that answer under mu have the era of their
// answer.
func (w *eraWriter) addEra() {
	if !w.wrote {
		w.wrote = true
		w.Header().Set(headerEra, strconv.FormatInt(w.store.currentEra.Load(), 10))
	}
}

// Unwrap gives http.ResponseController access to the connection.
func (w *eraWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
