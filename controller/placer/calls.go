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

// replicaKind is the kind of the replica rows.
const replicaKind = "replica"

func decisions(kind string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("hibiscusyard_placement_decisions_total{kind=%q}", kind))
}

func orders(verb string, outcome engine.Outcome) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("hibiscusyard_placement_orders_total{verb=%q,outcome=%q}", verb, outcome))
}

// listRows reads all replica rows, however long the table takes.
func (p *Placer) listRows(ctx context.Context, epoch int) {
	for ctx.Err() == nil && p.runner.Held() {
		rows, err := p.list(ctx)
		if err == nil {
			p.post(rowsRead{RowsRead: placement.RowsRead{Rows: rows}, epoch: epoch})
			return
		}
		p.cfg.Log.WithError(err).Warn("replica rows not read")
		select {
		case <-ctx.Done():
		case <-time.After(listPause):
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
			// A copy without a readable row is found in the engine's index,
			// counted and unloaded.
			p.cfg.Log.WithField("key", row.Key).Error("replica row cannot be read")
			continue
		}
		stored.Pool, stored.ID = name[:cut], name[cut+1:]
		list = append(list, stored)
	}
	return list, nil
}

// writeRow runs one transaction that fails once another holder has taken over.
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
		p.cfg.Log.WithError(err).WithField("replica", a.ID).Warn("replica row not written")
	}
}

// mayOrder returns by when an order must have left, and whether it may leave:
// the lease is checked last.
func (p *Placer) mayOrder(token uint64, sendBy time.Time) (time.Time, bool) {
	if until := p.runner.Until(); until.Before(sendBy) {
		sendBy = until
	}
	return sendBy, p.runner.Token() == token && time.Now().Before(sendBy)
}

func (p *Placer) sendLoad(ctx context.Context, a placement.SendLoad, sendBy time.Time) {
	sendBy, ok := p.mayOrder(a.Token, sendBy)
	answer := placement.OrderAnswered{Pool: a.Pool, ID: a.ID, Attempt: a.Attempt,
		Outcome: placement.OrderRefused, NotSent: true, Retryable: true, Reason: "lease not held"}
	if ok {
		ctx, cancel := context.WithTimeout(ctx, a.Patience)
		defer cancel()
		result := p.engines.Load(ctx, a.Address, engine.LoadOrder{Model: a.Model, ReplicaID: a.ID,
			FencingToken: a.Token, Base: a.Base, MemoryMB: a.MemoryMB, SendBy: sendBy})
		orders("load", result.Outcome).Inc()
		p.fill(&answer, result, "load", a.Model, a.Address)
	}
	p.post(answer)
}

func (p *Placer) sendUnload(ctx context.Context, a placement.SendUnload, sendBy time.Time) {
	sendBy, ok := p.mayOrder(a.Token, sendBy)
	answer := placement.OrderAnswered{Pool: a.Pool, ID: a.ID, Attempt: a.Attempt, Unload: true,
		Outcome: placement.OrderRefused, NotSent: true, Retryable: true, Reason: "lease not held"}
	if ok {
		ctx, cancel := context.WithTimeout(ctx, unloadPatience)
		defer cancel()
		result := p.engines.Unload(ctx, a.Address, engine.UnloadOrder{Model: a.Model, ReplicaID: a.ID,
			FencingToken: a.Token, SendBy: sendBy})
		orders("unload", result.Outcome).Inc()
		p.fill(&answer, result, "unload", a.Model, a.Address)
	}
	p.post(answer)
}

// unloadPatience is how long the answer to an unload order is awaited.
const unloadPatience = 15 * time.Second

func (p *Placer) fill(answer *placement.OrderAnswered, result engine.Result, verb, model, address string) {
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
			WithField("address", address).WithField("outcome", result.Outcome.String()).Warn("order not done")
	}
}

// readIndex reads one engine's index and turns it into an event.
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
			MemoryMB: e.MemoryMB, Tier: tier(e.Checkpoint)})
	}
	return ev
}

func tier(checkpoint string) placement.Tier {
	switch checkpoint {
	case "memory":
		return placement.Memory
	case "disk":
		return placement.Disk
	}
	return placement.Remote
}
