// Package portstest provides in-memory fakes of the platform's services.
package portstest

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// Fault is a fault injected into one call of a fake.
type Fault uint8

// Faults of a call.
const (
	None         Fault = iota
	Refuse             // fails without effect
	LoseResponse       // takes effect but returns an error
)

// Table is an in-memory ports.Table.
type Table struct {
	mu     sync.Mutex
	rows   map[string]ports.Row
	tokens map[string]bool
	// Hook, if set, is called before each operation ("get", "list", "transact")
	// with its key and returns the fault to inject.
	Hook   func(op, key string) Fault
	Reads  int
	Writes int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]ports.Row{}, tokens: map[string]bool{}}
}

func (t *Table) fault(op, key string) Fault {
	t.mu.Lock()
	hook := t.Hook
	t.mu.Unlock()
	if hook == nil {
		return None
	}
	return hook(op, key)
}

// SetHook replaces the hook.
func (t *Table) SetHook(hook func(op, key string) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Hook = hook
}

// Get implements ports.Table.
func (t *Table) Get(ctx context.Context, key string) (ports.Row, error) {
	if t.fault("get", key) != None || ctx.Err() != nil {
		return ports.Row{}, ports.ErrUnknown
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Reads++
	row, ok := t.rows[key]
	if !ok {
		return ports.Row{}, ports.ErrNotFound
	}
	return row, nil
}

// List implements ports.Table.
func (t *Table) List(ctx context.Context, kind string) ([]ports.Row, error) {
	if t.fault("list", kind) != None || ctx.Err() != nil {
		return nil, ports.ErrUnknown
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Reads++
	var rows []ports.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, kind+"/") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b ports.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Transact implements ports.Table.
func (t *Table) Transact(ctx context.Context, token string, writes ...ports.Write) error {
	fault := t.fault("transact", writes[0].Key)
	if fault == Refuse || ctx.Err() != nil {
		return ports.ErrNotApplied
	}
	err := t.apply(token, writes)
	if fault == LoseResponse {
		return ports.ErrUnknown
	}
	return err
}

func (t *Table) apply(token string, writes []ports.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Writes++
	if t.tokens[token] {
		return nil
	}
	for _, w := range writes {
		if t.rows[w.Key].Revision != w.Revision {
			return ports.ErrConflict
		}
	}
	t.tokens[token] = true
	for _, w := range writes {
		switch {
		case w.Check:
		case w.Delete:
			delete(t.rows, w.Key)
		default:
			t.rows[w.Key] = ports.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: w.Revision + 1, Token: token}
		}
	}
	return nil
}
