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
	// refreshTimeout bounds a refresh, reads and writes, while the table is slow.
	refreshTimeout = 5 * time.Second
	// minRefreshGap is the shortest time between refreshes that events trigger.
	minRefreshGap = time.Second
	// refreshPerMember scales the refresh interval with the number of members.
	refreshPerMember = 50 * time.Millisecond
	// maxReleases bounds the slots that one refresh releases for rebalancing.
	maxReleases = 1
)

// pendingRelease is the state of a slot that this instance no longer spends
// from and whose release is not confirmed yet.
type pendingRelease struct {
	quota.SlotStart
	outcomeUnknown bool // a write of the release may still be applied
}

// change is one write of a refresh.
type change struct {
	key      slotKey
	row      SlotRow
	revision uint64
}

// computeOwners determines the member that ranks first for each slot. The
// instance counts itself as a member unless it is leaving, because the list may
// not show it yet.
func (s *Sync) computeOwners() {
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

// foreignHolders returns the holders of slots other than this incarnation.
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

// updateHolders passes the other holders of slots to the ledger, which requests
// grants from them.
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
	_, configured := s.limits[key.workspace]
	return slotView{
		row: row, self: s.self(), address: s.config.Session.Address(),
		ranksFirst: s.owners[key.workspace][key.index] == s.config.Session.Instance(),
		configured: configured, leaving: leaving, holding: s.ledger.Holds(key.workspace, key.index),
		activated: s.activated[key], holderGone: s.absences.gone[row.holder()], full: s.ledger.FullStart(key.workspace),
	}
}

// leaving reports whether this instance takes no slots, because it is leaving
// or has not received the list of members yet.
func (s *Sync) leaving() bool {
	return s.closing || !s.listReceived || slices.ContainsFunc(s.members, func(m Member) bool {
		return m.Instance == s.config.Session.Instance() && m.State != Live
	})
}

// keys returns the slots of all workspaces in the catalogue or the table, sorted.
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

// hasSlotToTake reports whether a refresh would take a slot, according to the
// rows last read.
func (s *Sync) hasSlotToTake() bool {
	leaving := s.leaving()
	return slices.ContainsFunc(s.keys(), func(key slotKey) bool {
		slotAction, _ := decide(s.view(key, leaving))
		return slotAction == take
	})
}

// Refresh reads all slot rows once, takes and releases slots, and confirms the
// right to spend. Run calls it at regular intervals and on events.
func (s *Sync) Refresh(ctx context.Context) error {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	s.mu.Lock()
	invalidations := s.invalidations
	s.mu.Unlock()
	began := time.Now()
	rows, err := s.config.Table.List(ctx, rowKind)
	if err != nil {
		return oops.Wrapf(err, "read slot rows")
	}
	s.mu.Lock()
	s.load(rows)
	s.rowsReadAt = began
	now := time.Now()
	at := s.updateSpending(now)
	takes, releases := s.reconcile(now, at)
	if s.invalidations == invalidations && !s.closing {
		s.verified = true
		at = s.updateSpending(now)
	}
	out := s.resolveTickets(at, false)
	s.mu.Unlock()
	s.send(out)
	return errors.Join(s.commit(ctx, takes, s.completeTake), s.commit(ctx, releases, s.completeRelease))
}

func (s *Sync) load(rows []ports.Row) {
	s.rows, s.takesUnchecked = map[slotKey]storedRow{}, true
	for _, r := range rows {
		key, ok := parseSlotKey(r.Key)
		row, err := DecodeSlotRow(r.Value)
		if !ok || err != nil {
			s.config.Log.WithField("key", r.Key).Error("malformed slot row")
			continue
		}
		s.rows[key] = storedRow{SlotRow: row, exists: true, revision: r.Revision}
	}
	s.updateHolders()
}

// reconcile compares the rows with the ledger and returns the writes that take
// and release slots.
func (s *Sync) reconcile(now time.Time, at time.Duration) (takes, releases []change) {
	leaving := s.leaving()
	for _, key := range s.keys() {
		view := s.view(key, leaving)
		slotAction, start := decide(view)
		switch slotAction {
		case take:
			takes = append(takes, change{key, SlotRow{
				Holder: view.self.instance, Incarnation: view.self.incarnation, Address: view.address,
				Level: start.Level, Lent: start.Lent, Empty: start.Empty, Generation: view.row.Generation + 1,
			}, view.row.revision})
		case adopt:
			s.activate(key, view.row.SlotRow, at)
		case drop:
			s.ledger.RemoveSlot(key.workspace, key.index, at)
			s.config.Log.WithField("slot", key.String()).WithField("holder", view.row.Holder).Warn("slot was taken by another instance")
		case free:
			releases = append(releases, s.release(key, at))
		case keep:
			if len(releases) < maxReleases && s.misplaced(key, now) {
				releases = append(releases, s.release(key, at))
			}
		}
		if slotAction != free && slotAction != keep {
			delete(s.pendingReleases, key) // the row no longer awaits a release by this instance
		}
	}
	return takes, releases
}

// misplaced reports whether another live member ranks first for the slot and the
// members have been unchanged for RebalanceAfter.
func (s *Sync) misplaced(key slotKey, now time.Time) bool {
	owner := s.owners[key.workspace][key.index]
	return owner != "" && owner != s.config.Session.Instance() && now.Sub(s.membersSince) >= s.config.RebalanceAfter
}

// release stops spending from a slot and returns the write that clears its
// holder.
func (s *Sync) release(key slotKey, at time.Duration) change {
	if start, ok := s.ledger.RemoveSlot(key.workspace, key.index, at); ok {
		s.pendingReleases[key] = pendingRelease{SlotStart: start}
	}
	row, start := s.rows[key], s.pendingReleases[key]
	return change{key, SlotRow{Level: start.Level, Lent: start.Lent, Empty: start.Empty, Generation: row.Generation}, row.revision}
}

func (s *Sync) activate(key slotKey, row SlotRow, at time.Duration) {
	if s.ledger.AddSlot(key.workspace, key.index, row.start(), at) {
		s.activated[key] = row.Generation
		s.config.Log.WithFields(log.Fields{"slot": key.String(), "generation": row.Generation, "level": row.Level, "empty": row.Empty}).Info("slot gained")
	}
}

// commit writes changes in batches of maxWrites. If a transaction conflicts,
// because one of its rows has changed, its rows are written one by one. It calls
// done for each change.
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

// completeTake activates a slot whose row was written. If the outcome of the
// write is unknown, the next refresh adopts the row if it was written.
func (s *Sync) completeTake(c change, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takesUnchecked = true
	if err != nil {
		return
	}
	at := s.updateSpending(time.Now())
	s.rows[c.key] = storedRow{SlotRow: c.row, exists: true, revision: c.revision + 1}
	if !s.closing {
		s.activate(c.key, c.row, at)
	}
	s.updateHolders()
}

// completeRelease removes the pending release of a slot whose row was written
// and notifies the member that ranks first. A release that was certainly not
// applied is undone. One whose outcome is unknown is repeated, because its write
// may still be applied.
func (s *Sync) completeRelease(c change, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takesUnchecked = true
	pending := s.pendingReleases[c.key]
	refused := errors.Is(err, ports.ErrNotApplied) && !errors.Is(err, ports.ErrUnknown)
	switch {
	case err == nil || errors.Is(err, ports.ErrConflict): // released, or the row has changed since
		delete(s.pendingReleases, c.key)
	case refused && !s.closing && !pending.outcomeUnknown:
		s.ledger.AddSlot(c.key.workspace, c.key.index, pending.SlotStart, s.updateSpending(time.Now()))
		delete(s.pendingReleases, c.key)
	default:
		s.pendingReleases[c.key] = pendingRelease{SlotStart: pending.SlotStart, outcomeUnknown: pending.outcomeUnknown || !refused}
	}
	if err != nil {
		return
	}
	s.rows[c.key] = storedRow{SlotRow: c.row, exists: true, revision: c.revision + 1}
	s.config.Log.WithFields(log.Fields{"slot": c.key.String(), "level": c.row.Level}).Info("slot released")
	owner := s.owners[c.key.workspace][c.key.index]
	if owner == "" || owner == s.config.Session.Instance() {
		return
	}
	s.sends.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
		defer cancel()
		if _, err := s.config.Transport.Send(ctx, owner, &quota.SlotReleased{Workspace: c.key.workspace}); err != nil {
			s.config.Log.WithError(err).WithField("instance", owner).Debug("slot release notification failed")
		}
	})
}

// Run calls Tick and Refresh periodically until ctx ends.
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
			s.config.Log.WithError(err).Warn("slot refresh failed")
		} else {
			retry.Reset()
		}
		s.awaitNextRefresh(ctx, started, wait, err == nil)
	}
}

// interval returns the randomised time until the next regular refresh. All
// instances together read the rows at most about 20 times a second.
func (s *Sync) interval() time.Duration {
	s.mu.Lock()
	members := len(s.members)
	s.mu.Unlock()
	base := max(s.config.Refresh, time.Duration(members)*refreshPerMember)
	return base + mathrand.N(base/4)
}

// awaitNextRefresh waits until the next refresh is due: after the interval, or
// earlier on an event if the last refresh succeeded.
func (s *Sync) awaitNextRefresh(ctx context.Context, started time.Time, wait time.Duration, events bool) {
	signal := s.refreshSignal
	if !events {
		signal = nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
		return
	case <-signal:
	}
	timer.Reset(max(0, minRefreshGap-time.Since(started)))
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Shutdown stops spending, returns borrowed tokens and releases all slots. It
// must be called after the last request has been settled.
func (s *Sync) Shutdown(ctx context.Context) error {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	s.mu.Lock()
	s.closing = true
	at := s.updateSpending(time.Now())
	s.computeOwners()
	s.ledger.ReturnGrants(at)
	var releases []change
	for _, key := range s.keys() {
		if _, pending := s.pendingReleases[key]; pending || s.ledger.Holds(key.workspace, key.index) {
			releases = append(releases, s.release(key, at))
		}
	}
	out := s.resolveTickets(at, true)
	s.mu.Unlock()
	s.send(out)
	err := s.commit(ctx, releases, s.completeRelease)
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.sends.Wait()
	s.cancel()
	return err
}
