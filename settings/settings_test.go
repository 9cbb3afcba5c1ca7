package settings_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/settings"
)

func sample(t testing.TB) []byte {
	data, err := os.ReadFile("../docs/settings.sample.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against accepting invalid settings, and against reporting only the
// first of several errors.
func TestLoadReportsAllErrors(t *testing.T) {
	for name, c := range map[string]struct {
		old, new string
		paths    []string
	}{
		"sample":             {"", "", nil},
		"host name":          {"127.0.0.1:7000", "localhost:7000", []string{"caller_listen"}},
		"host name in a URL": {"http://127.0.0.1:7100", "http://table:7100", []string{"platform.table"}},
		"two at once":        {`"entry-1"`, `""`, []string{"instance"}},
		"contradiction":      {`"drain_delay": "5s"`, `"poll_interval": "5s", "stale_after": "2s"`, []string{"poll_interval"}},
		"out of range":       {`"drain_timeout": "2m"`, `"drain_timeout": "2h", "stale_after": "9s"`, []string{"drain_timeout", "stale_after"}},
		"short secret":       {"replace-this-shared-secret", "short", []string{"peer_secret"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Load([]byte(strings.Replace(string(sample(t)), c.old, c.new, 1)))
			fields, _ := catalog.AsErrors(err)
			var paths []string
			for _, f := range fields {
				paths = append(paths, f.Path)
			}
			if strings.Join(paths, " ") != strings.Join(c.paths, " ") {
				t.Errorf("got errors at %v, want %v: %v", paths, c.paths, err)
			}
		})
	}
	for _, broken := range []string{`{"unknown": 1}`, `{"drain_delay": 5}`, `{"instance": 1}`, `{} {}`, ``} {
		if _, err := settings.Load([]byte(broken)); err == nil {
			t.Errorf("%q was accepted", broken)
		}
	}
}

// Guards against a panic on malformed settings, and against accepted settings
// that are refused after they are encoded and loaded again.
func FuzzLoad(f *testing.F) {
	f.Add(sample(f))
	f.Add([]byte(`{"instance":"a","peers":["127.0.0.1:1"],"platform":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Load(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Load(again); err != nil {
			t.Errorf("encoding accepted settings and loading them again: got %v, want no error", err)
		}
	})
}
