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
	// checkpointLookups is the maximum number of concurrent look-ups; the weight
	// store is rate-limited.
	checkpointLookups = 4
	checkpointTimeout = 2 * time.Second
)

// checkCheckpoints returns field errors, as catalog.Errors, for the models whose
// checkpoints are not in the current catalogue and not in the weight store.
// Failed and timed-out look-ups are logged and ignored, because an outage of the
// weight store must not block edits.
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
					c.log.WithError(err).WithField("checkpoint", model.Checkpoint).Warn("checkpoint look-up failed")
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

// knownCheckpoints returns the checkpoints that the catalogue names. The index may
// be nil.
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
