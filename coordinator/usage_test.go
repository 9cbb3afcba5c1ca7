package coordinator

import (
	"bytes"
	"encoding/base64"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/usage"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// maxStoreRow is the length of a value in the store's encoding that the store accepts.
const maxStoreRow = 65536

// Guards against a state that the store refuses because a row is too large, and one that is
// not what was written once it is read, also after it was larger.
func TestUsageStateFitsItsRows(t *testing.T) {
	rows := map[string]ports.VersionedRow{}
	version := int64(0)
	for _, size := range []int{1, maxUsageRow, maxUsageRow + 1, 5*maxUsageRow + 7, 3 * maxUsageRow, 20} {
		value := bytes.Repeat([]byte{byte(size), 7, 9}, size)[:size]
		known := version
		changes := splitUsage(value, known)
		for i, c := range changes {
			if n := len(base64.StdEncoding.EncodeToString(c.Value)); n > maxStoreRow {
				t.Errorf("state of %d bytes: row %s takes %d bytes, the store accepts %d", size, c.Key, n, maxStoreRow)
			}
			if last := i == len(changes)-1; last == c.Unconditional || last && c.ExpectedVersion != known {
				t.Errorf("state of %d bytes: row %s, condition %v on version %d; want one condition, on the last row", size, c.Key, !c.Unconditional, c.ExpectedVersion)
			}
			version++
			rows[c.Key] = ports.VersionedRow{Table: c.Table, Key: c.Key, Value: c.Value, Version: version}
		}
		var list []ports.VersionedRow
		for _, r := range rows {
			list = append(list, r)
		}
		got, gotVersion := joinUsage(list)
		if !bytes.Equal(got, value) || gotVersion != version {
			t.Errorf("state of %d bytes: read %d bytes of version %d, want those written of version %d", size, len(got), gotVersion, version)
		}
	}
	if value, version := joinUsage(nil); value != nil || version != 0 {
		t.Errorf("no rows: got a state of %d bytes, version %d", len(value), version)
	}
}

// Guards against bytes on the wire between instances where usage is not reported.
func TestMessagesWithoutUsageAreUnchanged(t *testing.T) {
	c := newDutyCoordinator()
	if c.client.counter != nil || c.usage.ledger != nil {
		t.Fatal("usage is counted although it is not enabled")
	}
	c.client.RecordUsage("w")
	report, _, _ := c.client.collectReport()
	if report.Usage != nil {
		t.Errorf("got usage %+v in a report, want none", report.Usage)
	}
	now := bootclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	with := len(c.encode(heartbeat{Usage: &usageNews{Decided: 1}}))
	if without := len(c.encode(heartbeat{})); without >= with || bytes.Contains(c.encode(heartbeat{}), []byte{5, 0xf6}) {
		t.Errorf("a heartbeat without usage has %d bytes, one with it %d", without, with)
	}
	report, full := instanceReport{Sent: now}, instanceReport{Sent: now, Usage: &usage.Report{}}
	if without, with := c.encode(report), c.encode(full); len(without) >= len(with) {
		t.Errorf("a report without usage has %d bytes, one with it %d", len(without), len(with))
	}
}

// Load: a store that takes 50 times as long as usual. Guards against writes of counts that
// hold up the renewals of the lease until it is lost.
func TestCountsAreWrittenSeldomToASlowStore(t *testing.T) {
	writes := func(latency time.Duration) (n int) {
		var u usageState
		start := bootclock.Time(time.Hour)
		for now := start; now.Sub(start) < 10*time.Second; now = now.Add(usageStepInterval) {
			if u.mayWriteCounts(now, latency) {
				n++
				u.lastSave, u.nextSave = now, now.Add(usageSaveInterval)
			}
		}
		return n
	}
	if n := writes(9 * time.Millisecond); n < 15 {
		t.Errorf("%d writes in 10 s to a store that answers in 9 ms, want two a second", n)
	}
	if n := writes(450 * time.Millisecond); n < 2 || n > 3 {
		t.Errorf("%d writes in 10 s to a store that answers in 450 ms, which take a tenth of its time at most", n)
	}
}
