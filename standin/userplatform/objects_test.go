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

// Guards the stand-in's objects: a conditional write does not replace, a list
// goes on where it was cut, and what was dropped is gone.
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
			t.Fatalf("write: %d", status)
		}
	}
	if status, _ := call(http.MethodPut, "/blob-put/a0000", "second", "If-None-Match", "*"); status != http.StatusPreconditionFailed {
		t.Errorf("conditional write over an object: %d", status)
	}
	if _, body := call(http.MethodGet, "/blob-get/a0000", ""); body != "first" {
		t.Errorf("object is %q", body)
	}
	if _, page := call(http.MethodGet, "/blob-list?prefix=a", ""); !strings.Contains(page, `"hasMore":true`) || strings.Contains(page, "a1000") {
		t.Errorf("first page ends with %q", page[max(0, len(page)-40):])
	}
	if _, page := call(http.MethodGet, "/blob-list?prefix=a&after=a0999", ""); !strings.Contains(page, `["a1000"]`) {
		t.Errorf("second page %q", page)
	}
	call(http.MethodDelete, "/blob-drop/a0000", "")
	if status, _ := call(http.MethodGet, "/blob-get/a0000", ""); status != http.StatusNotFound {
		t.Errorf("dropped object: %d", status)
	}
}
