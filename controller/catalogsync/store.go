// Package catalogsync keeps an instance's catalogue current: it reads the table,
// receives pushes from peers, proves freshness, and performs edits.
package catalogsync

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	rowKey      = "catalog/current"
	objectsPath = "catalog/"
)

// pointer is the value of the catalogue row. It refers to the body in the object
// store by digest.
type pointer struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
}

// store reads and writes catalogues in the platform's table and object store.
type store struct {
	table   ports.Table
	objects ports.ObjectStore
}

// head returns the current pointer and the revision of its row. Version and
// revision are 0 if the table holds no catalogue.
func (s store) head(ctx context.Context) (pointer, uint64, error) {
	row, err := s.table.Get(ctx, rowKey)
	if errors.Is(err, ports.ErrNotFound) {
		return pointer{}, 0, nil
	}
	if err != nil {
		return pointer{}, 0, err
	}
	var p pointer
	if err := cbor.Unmarshal(row.Value, &p); err != nil {
		return pointer{}, 0, oops.In("catalogsync").Wrapf(err, "decode catalogue row")
	}
	return p, row.Revision, nil
}

func (s store) body(ctx context.Context, digest string) ([]byte, error) {
	return s.objects.Get(ctx, objectsPath+digest)
}

// commit stores the body and updates the row if it is at the given revision. The
// body is written first, so that every version in the row can be read.
func (s store) commit(ctx context.Context, revision uint64, next pointer, body []byte) error {
	if err := s.objects.Put(ctx, objectsPath+next.Digest, body); err != nil {
		return errors.Join(ports.ErrNotApplied, err)
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		return oops.In("catalogsync").Wrap(err)
	}
	return ports.Commit(ctx, s.table, uuid.NewString(), ports.Write{Key: rowKey, Value: value, Revision: revision})
}

// decode verifies a body against its digest and builds the index.
func decode(digest string, body []byte) (*catalog.Index, error) {
	if catalog.Digest(body) != digest {
		return nil, oops.In("catalogsync").Errorf("catalogue body does not match digest %s", digest)
	}
	c, err := catalog.Load(body)
	if err != nil {
		return nil, oops.In("catalogsync").Wrapf(err, "load stored catalogue")
	}
	return catalog.NewIndex(c, digest), nil
}

const (
	readTimeout  = 1500 * time.Millisecond
	writeTimeout = 5 * time.Second
)
