// Package ports defines the interfaces of the services that the platform
// provides and the errors that indicate whether a write took effect.
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
	// Revision starts at 1 and increases by one with every write of the row.
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
	// Check only tests the revision and writes nothing.
	Check bool
	// Delete removes the row.
	Delete bool
	// ExpiresAt is the time after which the table may remove the row; zero
	// means never.
	ExpiresAt time.Time
}

// Table is the platform's transactional table service. Reads are strongly
// consistent. Clients do not retry.
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

// ObjectStore is the platform's object store.
type ObjectStore interface {
	Put(ctx context.Context, key string, data []byte) error
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}

// ListedInstance is one entry of the platform's instance list.
type ListedInstance struct {
	ID          string
	Address     string // IP address and port
	DataCentre  string
	Incarnation string // empty if the platform does not provide it
	Leaving     bool
}

// InstanceList is the platform's list of live and leaving instances. The list may
// be out of date.
type InstanceList interface {
	List(ctx context.Context) ([]ListedInstance, error)
}

// WeightStore is the store of model checkpoints.
type WeightStore interface {
	// Size returns the size of a checkpoint in bytes or ErrNotFound.
	Size(ctx context.Context, checkpoint string) (int64, error)
}

// Commit applies a transaction. If the response is lost, it reads back the
// first written row and compares its token to find out whether the transaction
// took effect, and repeats the transaction if it did not. It returns nil if the
// writes are in effect, ErrConflict if they are not and the rows have changed,
// and ErrUnknown if the outcome is still unknown when ctx ends or after
// maxReadBacks attempts. An ErrUnknown returned after a repeat contains the text
// of the last error but does not wrap it.
func Commit(ctx context.Context, table Table, token string, writes ...Write) error {
	err := table.Transact(ctx, token, writes...)
	if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrNotApplied) {
		return err
	}
	for attempt := 0; attempt < maxReadBacks; attempt++ {
		if applied, known := readBack(ctx, table, token, writes); known {
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
			return effectUnknown(err)
		case <-time.After(readBackDelay):
		}
	}
	return effectUnknown(err)
}

// effectUnknown returns ErrUnknown with the text of the last error. It does not
// wrap that error, since a refused repeat does not show whether the first
// attempt took effect.
func effectUnknown(last error) error { return fmt.Errorf("%w: %v", ErrUnknown, last) }

const (
	maxReadBacks  = 5
	readBackDelay = 100 * time.Millisecond
)

// readBack reports whether the transaction is in effect, and whether that could
// be determined. A transaction that only deletes leaves no token to read; it
// counts as not applied, so that Commit repeats it and takes that outcome.
func readBack(ctx context.Context, table Table, token string, writes []Write) (applied, known bool) {
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
