package development_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hibiscusyard/hibiscusyard/tools/development"
	"github.com/hibiscusyard/hibiscusyard/tools/emulator"
)

// Guards against a sample system that prints no example request or does not
// serve a first request.
func TestPlatformSampleAnswers(t *testing.T) {
	s, err := development.StartPlatform(t.Context(), &log.Logger{Handler: discard.New()})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	var text strings.Builder
	s.Explain(&text)
	if !strings.Contains(text.String(), "curl -N http://"+s.CallerAddresses()[0]) {
		t.Errorf("got %q, want an example request", text.String())
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.CallerAddresses()[0]+"/signup/1", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = emulator.Host
	r.Header.Set("Authorization", "Token "+emulator.WorkspaceKey("committee"))
	r.Header.Set("X-Hibiscusyard-Request-Id", "first")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK || !strings.Contains(string(body), "first") {
		t.Errorf("got answer %d %q, error %v, want 200 and the request ID", answer.StatusCode, body, err)
	}
}
