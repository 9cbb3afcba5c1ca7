// Package upstreams follows the platform's list of upstreams, so that one that
// is leaving gets no new work.
package upstreams

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

const (
	listInterval = 2 * time.Second // leaves most of the 8 s to the lag of the list
	listTimeout  = 1500 * time.Millisecond
)

// Watch returns a part that reads the list until its context ends and hands
// the addresses of leaving upstreams to apply. A list that can't be read
// leaves the last reading in force. A nil list is never read.
func Watch(list ports.Instances, apply func(map[string]bool), logger log.Interface) func(context.Context) error {
	return func(ctx context.Context) error {
		if list == nil {
			return nil
		}
		ticker := time.NewTicker(listInterval)
		defer ticker.Stop()
		for {
			if leaving, err := read(ctx, list); err != nil {
				logger.WithError(err).Debug("upstream list not read")
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

func read(ctx context.Context, list ports.Instances) (map[string]bool, error) {
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
