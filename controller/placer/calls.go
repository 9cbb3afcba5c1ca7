package placer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hibiscusyard/hibiscusyard/decision/placement"
	"github.com/hibiscusyard/hibiscusyard/plumbing/engine"
	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// replicaKind is the row kind of the replica rows in the table.
const replicaKind = "replica"

func decisionCounter(kind string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("hibiscusyard_placement_decisions_total{kind=%q}", kind))
}

func orderCounter(verb string, outcome engine.Outcome) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("hibiscusyard_placement_orders_total{verb=%q,outcome=%q}", verb, outcome))
}

// listRows reads all replica rows. It retries until it succeeds, the lease is lost
// or ctx ends.
func (p *Placer) listRows(ctx context.Context, epoch int) {
	for ctx.Err() == nil && p.runner.Held() {
		rows, err := p.list(ctx)
		if err == nil {
			p.post(rowsRead{RowsRead: placement.RowsRead{Rows: rows}, epoch: epoch})
			return
		}
		p.cfg.Log.WithError(err).Warn("replica rows could not be listed")
		select {
		case <-ctx.Done():
		case <-time.After(listRetryDelay):
		}
	}
}

func (p *Placer) list(ctx context.Context) ([]placement.StoredRow, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, err := p.table.List(ctx, replicaKind)
	if err != nil {
		return nil, err
	}
	var list []placement.StoredRow
	for _, row := range rows {
		_, name := ports.SplitKey(row.Key)
		cut := strings.LastIndexByte(name, '/')
		stored := placement.StoredRow{Revision: row.Revision}
		if cut < 0 || json.Unmarshal(row.Value, &stored.Row) != nil {
			// A replica without a readable row is found through the engine's
			// index, counted and unloaded.
			p.cfg.Log.WithField("key", row.Key).Error("replica row could not be decoded")
			continue
		}
		stored.Pool, stored.ID = name[:cut], name[cut+1:]
		list = append(list, stored)
	}
	return list, nil
}

// writeRow writes or deletes one replica row. The transaction includes a check of
// the lease, so it fails after another holder has acquired the lease.
func (p *Placer) writeRow(ctx context.Context, token uint64, a placement.WriteRow) {
	result := placement.RowWritten{Pool: a.Pool, ID: a.ID, Txn: a.Txn, Result: placement.WriteNotApplied}
	defer func() { p.post(result) }()
	check, held := p.runner.Check()
	if !held || p.runner.Token() != token {
		return
	}
	write := ports.Write{Key: placement.Key(a.Pool, a.ID), Revision: a.Revision, Delete: a.Delete}
	if !a.Delete {
		write.Value = a.Row.Encode()
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := p.table.Transact(ctx, a.Txn, write, check)
	switch {
	case err == nil:
		result.Result = placement.WriteApplied
	case errors.Is(err, ports.ErrConflict):
		result.Result = placement.WriteConflict
	case !errors.Is(err, ports.ErrNotApplied):
		result.Result = placement.WriteUnknown
	}
	if err != nil {
		p.cfg.Log.WithError(err).WithField("replica", a.ID).Warn("replica row could not be written")
	}
}

// sendDeadline returns the time by which an order must be sent, which is bounded by
// the lease, and whether the order may still be sent under the given token.
func (p *Placer) sendDeadline(token uint64, sendBy time.Time) (time.Time, bool) {
	if until := p.runner.Until(); until.Before(sendBy) {
		sendBy = until
	}
	return sendBy, p.runner.Token() == token && time.Now().Before(sendBy)
}

func (p *Placer) sendLoad(ctx context.Context, a placement.SendLoad, sendBy time.Time) {
	sendBy, ok := p.sendDeadline(a.Token, sendBy)
	answer := placement.OrderAnswered{Pool: a.Pool, ID: a.ID, Attempt: a.Attempt,
		Outcome: placement.OrderRefused, NotSent: true, Retryable: true, Reason: "lease not held"}
	if ok {
		ctx, cancel := context.WithTimeout(ctx, a.AnswerTimeout)
		defer cancel()
		result := p.engines.Load(ctx, a.Address, engine.LoadOrder{Model: a.Model, ReplicaID: a.ID,
			FencingToken: a.Token, Base: a.Base, MemoryMB: a.MemoryMB, SendBy: sendBy})
		orderCounter("load", result.Outcome).Inc()
		p.fillAnswer(&answer, result, "load", a.Model, a.Address)
	}
	p.post(answer)
}

func (p *Placer) sendUnload(ctx context.Context, a placement.SendUnload, sendBy time.Time) {
	sendBy, ok := p.sendDeadline(a.Token, sendBy)
	answer := placement.OrderAnswered{Pool: a.Pool, ID: a.ID, Attempt: a.Attempt, Unload: true,
		Outcome: placement.OrderRefused, NotSent: true, Retryable: true, Reason: "lease not held"}
	if ok {
		ctx, cancel := context.WithTimeout(ctx, unloadAnswerTimeout)
		defer cancel()
		result := p.engines.Unload(ctx, a.Address, engine.UnloadOrder{Model: a.Model, ReplicaID: a.ID,
			FencingToken: a.Token, SendBy: sendBy})
		orderCounter("unload", result.Outcome).Inc()
		p.fillAnswer(&answer, result, "unload", a.Model, a.Address)
	}
	p.post(answer)
}

// unloadAnswerTimeout is the maximum wait for the answer to an unload order.
const unloadAnswerTimeout = 15 * time.Second

// fillAnswer sets the result of an order in answer and logs a failed order.
func (p *Placer) fillAnswer(answer *placement.OrderAnswered, result engine.Result, verb, model, address string) {
	answer.Incarnation = result.Incarnation
	answer.Reason = result.Reason
	answer.NotSent = result.Outcome == engine.Refused && result.Reason == engine.ReasonUnreachable
	answer.Retryable = answer.NotSent || result.Reason == engine.ReasonUnavailable
	switch result.Outcome {
	case engine.Done:
		answer.Outcome = placement.OrderDone
	case engine.Refused:
		answer.Outcome = placement.OrderRefused
	default:
		answer.Outcome = placement.OrderUnknown
	}
	if result.Err != nil {
		p.cfg.Log.WithError(result.Err).WithField("order", verb).WithField("model", model).
			WithField("address", address).WithField("outcome", result.Outcome.String()).Warn("order failed or its outcome is unknown")
	}
}

// readIndex reads one engine's index and returns the event for the planner.
func (p *Placer) readIndex(ctx context.Context, t placement.Target) placement.Event {
	ctx, cancel := context.WithTimeout(ctx, indexTimeout)
	defer cancel()
	sent := time.Now()
	entries, answer, err := p.engines.Index(ctx, t.Address)
	if err != nil {
		return placement.UpstreamDown{Pool: t.Pool, Upstream: t.Upstream}
	}
	ev := placement.IndexRead{Pool: t.Pool, Upstream: t.Upstream, Sent: sent, Incarnation: answer.Incarnation,
		Utilization: answer.Load.Utilization, MemoryTotal: answer.Load.MemoryTotalMB}
	for _, e := range entries {
		ev.Entries = append(ev.Entries, placement.IndexEntry{Model: e.Name, ReplicaID: e.ReplicaID,
			Ready: e.State == engine.Ready, Present: e.State != engine.Unavailable,
			MemoryMB: e.MemoryMB, Tier: parseTier(e.Checkpoint)})
	}
	return ev
}

func parseTier(checkpoint string) placement.Tier {
	switch checkpoint {
	case "memory":
		return placement.Memory
	case "disk":
		return placement.Disk
	}
	return placement.Remote
}
