// Package objects provides a stand-in for an object store behind the S3 API. It
// supports PUT, GET and HEAD of objects with path-style addressing.
package objects

import (
	"crypto/md5"
	"encoding/hex"
	"encoding/xml"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/hibiscusyard/hibiscusyard/standin"
)

// Objects is a stand-in for an object store. Every bucket exists. It is safe for
// concurrent use.
type Objects struct {
	*standin.Gate

	mu      sync.Mutex
	objects map[string]object // by "bucket/key"
	counts  Counts
}

type object struct {
	data []byte
	size int64 // greater than len(data) for an object without content, such as a checkpoint
}

// Counts holds the counters of an object store.
type Counts struct {
	standin.Counts
	Puts    int64 `json:"puts"`
	Reads   int64 `json:"reads"`
	Objects int   `json:"objects"`
}

// New returns an empty object store.
func New() *Objects {
	o := &Objects{objects: map[string]object{}}
	o.Gate = standin.NewGate(standin.Protocol{
		Throttled: func(w http.ResponseWriter, _ *http.Request) {
			writeError(w, http.StatusServiceUnavailable, "SlowDown", "Please reduce your request rate.")
		},
		Failed: func(w http.ResponseWriter, _ *http.Request) {
			writeError(w, http.StatusInternalServerError, "InternalError", "We encountered an internal error.")
		},
		Effect: func(r *http.Request) bool { return r.Method == http.MethodPut },
	}, http.HandlerFunc(o.serve), func() any { return o.State() })
	return o
}

// State returns the counters.
func (o *Objects) State() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counts
	c.Counts, c.Objects = o.Gate.Counts(), len(o.objects)
	return c
}

// SetSize creates an object with a size in bytes but no content, such as a checkpoint.
func (o *Objects) SetSize(bucket, key string, size int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[bucket+"/"+key] = object{size: size}
}

type errorBody struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	body, err := xml.Marshal(errorBody{Code: code, Message: message})
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	w.Write(body)
}

func (o *Objects) serve(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/")
	if bucket, key, _ := strings.Cut(path, "/"); bucket == "" || key == "" {
		writeError(w, http.StatusBadRequest, "InvalidRequest", "a bucket and a key are required in the path")
		return
	}
	switch r.Method {
	case http.MethodPut:
		o.put(w, r, path)
	case http.MethodGet, http.MethodHead:
		o.read(w, r, path)
	default:
		writeError(w, http.StatusMethodNotAllowed, "MethodNotAllowed", "only PUT, GET and HEAD are known")
	}
}

func (o *Objects) put(w http.ResponseWriter, r *http.Request, path string) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "IncompleteBody", err.Error())
		return
	}
	o.mu.Lock()
	o.objects[path] = object{data: data, size: int64(len(data))}
	o.counts.Puts++
	o.mu.Unlock()
	w.Header().Set("ETag", etag(data))
}

func (o *Objects) read(w http.ResponseWriter, r *http.Request, path string) {
	o.mu.Lock()
	found, ok := o.objects[path]
	o.counts.Reads++
	o.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "NoSuchKey", "The specified key does not exist.")
		return
	}
	w.Header().Set("ETag", etag(found.data))
	if r.Method == http.MethodHead {
		w.Header().Set("Content-Length", strconv.FormatInt(found.size, 10))
		return
	}
	w.Write(found.data)
}

func etag(data []byte) string {
	sum := md5.Sum(data) // the protocol defines the ETag of a plain object as its MD5 sum
	return `"` + hex.EncodeToString(sum[:]) + `"`
}
