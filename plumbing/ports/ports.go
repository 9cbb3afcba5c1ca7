// Package ports holds the interfaces of the services that the platform
// provides and the errors that tell whether a write took effect.
package ports

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Errors of the table and the object store. Any error of a write that wraps
// neither ErrConflict nor ErrNotApplied leaves its effect unknown.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a condition failed and nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrNotApplied means that the service refused the write or was never reached.
	ErrNotApplied = errors.New("not applied")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("effect unknown")
)

// Row is one row of the table. Its key is "kind/name"; rows of one kind are
// listed together.
type Row struct {
	Key   string
	Value []byte
	// Revision grows by one with every write of the row, beginning at 1.
	Revision uint64
	// Token is the token of the last write.
	Token string
}

// SplitKey returns the kind and the name of a row key.
func SplitKey(key string) (kind, name string) {
	kind, name, _ = strings.Cut(key, "/")
	return kind, name
}

// Write is one conditional write or check of a transaction.
type Write struct {
	Key   string
	Value []byte
	// Revision is the expected current revision; 0 means that the row is absent.
	Revision uint64
	// Check only tests the revision.
	Check bool
	// Delete removes the row.
	Delete bool
	// ExpiresAt lets the table remove the row after that time; zero keeps it.
	ExpiresAt time.Time
}

// Table is the platform's transactional table service. Reads are strongly
// consistent. Clients do not retry by themselves.
type Table interface {
	// Get returns a row or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns all rows of a kind, sorted by name.
	List(ctx context.Context, kind string) ([]Row, error)
	// Transact applies all writes or none. Token identifies the transaction:
	// it is stored in each written row, and a repeat with the same token and
	// writes has no second effect.
	Transact(ctx context.Context, token string, writes ...Write) error
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}

// ListedInstance is one entry of the platform's instance list.
type ListedInstance struct {
	ID          string
	Address     string // IP address and port
	DataCentre  string
	Incarnation string // empty where the platform does not know it
	Leaving     bool
}

// Instances is the platform's list of live and leaving instances. It lags.
type Instances interface {
	List(ctx context.Context) ([]ListedInstance, error)
}

// Weights is the store of model checkpoints.
type Weights interface {
	// Size returns the size of a checkpoint in bytes or ErrNotFound.
	Size(ctx context.Context, checkpoint string) (int64, error)
}

// Commit applies a transaction and settles a lost answer: it reads back the
// first written row and compares its token. It returns nil if the writes are
// in effect, ErrConflict if they are not and the rows have moved on, and
// ErrUnknown if the table does not answer before ctx ends. ErrUnknown can come
// joined with the error of the last repeat, so it is to be tested first.
func Commit(ctx context.Context, table Table, token string, writes ...Write) error {
	err := table.Transact(ctx, token, writes...)
	if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrNotApplied) {
		return err
	}
	for attempt := 0; attempt < settleAttempts; attempt++ {
		if applied, settled := settle(ctx, table, token, writes); settled {
			if applied {
				return nil
			}
			// Repeating with the same token has no second effect.
			err = table.Transact(ctx, token, writes...)
			if err == nil || errors.Is(err, ErrConflict) {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return unknown(err)
		case <-time.After(settleDelay):
		}
	}
	return unknown(err)
}

// unknown reports that the effect of a transaction is unknown. It does not wrap
// the last error, since a refused repeat says nothing about the first try.
func unknown(last error) error { return fmt.Errorf("%w: %v", ErrUnknown, last) }

const (
	settleAttempts = 5
	settleDelay    = 100 * time.Millisecond
)

// settle reports whether the transaction is in effect, and whether that could
// be found out. A transaction that only deletes leaves no token to read; it
// counts as not applied, and its repeat settles it.
func settle(ctx context.Context, table Table, token string, writes []Write) (applied, settled bool) {
	for _, w := range writes {
		if w.Check || w.Delete {
			continue
		}
		row, err := table.Get(ctx, w.Key)
		if errors.Is(err, ErrNotFound) {
			return false, true
		}
		if err != nil {
			return false, false
		}
		return row.Token == token, true
	}
	return false, true
}
