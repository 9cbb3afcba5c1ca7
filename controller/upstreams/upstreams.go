// Package upstreams polls the platform's list of upstreams, so that upstreams
// marked as leaving get no new work.
package upstreams

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	listInterval = 2 * time.Second // short, to leave most of the 8 s bound to the lag of the list
	listTimeout  = 1500 * time.Millisecond
)

// Watch returns a function that reads the list periodically until its context ends
// and passes the addresses of leaving upstreams to apply. If the list cannot be
// read, the last successful reading stays in effect. For a nil list the function
// returns immediately.
func Watch(list ports.InstanceList, apply func(map[string]bool), logger log.Interface) func(context.Context) error {
	return func(ctx context.Context) error {
		if list == nil {
			return nil
		}
		ticker := time.NewTicker(listInterval)
		defer ticker.Stop()
		for {
			if leaving, err := read(ctx, list); err != nil {
				logger.WithError(err).Debug("upstream list could not be read")
			} else {
				apply(leaving)
			}
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	}
}

// read returns the addresses of the listed upstreams that are leaving.
func read(ctx context.Context, list ports.InstanceList) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, err := list.List(ctx)
	if err != nil {
		return nil, err
	}
	leaving := map[string]bool{}
	for _, e := range entries {
		if e.Leaving {
			leaving[e.Address] = true
		}
	}
	return leaving, nil
}
