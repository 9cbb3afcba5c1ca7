// Package delta describes a text by what it shares with an older one, so that a
// small change of a large document costs little to send. Documents here are
// JSON with many objects, of which a change touches a few.
package delta

import (
	"bytes"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// boundary is the byte in front of which a text is cut into pieces.
const boundary = '{'

// Op takes pieces of the old text or adds bytes of its own.
type Op struct {
	// From and Count are the pieces of the old text that are taken.
	From  int    `cbor:"1,keyasint,omitempty"`
	Count int    `cbor:"2,keyasint,omitempty"`
	Bytes []byte `cbor:"3,keyasint,omitempty"`
}

// Delta makes a new text of an old one.
type Delta struct {
	// Old and New are hashes of both texts.
	Old uint64 `cbor:"1,keyasint"`
	New uint64 `cbor:"2,keyasint"`
	Ops []Op   `cbor:"3,keyasint"`
}

// ErrOtherText means that a delta is for another old text.
var ErrOtherText = errors.New("delta is for another text")

// pieces cuts a text in front of each boundary.
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

// Of returns the delta that makes a text of an older one.
func Of(old, text []byte) *Delta {
	d := &Delta{Old: xxhash.Sum64(old), New: xxhash.Sum64(text)}
	known := pieces(old)
	at := make(map[string]int, len(known))
	for i, p := range known {
		at[string(p)] = i
	}
	for _, p := range pieces(text) {
		last := len(d.Ops) - 1
		if last >= 0 && d.Ops[last].Count > 0 {
			// Goes on with the pieces behind those taken last: equal pieces may
			// stand in several places.
			if next := d.Ops[last].From + d.Ops[last].Count; next < len(known) && bytes.Equal(known[next], p) {
				d.Ops[last].Count++
				continue
			}
		}
		if i, ok := at[string(p)]; ok {
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

// Size returns about how many bytes the delta takes.
func (d *Delta) Size() int {
	const perOp = 12
	n := 24
	for _, o := range d.Ops {
		n += perOp + len(o.Bytes)
	}
	return n
}

// Apply makes the new text of the old one.
func (d *Delta) Apply(old []byte) ([]byte, error) {
	if xxhash.Sum64(old) != d.Old {
		return nil, ErrOtherText
	}
	known := pieces(old)
	var text []byte
	for _, o := range d.Ops {
		if o.From < 0 || o.Count < 0 || o.From > len(known) || o.Count > len(known)-o.From {
			return nil, ErrOtherText
		}
		for _, p := range known[o.From : o.From+o.Count] {
			text = append(text, p...)
		}
		text = append(text, o.Bytes...)
	}
	if xxhash.Sum64(text) != d.New {
		return nil, ErrOtherText
	}
	return text, nil
}
