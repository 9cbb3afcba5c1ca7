package ports

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone means that a feed can't be continued because the store has
// discarded or lost the changes since the given version, or that a write was not
// applied because the store has lost the expected version. The caller must read the
// whole table again.
var ErrHistoryGone = errors.New("history gone")

// VersionedRow is one row of a RowStore.
type VersionedRow struct {
	Table   string
	Key     string
	Value   []byte
	Version int64
	Deleted bool // only in feeds
}

// Page is the result of a RowStore call.
type Page struct {
	Rows []VersionedRow
	// Version is the newest version that the page covers.
	Version int64
	// Era is the era in which the store answered. It rises when the store comes back
	// from a copy that lacks what was written last. Versions of a later era are higher
	// than all versions of earlier ones.
	Era int64
	// Clock is the reading of the store's monotonic clock when it sent the page.
	Clock time.Duration
}

// Change is one conditional write of a transaction.
type Change struct {
	Table           string
	Key             string
	Value           []byte
	ExpectedVersion int64 // version that the row must have; 0 means that it must not exist
	Unconditional   bool  // write regardless of the current version
}

// RowStore is a linearizable store of versioned rows with a feed of changes.
// Clients do not retry.
type RowStore interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Page, error)
	// Feed returns the rows that changed after a version, waiting up to wait
	// for the first one, or ErrHistoryGone.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
	// Commit applies all changes or none. With ErrConflict the page holds the
	// current rows.
	Commit(ctx context.Context, changes ...Change) (Page, error)
}
