package filter

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// Models serves the list of models that the caller may use.
type Models struct{ Catalog Catalog }

// ServeHTTP implements http.Handler. The list is written entry by entry, so that it is not
// kept for callers that do not read.
func (m Models) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	names, err := m.names(hr)
	if err != nil {
		writeRefusal(w, verdict.From(err)) //nolint:errcheck // the caller may have gone.
		return
	}
	w.Header().Set("Content-Type", "application/json")
	separator := `{"object":"list","data":[`
	for _, name := range names {
		entry, err := json.Marshal(modelEntry{ID: name, Object: "model", OwnedBy: "hibiscusyard"})
		if err != nil {
			panic(http.ErrAbortHandler) // no partial list may look complete
		}
		if _, err := io.WriteString(w, separator+string(entry)); err != nil {
			return // the caller has gone
		}
		separator = ","
	}
	if len(names) == 0 {
		io.WriteString(w, separator) //nolint:errcheck // the caller may have gone.
	}
	io.WriteString(w, "]}\n") //nolint:errcheck // as above.
}

// names returns the names of the models that the caller may use.
func (m Models) names(hr *http.Request) ([]string, error) {
	index, _ := m.Catalog.Current()
	if index == nil {
		return nil, verdict.New(verdict.NotReady, "this instance holds no catalogue yet")
	}
	key, err := bearerKey(hr.Header)
	if err != nil {
		return nil, err
	}
	var hash string
	if key != "" {
		hash = catalog.HashKey(key)
		if _, known := index.KeyOwner(hash); !known {
			return nil, verdict.New(verdict.InvalidKey, "the key is not valid")
		}
		if !m.Catalog.Fresh(time.Now()) {
			return nil, verdict.New(verdict.ConfigurationStale, "this instance can't prove that its catalogue is current")
		}
	}
	return index.ModelsFor(hash), nil
}
