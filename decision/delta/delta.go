// Package delta encodes a text as its difference from an older one, so that a
// small change to a large document takes few bytes to send. It is meant for JSON
// documents with many objects, of which a change affects a few.
package delta

import (
	"bytes"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// boundary is the byte before which a text is split into pieces.
const boundary = '{'

// Op copies pieces of the old text, then inserts bytes.
type Op struct {
	// From and Count are the index of the first piece of the old text to copy and
	// the number of pieces.
	From  int `cbor:"1,keyasint,omitempty"`
	Count int `cbor:"2,keyasint,omitempty"`
	// Bytes is inserted after the copied pieces.
	Bytes []byte `cbor:"3,keyasint,omitempty"`
}

// Delta is the difference from an old text to a new one.
type Delta struct {
	// Old and New are the XXH64 hashes of the two texts.
	Old uint64 `cbor:"1,keyasint"`
	New uint64 `cbor:"2,keyasint"`
	Ops []Op   `cbor:"3,keyasint"`
}

// ErrBaseMismatch means that a delta does not apply to the given old text or is
// malformed.
var ErrBaseMismatch = errors.New("delta does not apply to this text")

// pieces splits a text before each boundary.
func pieces(text []byte) [][]byte {
	var list [][]byte
	for len(text) > 0 {
		end := bytes.IndexByte(text[1:], boundary) + 1
		if end == 0 {
			end = len(text)
		}
		list = append(list, text[:end])
		text = text[end:]
	}
	return list
}

// Diff returns the delta from an older text to text.
func Diff(old, text []byte) *Delta {
	d := &Delta{Old: xxhash.Sum64(old), New: xxhash.Sum64(text)}
	oldPieces := pieces(old)
	index := make(map[string]int, len(oldPieces))
	for i, p := range oldPieces {
		index[string(p)] = i
	}
	for _, p := range pieces(text) {
		last := len(d.Ops) - 1
		if last >= 0 && d.Ops[last].Count > 0 {
			// Extend the last copy if the next old piece matches. Equal pieces may
			// occur several times, and index holds only one position of each.
			if next := d.Ops[last].From + d.Ops[last].Count; next < len(oldPieces) && bytes.Equal(oldPieces[next], p) {
				d.Ops[last].Count++
				continue
			}
		}
		if i, ok := index[string(p)]; ok {
			d.Ops = append(d.Ops, Op{From: i, Count: 1})
			continue
		}
		if last >= 0 && d.Ops[last].Count == 0 {
			d.Ops[last].Bytes = append(d.Ops[last].Bytes, p...)
			continue
		}
		d.Ops = append(d.Ops, Op{Bytes: bytes.Clone(p)})
	}
	return d
}

// Size returns the approximate encoded size of the delta in bytes.
func (d *Delta) Size() int {
	const perOp = 12
	n := 24
	for _, o := range d.Ops {
		n += perOp + len(o.Bytes)
	}
	return n
}

// Apply returns the new text for the old one, or ErrBaseMismatch if the delta does
// not apply to it.
func (d *Delta) Apply(old []byte) ([]byte, error) {
	if xxhash.Sum64(old) != d.Old {
		return nil, ErrBaseMismatch
	}
	oldPieces := pieces(old)
	var text []byte
	for _, o := range d.Ops {
		if o.From < 0 || o.Count < 0 || o.From > len(oldPieces) || o.Count > len(oldPieces)-o.From {
			return nil, ErrBaseMismatch
		}
		for _, p := range oldPieces[o.From : o.From+o.Count] {
			text = append(text, p...)
		}
		text = append(text, o.Bytes...)
	}
	if xxhash.Sum64(text) != d.New {
		return nil, ErrBaseMismatch
	}
	return text, nil
}
