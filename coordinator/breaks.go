package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/hibiscusyard/hibiscusyard/decision/origin"
	"github.com/hibiscusyard/hibiscusyard/plumbing/bootclock"
	"github.com/hibiscusyard/hibiscusyard/plumbing/peer"
)

// originsListRetry is the pause after a failed call for the streams that an instance knows.
const originsListRetry = 250 * time.Millisecond

// listOriginsRequest asks an instance for the streams of its ledger from a position on.
type listOriginsRequest struct {
	Position int `cbor:"1,keyasint"`
}

type listOriginsResponse struct {
	Incarnation string         `cbor:"1,keyasint"`
	Batches     []origin.Batch `cbor:"2,keyasint"`
	Next        int            `cbor:"3,keyasint"`
	// More is set if there are streams from Next on.
	More bool `cbor:"4,keyasint,omitempty"`
}

// errOtherIncarnation means that an instance has been replaced while it was asked.
var errOtherIncarnation = errors.New("answered by another incarnation")

// originsCall is the last call for the streams of an instance after a broken link.
type originsCall struct {
	number  uint64 // of the break
	running bool
	retryAt bootclock.Time
}

// listOrigins returns the streams that this instance knows.
func (l *Client) listOrigins(_ context.Context, req listOriginsRequest) (listOriginsResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batches, next := l.origins.Since(bootclock.Now(), req.Position, maxOriginReport)
	rest, _ := l.origins.Since(bootclock.Now(), next, 1)
	return listOriginsResponse{Incarnation: l.c.config.Boot, Batches: batches, Next: next, More: len(rest) > 0}, nil
}

// requestOrigins asks the instances whose links have broken and are up again which streams
// they know. A complete answer shows that the instance has not ended and that no report of
// it is lost. With one software version nothing is asked.
func (c *Coordinator) requestOrigins(now bootclock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		return
	}
	ids := c.unansweredInstances()
	if len(ids) == 0 {
		return
	}
	c.client.mu.Lock()
	mixed := c.client.origins.AnyMixed(now)
	c.client.mu.Unlock()
	if !mixed {
		return
	}
	for _, id := range ids {
		number, _ := c.origins.losses.Unanswered(id.Instance, id.Incarnation)
		if call := c.origins.calls[id.Instance]; call.number == number && (call.running || now.Before(call.retryAt)) {
			continue
		}
		c.origins.calls[id.Instance] = originsCall{number: number, running: true}
		go c.requestOriginsOf(id, number, c.origins.losses)
	}
}

// unansweredInstances returns the connected instances of which a break of the link still
// counts. The caller holds mu.
func (c *Coordinator) unansweredInstances() []peer.Identity {
	if !c.origins.losses.AnyBreak() {
		return nil
	}
	var list []peer.Identity
	for _, id := range c.hub.Connected() {
		if _, ok := c.origins.losses.Unanswered(id.Instance, id.Incarnation); ok {
			list = append(list, id)
		}
	}
	return list
}

// requestOriginsOf asks one instance for all streams that it knows, after the break of its
// link with the number.
func (c *Coordinator) requestOriginsOf(id peer.Identity, number uint64, losses *origin.Losses) {
	streams, err := c.fetchOrigins(id)
	entry := c.config.Log.WithFields(log.Fields{"peer": id.Instance, "incarnation": id.Incarnation, "streams": streams})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.origins.losses != losses {
		return // the term has ended
	}
	if err != nil {
		entry.WithError(err).Info("origins of streams not listed by the instance after its link broke; retrying")
		if c.origins.calls[id.Instance].number == number {
			c.origins.calls[id.Instance] = originsCall{number: number, retryAt: bootclock.Now().Add(originsListRetry)}
		}
		return
	}
	entry.Info("origins of streams listed by the instance after its link broke")
	losses.Answered(id.Instance, id.Incarnation, number)
	if c.origins.calls[id.Instance].number == number {
		delete(c.origins.calls, id.Instance)
	}
}

// fetchOrigins takes over all streams that an incarnation of an instance knows and returns
// their number.
func (c *Coordinator) fetchOrigins(id peer.Identity) (streams int, err error) {
	for position := 0; ; {
		ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
		var page listOriginsResponse
		err := c.hub.Call(ctx, id.Instance, peer.KindListOrigins, listOriginsRequest{position}, &page)
		cancel()
		switch {
		case err != nil:
			return streams, err
		case page.Incarnation != id.Incarnation:
			return streams, errOtherIncarnation
		}
		c.client.mu.Lock()
		c.client.origins.Apply(bootclock.Now(), page.Batches)
		c.client.mu.Unlock()
		for _, b := range page.Batches {
			streams += len(b.Streams)
		}
		if !page.More {
			return streams, nil
		}
		position = page.Next
	}
}
