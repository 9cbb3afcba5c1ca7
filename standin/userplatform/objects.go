package userplatform

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/hibiscusyard/hibiscusyard/standin"
)

const (
	// maxObject and maxObjects bound one object and all of them, in bytes.
	maxObject  = 8 << 20
	maxObjects = 400 << 20
	// objectPage is the number of names that one answer lists.
	objectPage = 1000
)

// objectNames is one page of a list of objects.
type objectNames struct {
	Names []string `json:"names"`
	More  bool     `json:"hasMore"`
}

// handleObjects adds the calls for raw objects. The product stores none; they
// are here for what is built on the store next.
func (s *Store) handleObjects(mux *http.ServeMux) {
	mux.HandleFunc("PUT /blob-put/{id}", s.putObject)
	mux.HandleFunc("GET /blob-get/{id}", s.getObject)
	mux.HandleFunc("DELETE /blob-drop/{id}", s.dropObject)
	mux.HandleFunc("GET /blob-list", s.listObjects)
}

func (s *Store) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.PathValue("id")
	old, exists := s.objects[id]
	total := len(data) - len(old)
	for _, object := range s.objects {
		total += len(object)
	}
	switch {
	case exists && r.Header.Get("If-None-Match") == "*":
		w.WriteHeader(http.StatusPreconditionFailed)
	case total > maxObjects:
		w.WriteHeader(http.StatusInsufficientStorage)
	default:
		s.objects[id] = data
		w.WriteHeader(http.StatusOK)
	}
}

func (s *Store) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, exists := s.objects[r.PathValue("id")]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Write(data) //nolint:errcheck // the caller may be gone.
}

func (s *Store) dropObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, r.PathValue("id"))
	w.WriteHeader(http.StatusOK)
}

func (s *Store) listObjects(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	page := objectNames{Names: []string{}}
	s.mu.Lock()
	for id := range s.objects {
		if strings.HasPrefix(id, prefix) && id > after {
			page.Names = append(page.Names, id)
		}
	}
	s.mu.Unlock()
	slices.Sort(page.Names)
	if page.More = len(page.Names) > objectPage; page.More {
		page.Names = page.Names[:objectPage]
	}
	standin.WriteJSON(w, "application/json", http.StatusOK, page)
}
