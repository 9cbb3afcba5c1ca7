package node

import (
	"encoding/json"
	"strings"
	"testing"
)

// Guards against a default limit that leaves the process no descriptors or memory, and
// against settings without meaning.
func TestMaxConnections(t *testing.T) {
	limit := func(s Settings) int { return s.maxConnections() }
	if n := limit(Settings{MaxConnections: 7}); n != 7 {
		t.Errorf("got %d, want the setting 7", n)
	}
	const least, connectionBytes = 16, 28 << 10
	small, large := limit(Settings{MemoryMB: 64}), limit(Settings{MemoryMB: 144})
	if small < least || small*connectionBytes > 64<<20/4 || large < small {
		t.Errorf("got %d connections at 64 MB and %d at 144 MB", small, large)
	}
	data, err := json.Marshal(Settings{MaxConnections: -1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ParseSettings(data); err == nil || !strings.Contains(err.Error(), "max_connections") {
		t.Errorf("max_connections of -1: %v", err)
	}
}
