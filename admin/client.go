package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/hibiscusyard/hibiscusyard/controller/catalogsync"
)

// Client calls the administration API of one instance.
type Client struct {
	Base  string // such as "http://127.0.0.1:7001"
	Token string
	HTTP  *http.Client
}

const clientTimeout = 15 * time.Second

// ProblemError is an error response of the API.
type ProblemError struct {
	Status  int
	Problem Problem
}

func (e *ProblemError) Error() string {
	lines := []string{fmt.Sprintf("%s (status %d)", e.Problem.Error, e.Status)}
	for _, f := range e.Problem.Fields {
		lines = append(lines, "  "+f.Error())
	}
	return strings.Join(lines, "\n")
}

// Get returns the document of a table ("routes" or "pools") and its version.
func (c *Client) Get(ctx context.Context, table string) (document []byte, version uint64, err error) {
	header, body, err := c.do(ctx, http.MethodGet, "/v1/"+table, "", nil)
	if err != nil {
		return nil, 0, err
	}
	version, err = baseVersion(header.Get("ETag"))
	return body, version, err
}

// Put replaces a table if base is still the current version.
func (c *Client) Put(ctx context.Context, table string, document []byte, base uint64) (catalogsync.Result, error) {
	var result catalogsync.Result
	_, body, err := c.do(ctx, http.MethodPut, "/v1/"+table, etag(base), document)
	if err != nil {
		return result, err
	}
	return result, json.Unmarshal(body, &result)
}

// Validate checks a document against the current version of the other table
// without storing it.
func (c *Client) Validate(ctx context.Context, table string, document []byte) error {
	_, _, err := c.do(ctx, http.MethodPost, "/v1/validate/"+table, "", document)
	return err
}

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	_, body, err := c.do(ctx, http.MethodGet, "/v1/status", "", nil)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(body, &status)
}

func (c *Client) do(ctx context.Context, method, path, ifMatch string, body []byte) (http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, oops.In("admin").Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, oops.In("admin").Wrap(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxDocument))
	if err != nil {
		return nil, nil, oops.In("admin").Wrap(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		problem := &ProblemError{Status: resp.StatusCode}
		if json.Unmarshal(data, &problem.Problem) != nil {
			problem.Problem.Error = string(data)
		}
		return nil, nil, problem
	}
	return resp.Header, data, nil
}
