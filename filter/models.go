package filter

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// Models serves the list of models that the caller may use.
type Models struct{ Catalog Catalog }

// ServeHTTP implements http.Handler.
func (m Models) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	list, err := m.list(hr)
	if err != nil {
		writeRefusal(w, verdict.From(err)) //nolint:errcheck // the caller may have gone.
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list) //nolint:errcheck // the caller may have gone.
}

func (m Models) list(hr *http.Request) (*modelList, error) {
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
	list := &modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range index.ModelsFor(hash) {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "hibiscusyard"})
	}
	return list, nil
}
