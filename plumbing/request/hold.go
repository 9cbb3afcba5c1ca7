package request

import "context"

// Hold makes the request hold n bytes more, until it drops them or ends. It waits a short
// time for room, and returns a refusal if there is none.
func (r *Request) Hold(ctx context.Context, n int64) error {
	return r.memory.grow(ctx, r, n, 0)
}

// Drop takes n bytes from what the request holds.
func (r *Request) Drop(n int64) { r.memory.shrink(r, n) }
