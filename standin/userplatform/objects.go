package userplatform

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/hibiscusyard/hibiscusyard/standin"
)

const (
	// maxObject and maxObjects are the maximum sizes of one object and of all
	// objects together, in bytes.
	maxObject  = 8 << 20
	maxObjects = 400 << 20
	// objectPage is the maximum number of names in one page of a list.
	objectPage = 1000
)

// objectNames is one page of a list of objects.
type objectNames struct {
	Names []string `json:"names"`
	More  bool     `json:"hasMore"`
}

// handleObjects registers the endpoints for raw objects. The product stores no
// objects yet; the endpoints are for future features on top of the store.
func (s *Store) handleObjects(mux *http.ServeMux) {
	mux.HandleFunc("PUT /blob-put/{id}", s.putObject)
	mux.HandleFunc("GET /blob-get/{id}", s.getObject)
	mux.HandleFunc("DELETE /blob-drop/{id}", s.deleteObject)
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
	w.Write(data) //nolint:errcheck // the caller may have disconnected.
}

func (s *Store) deleteObject(w http.ResponseWriter, r *http.Request) {
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
