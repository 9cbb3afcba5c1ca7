package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/fleet"
	"github.com/hibiscusyard/hibiscusyard/platform"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	// reregisterGrace is how long an entry that disappeared because of a store
	// outage is kept: a live upstream registers again within two seconds.
	reregisterGrace = 1800 * time.Millisecond
	// minOutage is the length of a store outage from which entries may have expired
	// only because they could not be renewed.
	minOutage = 500 * time.Millisecond
	// rewriteGrace is how long a data centre stays out of service that a store which has
	// come back from a copy does not list: the operator writes again what was lost.
	rewriteGrace = 3 * time.Second
)

// state holds the desired state and the upstream entries read from the store.
// View takes no lock.
type state struct {
	log      log.Interface
	desired  *watcher
	members  func() int
	onChange func()

	mu       sync.Mutex
	registry *fleet.Registry
	entries  *watcher
	expiring map[string]bootclock.Time // when an expired entry is removed
	// returning is when data centres are in service again that a store which has come back
	// from a copy does not list as taken out.
	returning map[string]bootclock.Time
	view      atomic.Pointer[fleet.View]
}

func newState(logger log.Interface) *state {
	s := &state{log: logger, registry: fleet.NewRegistry(), expiring: map[string]bootclock.Time{}, returning: map[string]bootclock.Time{}}
	s.view.Store(s.registry.View())
	return s
}

// View implements gateway.State.
func (s *state) View() *fleet.View { return s.view.Load() }

// Age implements gateway.State.
func (s *state) Age(now bootclock.Time) time.Duration { return s.desired.Age(now) }

// defaultMembers is the number of instances assumed until the leader has reported
// it; shares of common limits tend to be too small until then.
const defaultMembers = 12

// Members implements gateway.State.
func (s *state) Members() int {
	if n := s.members(); n > 0 {
		return n
	}
	return defaultMembers
}

// estimateSize estimates the number of instances, for spreading store calls over
// them. Until a leader has reported the number it returns the number of
// upstreams: deployments have about as many instances as upstreams.
func (s *state) estimateSize() int {
	if n := s.members(); n > 0 {
		return n
	}
	return len(s.View().ByID)
}

func (s *state) publish() {
	s.mu.Lock()
	s.view.Store(s.registry.View())
	s.mu.Unlock()
	s.onChange()
}

func (s *state) onAnswer(changed bool) {
	if s.removeExpired(bootclock.Now()) || changed {
		s.publish()
	}
}

// applyDesired applies a row of the desired state. Every such row is relevant to
// requests.
func (s *state) applyDesired(row ports.VersionedRow) (relevant bool) {
	s.setDesired(row)
	return true
}

func (s *state) setDesired(row ports.VersionedRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if dataCentre, ok := platform.EvacuatedDataCentre(row.Key); ok {
		delete(s.returning, dataCentre)
		if row.Deleted && s.desired.restored(bootclock.Now(), rewriteGrace) {
			s.returning[dataCentre] = bootclock.Now().Add(rewriteGrace)
			return
		}
		s.registry.SetEvacuated(dataCentre, !row.Deleted)
		s.log.WithFields(log.Fields{"data_centre": dataCentre, "out": !row.Deleted, "row_version": row.Version}).Info("data centre taken out or in")
		return
	}
	if row.Key != platform.KeyConfig || row.Deleted {
		return
	}
	config, err := platform.DecodeConfig(row.Value)
	if err != nil {
		s.log.WithError(err).WithField("row_version", row.Version).Error("desired state can't be decoded; keeping the previous one")
		return
	}
	if s.registry.SetConfig(config) {
		s.log.WithFields(log.Fields{"config": config.Version, "routes": len(config.Routes), "row_version": row.Version}).Info("desired state in force")
	}
}

// applyUpstream applies an upstream entry and reports whether the change is
// relevant to requests, that is, whether more than its models has changed.
func (s *state) applyUpstream(row ports.VersionedRow) (relevant bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.Deleted {
		s.expire(bootclock.Now(), row.Key)
		return true
	}
	u, err := platform.DecodeUpstream(row.Key, row.Value)
	if err != nil {
		s.log.WithError(err).WithFields(log.Fields{"upstream": row.Key, "row_version": row.Version}).Warn("upstream entry can't be decoded; ignored")
		return true
	}
	u.Revision = row.Version
	delete(s.expiring, row.Key)
	old := s.registry.Upstream(u.ID)
	if !s.registry.SetUpstream(u) {
		return false
	}
	if old == nil || !old.SameRun(u) || old.Leaving != u.Leaving {
		s.log.WithFields(log.Fields{
			"upstream": u.ID, "service": u.Service, "address": u.Address, "data_centre": u.DataCentre,
			"leaving": u.Leaving, "cold_ms": u.ColdFor, "models": len(u.Models), "row_version": row.Version,
		}).Info("upstream registered")
	}
	return old == nil || !old.Equivalent(u)
}

// setDeparted records that a run of an upstream leaves or has ended, or that this does not
// hold any longer.
func (s *state) setDeparted(id string, d fleet.Departure, departed bool) {
	s.mu.Lock()
	s.registry.SetDeparted(id, d, departed)
	s.mu.Unlock()
	s.publish()
}

// expire removes an entry, or schedules its removal if a store outage has just
// ended.
func (s *state) expire(now bootclock.Time, id string) {
	if s.registry.Upstream(id) == nil {
		s.registry.RemoveUpstream(id)
		return
	}
	recoveredAt, length := s.entries.outage()
	if length >= minOutage && now.Sub(recoveredAt) < reregisterGrace || s.entries.restored(now, reregisterGrace) {
		if _, ok := s.expiring[id]; !ok {
			s.expiring[id] = now.Add(reregisterGrace)
		}
		return
	}
	s.registry.RemoveUpstream(id)
	s.log.WithField("upstream", id).Info("upstream gone")
}

// removeExpired removes the entries that did not register again within
// reregisterGrace, takes data centres in again, and reports whether there were any.
func (s *state) removeExpired(now bootclock.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := false
	for dataCentre, at := range s.returning {
		if now.After(at) {
			delete(s.returning, dataCentre)
			s.registry.SetEvacuated(dataCentre, false)
			s.log.WithField("data_centre", dataCentre).Info("data centre taken in; it was not taken out again after the store came back")
			removed = true
		}
	}
	for id, at := range s.expiring {
		if now.After(at) {
			delete(s.expiring, id)
			s.registry.RemoveUpstream(id)
			s.log.WithField("upstream", id).Info("upstream gone; it did not register again after the outage")
			removed = true
		}
	}
	return removed
}
