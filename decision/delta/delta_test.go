package delta

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a desired state that differs from the operator's: for any two
// texts, applying the delta yields exactly the new text, and it can't be applied
// to another old text.
func TestApplyReproducesNewText(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		text := rapid.Custom(func(r *rapid.T) []byte {
			return []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"{", "{a}", "{b},", "x", ",{c:[", "", "]}"}), 0, 40).Draw(r, "pieces"), ""))
		})
		old, want := text.Draw(r, "old"), text.Draw(r, "new")
		d := Diff(old, want)
		got, err := d.Apply(old)
		if err != nil || !bytes.Equal(got, want) {
			r.Fatalf("got %q (error: %v), want %q", got, err, want)
		}
		if other := append(bytes.Clone(old), '!'); true {
			if _, err := d.Apply(other); err == nil {
				r.Fatal("got no error for another old text, want one")
			}
		}
	})
}

// Guards against load on the leader's link and on the store when the desired state
// of a large deployment changes: 295 instances read 250 KB each for one key.
func TestSmallChangeOfALargeDocumentIsSmall(t *testing.T) {
	document := func(version int, key string) []byte {
		var b bytes.Buffer
		fmt.Fprintf(&b, `{"version":%d,"models":[`, version)
		for i := range 1779 {
			fmt.Fprintf(&b, `{"name":"m%d","weightsMb":72700,"loadS":7.8,"adapters":%d},`, i, i%7)
		}
		fmt.Fprintf(&b, `],"tenants":[{"name":"a","apiKeys":["%s"]}]}`, key)
		return b.Bytes()
	}
	old, text := document(7, "one"), document(12, "two")
	d := Diff(old, text)
	if d.Size() > 400 {
		t.Errorf("got a delta of %d bytes for a small change to %d bytes, want at most 400", d.Size(), len(text))
	}
	if got, err := d.Apply(old); err != nil || !bytes.Equal(got, text) {
		t.Errorf("got another text than the new one (error: %v)", err)
	}
}
