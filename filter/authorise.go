package filter

import (
	"context"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

// Authorise sets the workspace of a request: that of the key it carries, or the
// open workspace of an open route. It refuses all other requests.
type Authorise struct{ Catalog Catalog }

// Serve implements Filter.
func (f Authorise) Serve(ctx context.Context, r *Request, next Next) error {
	if err := authorise(r); err != nil {
		return err
	}
	r.WorkspaceName = r.Workspace.Name
	if r.KeyHash != "" && !f.Catalog.Fresh(time.Now()) {
		return verdict.New(verdict.ConfigurationStale, "this instance can't prove that its catalogue is current")
	}
	return next(ctx, r)
}

// authorise sets the workspace of a request from its key. Keys are looked up by
// their SHA-256 hash, so the time of the comparison reveals nothing about a key.
func authorise(r *Request) error {
	if r.KeyHash == "" {
		if !r.Route.Open {
			return verdict.New(verdict.MissingKey, "route %q needs a key", r.Route.Name)
		}
		r.Workspace = *r.Route.Workspace(r.Route.OpenWorkspace)
		return nil
	}
	owner, known := r.Index.KeyOwner(r.KeyHash)
	if !known {
		return verdict.New(verdict.InvalidKey, "the key is not valid")
	}
	if !r.Index.Allows(r.Route, r.KeyHash) {
		return verdict.New(verdict.Forbidden, "the key does not open route %q", r.Route.Name)
	}
	r.Workspace = *r.Route.Workspace(owner)
	return nil
}

// StillAllowed reports whether the current catalogue still allows the key of a
// running request on its route.
func StillAllowed(c Catalog, r *Request) bool {
	if r.KeyHash == "" {
		return true
	}
	index, _ := c.Current()
	return index.Allows(r.Route, r.KeyHash)
}
