package sample_test

import (
	"encoding/json"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/node"
	"github.com/hibiscusyard/hibiscusyard/node/sample"
)

// Guards against settings that the daemon refuses once they are written to a file, with which
// no process of the soak starts.
func TestWrittenSettingsAreAccepted(t *testing.T) {
	s, err := sample.Settings("entry-1", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := node.ParseSettings(data); err != nil {
		t.Errorf("the settings are refused: %v", err)
	}
}
