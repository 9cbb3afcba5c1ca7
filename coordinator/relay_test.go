package coordinator

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

func discardLog() log.Interface { return &log.Logger{Handler: discard.New()} }

// oneRow is a source with one row.
type oneRow struct {
	values map[int64][]byte // by version
	newest int64
}

func (o *oneRow) Table() string                    { return "t" }
func (o *oneRow) Version() int64                   { return o.newest }
func (o *oneRow) Age(bootclock.Time) time.Duration { return 0 }
func (o *oneRow) At(_ string, version int64) ([]byte, bool) {
	value, ok := o.values[version]
	return value, ok
}

func (o *oneRow) Since(after int64) ([]ports.VersionedRow, int64, bool) {
	if after >= o.newest {
		return nil, o.newest, true
	}
	return []ports.VersionedRow{{Table: "t", Key: "k", Value: o.values[o.newest], Version: o.newest}}, o.newest, true
}

func (o *oneRow) Apply(_, to int64, rows []ports.VersionedRow, _ bootclock.Time) {
	for _, r := range rows {
		o.values[to] = r.Value
	}
	o.newest = to
}

// Guards the store against a reading of the desired state by every instance for
// each of its versions: a small change of a large row is relayed, and an
// instance that lacks the value before reads the row itself.
func TestLargeRowsAreRelayedByWhatDiffers(t *testing.T) {
	value := func(version int) []byte {
		var b bytes.Buffer
		fmt.Fprintf(&b, `{"version":%d,"models":[`, version)
		for i := range 500 {
			fmt.Fprintf(&b, `{"name":"m%d","weights":72700},`, i)
		}
		return b.Bytes()
	}
	leader := &oneRow{values: map[int64][]byte{1: value(1), 2: value(2)}, newest: 2}
	c := &Coordinator{config: Config{Sources: []Source{leader}}, relayed: map[string]*relayed{}}
	list, news := c.tables(0, "follower", beat{Versions: []int64{1}}, make([]map[int64]changes, 1))
	if !news || len(list) != 1 || list[0].Fetch || len(list[0].Rows) != 1 || list[0].Rows[0].Value != nil {
		t.Fatalf("relayed %+v, want what differs", list)
	}
	follower := &oneRow{values: map[int64][]byte{1: value(1)}, newest: 1}
	l := newClient(&Coordinator{config: Config{Instance: "follower", Sources: []Source{follower}, Log: discardLog()}})
	l.takeRelays(&pulse{Tables: list})
	if got := follower.values[2]; !bytes.Equal(got, value(2)) {
		t.Errorf("%d bytes, want the leader's value", len(got))
	}
	other := &oneRow{values: map[int64][]byte{1: value(9)}, newest: 1}
	l = newClient(&Coordinator{config: Config{Instance: "follower", Sources: []Source{other}, Log: discardLog()}})
	l.takeRelays(&pulse{Tables: list})
	if other.newest != 1 || l.Relays(bootclock.Now(), "t", other.newest) {
		t.Error("applied to another value, or relied on the leader without the change")
	}
}
