package userplatform_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// Guards against a conditional write that replaces an existing object, a list
// whose next page does not continue after the last name, and a deleted object
// that can still be read.
func TestObjects(t *testing.T) {
	server := httptest.NewServer(userplatform.NewStore().Gate())
	defer server.Close()
	call := func(method, path, body string, header ...string) (int, string) {
		t.Helper()
		r, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, string(data)
	}
	for i := range 1001 {
		if status, _ := call(http.MethodPut, fmt.Sprintf("/blob-put/a%04d", i), "first"); status != http.StatusOK {
			t.Fatalf("write: got status %d", status)
		}
	}
	if status, _ := call(http.MethodPut, "/blob-put/a0000", "second", "If-None-Match", "*"); status != http.StatusPreconditionFailed {
		t.Errorf("conditional write to an existing object: got status %d", status)
	}
	if _, body := call(http.MethodGet, "/blob-get/a0000", ""); body != "first" {
		t.Errorf("got object %q, want first", body)
	}
	if _, page := call(http.MethodGet, "/blob-list?prefix=a", ""); !strings.Contains(page, `"hasMore":true`) || strings.Contains(page, "a1000") {
		t.Errorf("got first page ending with %q, want more pages and no a1000", page[max(0, len(page)-40):])
	}
	if _, page := call(http.MethodGet, "/blob-list?prefix=a&after=a0999", ""); !strings.Contains(page, `["a1000"]`) {
		t.Errorf("got second page %q, want only a1000", page)
	}
	call(http.MethodDelete, "/blob-drop/a0000", "")
	if status, _ := call(http.MethodGet, "/blob-get/a0000", ""); status != http.StatusNotFound {
		t.Errorf("deleted object: got status %d", status)
	}
}
