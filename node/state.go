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
	// lapseGrace is how long an entry that went missing with an outage of the
	// store is kept: a live upstream registers again within two seconds.
	lapseGrace = 1800 * time.Millisecond
	// outageMin is the length of an outage after which entries may be missing
	// only because they could not be renewed.
	outageMin = 500 * time.Millisecond
)

// state keeps what the store says. Reads take no lock.
type state struct {
	log      log.Interface
	desired  *watcher
	members  func() int
	onChange func()

	mu       sync.Mutex
	registry *fleet.Registry
	entries  *watcher
	lapsed   map[string]bootclock.Time // when an entry that lapsed is dropped
	view     atomic.Pointer[fleet.View]
}

func newState(logger log.Interface) *state {
	s := &state{log: logger, registry: fleet.NewRegistry(), lapsed: map[string]bootclock.Time{}}
	s.view.Store(s.registry.View())
	return s
}

// View implements gateway.State.
func (s *state) View() *fleet.View { return s.view.Load() }

// Age implements gateway.State.
func (s *state) Age(now bootclock.Time) time.Duration { return s.desired.Age(now) }

// defaultMembers is assumed until the leader has told the number of instances;
// shares of common limits are then rather too small.
const defaultMembers = 12

// Members implements gateway.State.
func (s *state) Members() int {
	if n := s.members(); n > 0 {
		return n
	}
	return defaultMembers
}

// size estimates the number of instances for sharing calls of the store. Before
// a leader has told it, deployments have about as many as upstreams.
func (s *state) size() int {
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

func (s *state) done(changed bool) {
	if s.dropLapsed(bootclock.Now()) || changed {
		s.publish()
	}
}

// changeDesired takes over a row of the desired state. All of them matter to requests.
func (s *state) changeDesired(row ports.VersionedRow) (matters bool) {
	s.setDesired(row)
	return true
}

func (s *state) setDesired(row ports.VersionedRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if dataCentre, ok := platform.EvacuatedDataCentre(row.Key); ok {
		s.registry.SetEvacuated(dataCentre, !row.Deleted)
		s.log.WithFields(log.Fields{"data_centre": dataCentre, "out": !row.Deleted, "row_version": row.Version}).Info("data centre taken out or in")
		return
	}
	if row.Key != platform.KeyConfig || row.Deleted {
		return
	}
	config, err := platform.DecodeConfig(row.Value)
	if err != nil {
		s.log.WithError(err).WithField("row_version", row.Version).Error("desired state not understood; the last one stays in force")
		return
	}
	if s.registry.SetConfig(config) {
		s.log.WithFields(log.Fields{"config": config.Version, "routes": len(config.Routes), "row_version": row.Version}).Info("desired state in force")
	}
}

// changeUpstream takes over an entry and reports whether more than the models
// has changed.
func (s *state) changeUpstream(row ports.VersionedRow) (matters bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.Deleted {
		s.lapse(bootclock.Now(), row.Key)
		return true
	}
	u, err := platform.DecodeUpstream(row.Key, row.Value)
	if err != nil {
		s.log.WithError(err).WithFields(log.Fields{"upstream": row.Key, "row_version": row.Version}).Warn("upstream entry not understood")
		return true
	}
	u.Revision = row.Version
	delete(s.lapsed, row.Key)
	old := s.registry.Upstream(u.ID)
	if !s.registry.SetUpstream(u) {
		return false
	}
	if old == nil || !old.Same(u) || old.Leaving != u.Leaving {
		s.log.WithFields(log.Fields{
			"upstream": u.ID, "service": u.Service, "address": u.Address, "data_centre": u.DataCentre,
			"leaving": u.Leaving, "cold_ms": u.ColdFor, "models": len(u.Models), "row_version": row.Version,
		}).Info("upstream registered")
	}
	return old == nil || !old.Equivalent(u)
}

// lapse drops an entry, or keeps it for a while after an outage of the store.
func (s *state) lapse(now bootclock.Time, id string) {
	if s.registry.Upstream(id) == nil {
		s.registry.RemoveUpstream(id)
		return
	}
	if back, length := s.entries.outage(); length >= outageMin && now.Sub(back) < lapseGrace {
		if _, ok := s.lapsed[id]; !ok {
			s.lapsed[id] = now.Add(lapseGrace)
		}
		return
	}
	s.registry.RemoveUpstream(id)
	s.log.WithField("upstream", id).Info("upstream gone")
}

// dropLapsed removes the entries that did not come back in time.
func (s *state) dropLapsed(now bootclock.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := false
	for id, at := range s.lapsed {
		if now.After(at) {
			delete(s.lapsed, id)
			s.registry.RemoveUpstream(id)
			s.log.WithField("upstream", id).Info("upstream gone; it did not register again after the outage")
			dropped = true
		}
	}
	return dropped
}
