package catalogsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	// checkpointLookups bounds the look-ups at once; the weight store is rate-limited.
	checkpointLookups = 4
	checkpointTimeout = 2 * time.Second
)

// checkCheckpoints returns the models that an edit adds and whose checkpoints
// the weight store does not have. A store that does not answer in time
// refuses nothing, since an outage of it must not stop edits.
func (c *Controller) checkCheckpoints(ctx context.Context, current *catalog.Index, next *catalog.Catalog) error {
	if c.weights == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	known := knownCheckpoints(current)
	group := errgroup.Group{}
	group.SetLimit(checkpointLookups)
	var missing catalog.Errors
	found := make(chan catalog.FieldError)
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for e := range found {
			missing = append(missing, e)
		}
	}()
	for p, pool := range next.Pools {
		for m, model := range pool.Models {
			if known[model.Checkpoint] {
				continue
			}
			group.Go(func() error {
				_, err := c.weights.Size(ctx, model.Checkpoint)
				switch {
				case errors.Is(err, ports.ErrNotFound):
					path := fmt.Sprintf("pools[%d].models[%d].checkpoint", p, m)
					found <- catalog.FieldError{Path: path, Message: fmt.Sprintf("%q is not in the weight store", model.Checkpoint)}
				case err != nil:
					c.log.WithError(err).WithField("checkpoint", model.Checkpoint).Warn("checkpoint not looked up")
				}
				return nil
			})
		}
	}
	group.Wait() //nolint:errcheck // the look-ups return no errors.
	close(found)
	<-collected
	if len(missing) > 0 {
		return missing
	}
	return nil
}

func knownCheckpoints(x *catalog.Index) map[string]bool {
	known := map[string]bool{}
	if x == nil {
		return known
	}
	for _, pool := range x.Catalog.Pools {
		for _, model := range pool.Models {
			known[model.Checkpoint] = true
		}
	}
	return known
}
