package coordinator

import (
	"fmt"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// splitUsage returns the rows of the state. The one with the condition comes last, so that
// the version of the transaction is its version.
func splitUsage(value []byte, version int64) []ports.Change {
	var changes []ports.Change
	first := value[:min(len(value), maxUsageRow)]
	for rest, i := value[len(first):], 1; len(rest) > 0; i++ {
		part := rest[:min(len(rest), maxUsageRow)]
		rest = rest[len(part):]
		changes = append(changes, ports.Change{Table: UsageTable, Key: partKey(i), Value: part, Unconditional: true})
	}
	head := append([]byte{byte(len(changes))}, first...)
	return append(changes, ports.Change{Table: UsageTable, Key: usageKey, Value: head, ExpectedVersion: version})
}

func partKey(i int) string { return fmt.Sprintf("part/%03d", i) }

// joinUsage returns the state in the rows, nil if there is none, and the version of the
// row usageKey.
func joinUsage(rows []ports.VersionedRow) (value []byte, version int64) {
	parts := map[string][]byte{}
	for _, r := range rows {
		if r.Table != UsageTable || r.Deleted {
			continue
		}
		parts[r.Key] = r.Value
		if r.Key == usageKey {
			version = r.Version
		}
	}
	head := parts[usageKey]
	if len(head) == 0 {
		return nil, version
	}
	value = append(value, head[1:]...)
	for i := 1; i <= int(head[0]); i++ {
		value = append(value, parts[partKey(i)]...)
	}
	return value, version
}
