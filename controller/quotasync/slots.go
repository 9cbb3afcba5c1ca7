package quotasync

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/decision/quota"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	// maxWrites bounds a transaction; the table service allows 100 rows.
	maxWrites = 25
	// refreshTimeout bounds a reading with its writes while the table is slow.
	refreshTimeout = 5 * time.Second
	// minRefreshGap bounds how often events can cause a reading of the rows.
	minRefreshGap = time.Second
	// refreshPerMember stretches the interval of readings with the number of instances.
	refreshPerMember = 50 * time.Millisecond
	// maxReleases bounds the slots that one refresh moves to other members.
	maxReleases = 1
)

// parkedSlot is a slot that is no longer spent from and whose release is not
// confirmed yet.
type parkedSlot struct {
	quota.Start
	unsure bool // a write of the release may still take effect
}

// change is one write of a refresh.
type change struct {
	key      slotKey
	row      SlotRow
	revision uint64
}

// place computes which member ranks first for each slot. The instance counts
// itself as a member unless it leaves, because the list may not show it yet.
func (s *Sync) place() {
	self := s.config.Session.Instance()
	var candidates []quota.Candidate
	listed := false
	for _, m := range s.members {
		listed = listed || m.Instance == self
		if m.State == Live && (m.Instance != self || !s.closing) {
			candidates = append(candidates, quota.NewCandidate(m.Instance, m.DataCentre))
		}
	}
	if !listed && !s.closing {
		candidates = append(candidates, quota.NewCandidate(self, ""))
	}
	s.owners = map[string][quota.Slots]string{}
	for name := range s.limits {
		s.owners[name] = quota.Place(name, candidates)
	}
}

func sameMembers(a, b []Member) bool {
	order := func(x, y Member) int {
		return cmp.Or(strings.Compare(x.Instance, y.Instance), strings.Compare(x.Address, y.Address))
	}
	return slices.Equal(slices.SortedFunc(slices.Values(a), order), slices.SortedFunc(slices.Values(b), order))
}

// foreignHolders lists the runs of other instances that hold slots.
func (s *Sync) foreignHolders() map[holderKey]bool {
	holders := map[holderKey]bool{}
	for _, row := range s.rows {
		if row.Holder != "" && row.holder() != s.self() {
			holders[row.holder()] = true
		}
	}
	return holders
}

func (s *Sync) self() holderKey {
	return holderKey{s.config.Session.Instance(), s.config.Session.Incarnation()}
}

// updateHolders tells the ledger whom to ask for grants.
func (s *Sync) updateHolders() {
	centres := map[string]string{}
	for _, m := range s.members {
		centres[m.Instance] = m.DataCentre
	}
	own := centres[s.config.Session.Instance()]
	for name := range s.limits {
		counts := map[string]int{}
		for index := range quota.Slots {
			row := s.rows[slotKey{name, index}]
			if _, live := centres[row.Holder]; live && row.Holder != "" && row.holder() != s.self() {
				counts[row.Holder]++
			}
		}
		var holders []quota.Holder
		for _, instance := range slices.Sorted(maps.Keys(counts)) {
			holders = append(holders, quota.Holder{Instance: instance, Slots: counts[instance], Near: centres[instance] == own})
		}
		s.ledger.SetHolders(name, holders)
	}
}

func (s *Sync) view(key slotKey, leaving bool) slotView {
	row := s.rows[key]
	_, known := s.limits[key.workspace]
	return slotView{
		row: row, self: s.self(), address: s.config.Session.Address(),
		first: s.owners[key.workspace][key.index] == s.config.Session.Instance(),
		known: known, leaving: leaving, holding: s.ledger.Holds(key.workspace, key.index),
		activated: s.activated[key], gone: s.absences.gone[row.holder()], full: s.ledger.Full(key.workspace),
	}
}

// leaving reports whether this instance takes no slots: it leaves, or it does
// not know yet which other members there are.
func (s *Sync) leaving() bool {
	return s.closing || !s.listed || slices.ContainsFunc(s.members, func(m Member) bool {
		return m.Instance == s.config.Session.Instance() && m.State != Live
	})
}

// keys lists the slots of all workspaces, those in the catalogue and those in the table.
func (s *Sync) keys() []slotKey {
	set := map[slotKey]bool{}
	for name := range s.limits {
		for index := range quota.Slots {
			set[slotKey{name, index}] = true
		}
	}
	for key := range s.rows {
		set[key] = true
	}
	return slices.SortedFunc(maps.Keys(set), func(a, b slotKey) int {
		return cmp.Or(strings.Compare(a.workspace, b.workspace), a.index-b.index)
	})
}

// wants reports whether a refresh would take a slot, as far as known.
func (s *Sync) wants() bool {
	leaving := s.leaving()
	return slices.ContainsFunc(s.keys(), func(key slotKey) bool {
		what, _ := decide(s.view(key, leaving))
		return what == take
	})
}

// Refresh reads all slot rows once, takes and releases slots, and confirms the
// right to spend. Run calls it regularly and on events.
func (s *Sync) Refresh(ctx context.Context) error {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	s.mu.Lock()
	losses := s.losses
	s.mu.Unlock()
	began := time.Now()
	rows, err := s.config.Table.List(ctx, kind)
	if err != nil {
		return oops.Wrapf(err, "read the slot rows")
	}
	s.mu.Lock()
	s.load(rows)
	s.rowsAt = began
	now := time.Now()
	at := s.gate(now)
	takes, releases := s.reconcile(now, at)
	if s.losses == losses && !s.closing {
		s.verified = true
		at = s.gate(now)
	}
	out := s.finish(at, false)
	s.mu.Unlock()
	s.send(out)
	return errors.Join(s.commit(ctx, takes, s.taken), s.commit(ctx, releases, s.released))
}

func (s *Sync) load(rows []ports.Row) {
	s.rows, s.unsettled = map[slotKey]stored{}, true
	for _, r := range rows {
		key, ok := parseSlotKey(r.Key)
		row, err := DecodeSlotRow(r.Value)
		if !ok || err != nil {
			s.config.Log.WithField("key", r.Key).Error("slot row is not readable")
			continue
		}
		s.rows[key] = stored{SlotRow: row, exists: true, revision: r.Revision}
	}
	s.updateHolders()
}

// reconcile compares the rows with the ledger and returns the writes to make.
func (s *Sync) reconcile(now time.Time, at time.Duration) (takes, releases []change) {
	leaving := s.leaving()
	for _, key := range s.keys() {
		view := s.view(key, leaving)
		what, start := decide(view)
		switch what {
		case take:
			takes = append(takes, change{key, SlotRow{
				Holder: view.self.instance, Incarnation: view.self.incarnation, Address: view.address,
				Level: start.Level, Lent: start.Lent, Empty: start.Empty, Generation: view.row.Generation + 1,
			}, view.row.revision})
		case adopt:
			s.activate(key, view.row.SlotRow, at)
		case drop:
			s.ledger.GiveUp(key.workspace, key.index, at)
			s.config.Log.WithField("slot", key.String()).WithField("holder", view.row.Holder).Warn("slot has passed to another instance")
		case free:
			releases = append(releases, s.release(key, at))
		case keep:
			if len(releases) < maxReleases && s.misplaced(key, now) {
				releases = append(releases, s.release(key, at))
			}
		}
		if what != free && what != keep {
			delete(s.parked, key) // the row no longer waits for a release from here
		}
	}
	return takes, releases
}

// misplaced reports whether another live member has ranked first for a while.
func (s *Sync) misplaced(key slotKey, now time.Time) bool {
	owner := s.owners[key.workspace][key.index]
	return owner != "" && owner != s.config.Session.Instance() && now.Sub(s.membersSince) >= s.config.RebalanceAfter
}

// release stops spending from a slot and returns the write that frees its row.
func (s *Sync) release(key slotKey, at time.Duration) change {
	if start, ok := s.ledger.GiveUp(key.workspace, key.index, at); ok {
		s.parked[key] = parkedSlot{Start: start}
	}
	row, start := s.rows[key], s.parked[key]
	return change{key, SlotRow{Level: start.Level, Lent: start.Lent, Empty: start.Empty, Generation: row.Generation}, row.revision}
}

func (s *Sync) activate(key slotKey, row SlotRow, at time.Duration) {
	if s.ledger.Gain(key.workspace, key.index, row.start(), at) {
		s.activated[key] = row.Generation
		s.config.Log.WithFields(log.Fields{"slot": key.String(), "generation": row.Generation, "level": row.Level, "empty": row.Empty}).Info("slot gained")
	}
}

// commit writes changes in few transactions. If one row of a transaction has
// moved on, its rows are written one by one.
func (s *Sync) commit(ctx context.Context, changes []change, done func(change, error)) error {
	var errs error
	for batch := range slices.Chunk(changes, maxWrites) {
		err := s.write(ctx, batch)
		if errors.Is(err, ports.ErrConflict) && len(batch) > 1 {
			for _, c := range batch {
				err := s.write(ctx, []change{c})
				done(c, err)
			}
			continue
		}
		for _, c := range batch {
			done(c, err)
		}
		if err != nil && !errors.Is(err, ports.ErrConflict) {
			errs = errors.Join(errs, err)
		}
	}
	return oops.Wrapf(errs, "write slot rows")
}

func (s *Sync) write(ctx context.Context, changes []change) error {
	var writes []ports.Write
	for _, c := range changes {
		value, err := c.row.Encode()
		if err != nil {
			return errors.Join(ports.ErrNotApplied, err)
		}
		writes = append(writes, ports.Write{Key: c.key.String(), Value: value, Revision: c.revision})
	}
	return ports.Commit(ctx, s.config.Table, rand.Text(), writes...)
}

// taken activates a slot whose row was written. After an unknown outcome the
// next refresh finds the row and adopts it.
func (s *Sync) taken(c change, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsettled = true
	if err != nil {
		return
	}
	at := s.gate(time.Now())
	s.rows[c.key] = stored{SlotRow: c.row, exists: true, revision: c.revision + 1}
	if !s.closing {
		s.activate(c.key, c.row, at)
	}
	s.updateHolders()
}

// released forgets a slot whose row was freed and tells the member that ranks
// first. A release that was certainly not applied is taken back. One whose
// outcome is unknown is repeated, because its write may still take effect.
func (s *Sync) released(c change, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsettled = true
	slot := s.parked[c.key]
	refused := errors.Is(err, ports.ErrNotApplied) && !errors.Is(err, ports.ErrUnknown)
	switch {
	case err == nil || errors.Is(err, ports.ErrConflict): // freed, or the row has moved on
		delete(s.parked, c.key)
	case refused && !s.closing && !slot.unsure:
		s.ledger.Gain(c.key.workspace, c.key.index, slot.Start, s.gate(time.Now()))
		delete(s.parked, c.key)
	default:
		s.parked[c.key] = parkedSlot{Start: slot.Start, unsure: slot.unsure || !refused}
	}
	if err != nil {
		return
	}
	s.rows[c.key] = stored{SlotRow: c.row, exists: true, revision: c.revision + 1}
	s.config.Log.WithFields(log.Fields{"slot": c.key.String(), "level": c.row.Level}).Info("slot released")
	owner := s.owners[c.key.workspace][c.key.index]
	if owner == "" || owner == s.config.Session.Instance() {
		return
	}
	s.sends.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
		defer cancel()
		if _, err := s.config.Transport.Send(ctx, owner, &quota.SlotReleased{Workspace: c.key.workspace}); err != nil {
			s.config.Log.WithError(err).WithField("instance", owner).Debug("release was not announced")
		}
	})
}

// Run ticks and refreshes until ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	var refreshes sync.WaitGroup
	defer refreshes.Wait()
	refreshes.Go(func() { s.refreshLoop(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.Tick()
		}
	}
}

func (s *Sync) refreshLoop(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRefreshGap/2, s.config.Refresh
	for ctx.Err() == nil {
		started := time.Now()
		limited, cancel := context.WithTimeout(ctx, refreshTimeout)
		err := s.Refresh(limited)
		cancel()
		wait := s.interval()
		if err != nil && ctx.Err() == nil {
			wait = retry.NextBackOff()
			s.config.Log.WithError(err).Warn("slots were not refreshed")
		} else {
			retry.Reset()
		}
		s.pause(ctx, started, wait, err == nil)
	}
}

// interval spreads the regular readings, so that all instances together read
// the rows at most about 20 times a second.
func (s *Sync) interval() time.Duration {
	s.mu.Lock()
	members := len(s.members)
	s.mu.Unlock()
	base := max(s.config.Refresh, time.Duration(members)*refreshPerMember)
	return base + mathrand.N(base/4)
}

// pause waits for the next refresh: the interval, or an event if the last one succeeded.
func (s *Sync) pause(ctx context.Context, started time.Time, wait time.Duration, events bool) {
	kick := s.kick
	if !events {
		kick = nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
		return
	case <-kick:
	}
	timer.Reset(max(0, minRefreshGap-time.Since(started)))
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Shutdown stops spending, returns borrowed tokens and releases all slots. It
// is called after the last request has been settled.
func (s *Sync) Shutdown(ctx context.Context) error {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	s.mu.Lock()
	s.closing = true
	at := s.gate(time.Now())
	s.place()
	s.ledger.ReturnGrants(at)
	var releases []change
	for _, key := range s.keys() {
		if _, parked := s.parked[key]; parked || s.ledger.Holds(key.workspace, key.index) {
			releases = append(releases, s.release(key, at))
		}
	}
	out := s.finish(at, true)
	s.mu.Unlock()
	s.send(out)
	err := s.commit(ctx, releases, s.released)
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.sends.Wait()
	s.cancel()
	return err
}
