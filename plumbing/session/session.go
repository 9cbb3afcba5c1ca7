// Package session maintains the table row that registers one incarnation of an
// instance, and detects pauses of the process.
package session

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	// Kind is the kind of session rows.
	Kind = "session"
	// Lifetime is how long a session stays valid after its last renewal. It
	// covers a table outage of one hour, so that shares stay usable during it.
	Lifetime = 75 * time.Minute
	// PauseLimit is the longest gap between two ticks that does not require
	// another check of the row.
	PauseLimit    = 3 * time.Second
	tickInterval  = 500 * time.Millisecond
	renewInterval = time.Minute
	callTimeout   = 2 * time.Second
)

// Record is the value of a session row.
type Record struct {
	Incarnation string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint"`
	Renewals    uint64 `cbor:"4,keyasint"`
	Ended       bool   `cbor:"5,keyasint,omitempty"`
}

// Session registers one incarnation. Its methods are safe for concurrent use.
type Session struct {
	table    ports.Table
	instance string
	record   Record

	mu       sync.Mutex
	revision uint64
	renewed  time.Time // when the last confirmed renewal was sent
	lastTick time.Time
	checked  bool // no pause since the last check of the row
	lost     bool // another incarnation has taken the row, or the session has ended
}

// New returns a session that has not been registered yet.
func New(table ports.Table, instance, incarnation, dataCentre string) *Session {
	return &Session{table: table, instance: instance, record: Record{Incarnation: incarnation, DataCentre: dataCentre}}
}

// Instance returns the name of the instance.
func (s *Session) Instance() string { return s.instance }

// Incarnation returns the ID of this run of the process.
func (s *Session) Incarnation() string { return s.record.Incarnation }

// Address returns the peer address.
func (s *Session) Address() string { return s.record.Address }

// SetAddress sets the peer address. It must be called before Run.
func (s *Session) SetAddress(address string) { s.record.Address = address }

// Valid reports whether the instance may spend its shares, send orders and
// forward requests: its session is registered, has not ended, and the process
// has not been paused since the row was last checked.
func (s *Session) Valid(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checked && !s.lost && now.Sub(s.lastTick) <= PauseLimit && now.Sub(s.renewed) < Lifetime
}

// Lost reports whether another incarnation has registered under the name or End
// has been called.
func (s *Session) Lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// Tick records that the process is running. After a gap longer than PauseLimit
// the session is not valid until the row has been checked again.
func (s *Session) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) > PauseLimit {
		s.checked = false
	}
	s.lastTick = now
}

// renewalDue reports whether the row must be checked or renewed.
func (s *Session) renewalDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost && (!s.checked || now.Sub(s.renewed) >= renewInterval)
}

// Run registers and renews the session until ctx ends, and then returns nil.
func (s *Session) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	renewing := make(chan struct{}, 1)
	for {
		now := time.Now()
		s.Tick(now)
		if s.renewalDue(now) {
			select {
			case renewing <- struct{}{}:
				go func() {
					defer func() { <-renewing }()
					s.Renew(ctx) //nolint:errcheck // retried at the next tick.
				}()
			default:
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Renew registers the session, or renews it if this incarnation still holds the
// row.
func (s *Session) Renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	row, err := s.table.Get(ctx, Kind+"/"+s.instance)
	if err != nil && !errors.Is(err, ports.ErrNotFound) {
		return oops.In("session").Wrapf(err, "read session row")
	}
	var current Record
	if err == nil {
		if err := cbor.Unmarshal(row.Value, &current); err != nil {
			return oops.In("session").Wrapf(err, "decode session row")
		}
	}
	s.mu.Lock()
	registered := s.revision > 0
	s.mu.Unlock()
	if registered && current.Incarnation != s.record.Incarnation {
		s.mu.Lock()
		s.lost = true
		s.mu.Unlock()
		return oops.In("session").Errorf("another incarnation of %s has registered", s.instance)
	}
	return s.write(ctx, sent, row.Revision, current.Renewals+1, false)
}

func (s *Session) write(ctx context.Context, sent time.Time, revision, renewals uint64, ended bool) error {
	record := s.record
	record.Renewals, record.Ended = renewals, ended
	value, err := cbor.Marshal(record)
	if err != nil {
		return oops.In("session").Wrap(err)
	}
	err = ports.Commit(ctx, s.table, uuid.NewString(), ports.Write{Key: Kind + "/" + s.instance, Value: value, Revision: revision})
	if err != nil {
		return oops.In("session").Wrapf(err, "write session row")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.renewed = revision+1, sent
	if s.lastTick.IsZero() || time.Since(s.lastTick) <= PauseLimit {
		s.checked = true
	}
	return nil
}

// End marks the session as ended. It is called after shares and leases have been
// released.
func (s *Session) End(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	s.lost = true
	s.mu.Unlock()
	row, err := s.table.Get(ctx, Kind+"/"+s.instance)
	if err != nil {
		return oops.In("session").Wrapf(err, "read session row")
	}
	return s.write(ctx, time.Now(), row.Revision, 0, true)
}
