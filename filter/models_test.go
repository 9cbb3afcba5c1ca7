package filter

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// deadlineRecorder records whether a write has a deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline  time.Time
	unlimited bool
}

func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error { r.deadline = t; return nil }

func (r *deadlineRecorder) Write(p []byte) (int, error) {
	r.unlimited = r.unlimited || r.deadline.IsZero()
	return r.ResponseRecorder.Write(p)
}

func (r *deadlineRecorder) WriteString(s string) (int, error) { return r.Write([]byte(s)) }

type fixedCatalog struct{ index *catalog.Index }

func (c fixedCatalog) Current() (*catalog.Index, <-chan struct{}) { return c.index, nil }

func (c fixedCatalog) Fresh(time.Time) bool { return true }

// Guards against lists that are no JSON, and that occupy a connection for as long as their
// caller does not read.
func TestListOfModels(t *testing.T) {
	for _, names := range [][]string{nil, {"one"}, {"one", "three", "two\"s"}} {
		c := &catalog.Catalog{Pools: []catalog.Pool{{Name: "p", Kind: catalog.Engine}}}
		if len(names) > 0 {
			c.Routes = []catalog.Route{{Name: "r", Pool: "p", Models: names, Open: true}}
		}
		r := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		LimitWrites(Models{Catalog: fixedCatalog{catalog.NewIndex(c, "")}}).ServeHTTP(r, httptest.NewRequest(http.MethodGet, ModelsPath, nil))
		if r.unlimited {
			t.Error("the list is written without a deadline")
		}
		var list struct {
			Object string
			Data   []modelEntry
		}
		if err := json.Unmarshal(r.Body.Bytes(), &list); err != nil || list.Object != "list" || list.Data == nil || len(list.Data) != len(names) {
			t.Fatalf("%q: got %s, %v", names, r.Body, err)
		}
		for n, entry := range list.Data {
			if entry.ID != names[n] || entry.Object != "model" {
				t.Errorf("got entry %+v, want %s", entry, names[n])
			}
		}
	}
}
