package request_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/plumbing/request"
)

// Guards against requests that are taken for the same one although their caller, method,
// path, query or body differs, and against repeats that are not recognized.
func TestFingerprint(t *testing.T) {
	fingerprint := func(workspace, method, target, body, id string) string {
		r := &request.Request{ID: id, WorkspaceName: workspace, HTTP: httptest.NewRequest(method, target, strings.NewReader("")), Body: []byte(body)}
		return r.Fingerprint()
	}
	first := fingerprint("committee", "POST", "/drafts/a?b=c", "body", "1")
	if again := fingerprint("committee", "POST", "/drafts/a?b=c", "body", "2"); again != first {
		t.Errorf("a repeat has another fingerprint: %s, %s", first, again)
	}
	for name, other := range map[string]string{
		"workspace": fingerprint("co-op", "POST", "/drafts/a?b=c", "body", "1"),
		"method":    fingerprint("committee", "PUT", "/drafts/a?b=c", "body", "1"),
		"path":      fingerprint("committee", "POST", "/drafts/x?b=c", "body", "1"),
		"query":     fingerprint("committee", "POST", "/drafts/a?b=d", "body", "1"),
		"body":      fingerprint("committee", "POST", "/drafts/a?b=c", "bodies", "1"),
		"boundary":  fingerprint("committeeP", "OST", "/drafts/a?b=c", "body", "1"),
	} {
		if other == first {
			t.Errorf("requests that differ in %s have the same fingerprint", name)
		}
	}
}
