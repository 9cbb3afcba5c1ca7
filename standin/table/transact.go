package table

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/hibiscusyard/hibiscusyard/standin"
)

type transactInput struct {
	ClientRequestToken string
	TransactItems      []actionInput
}

type actionInput struct {
	Put, Delete, ConditionCheck *action
}

type action struct {
	TableName                 string
	Item                      Item // of a Put action
	Key                       Item // of the other actions
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues Item
}

// step is a validated action of a transaction.
type step struct {
	key    key
	put    Item
	delete bool
	absent bool   // condition: the item does not exist
	attr   string // condition: the attribute has the value
	value  int64
}

func (t *Table) transact(in transactInput) (any, *apiError) {
	body, err := json.Marshal(in) // normalizes the order of members, which differs between equal requests
	if err != nil {
		return nil, invalid("%v", err)
	}
	steps, failure := t.parseSteps(in.TransactItems)
	if failure != nil {
		return nil, failure
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireItems()
	t.expireRequestTokens()
	t.counts.Transactions++
	if earlier, ok := t.completed[in.ClientRequestToken]; ok && in.ClientRequestToken != "" {
		if earlier.body != string(body) {
			return nil, &apiError{Type: "IdempotentParameterMismatchException", Message: "the token was used with other parameters"}
		}
		t.counts.Repeated++
		return struct{}{}, nil
	}
	if err := t.cancellation(steps); err != nil {
		t.counts.Cancelled++
		return nil, err
	}
	for _, s := range steps {
		if s.put != nil {
			t.items[s.key] = s.put
		} else if s.delete {
			delete(t.items, s.key)
		}
	}
	t.completed[in.ClientRequestToken] = completedTransaction{t.config.Now(), string(body)}
	t.counts.Applied++
	return struct{}{}, nil
}

// expireRequestTokens removes request tokens that are older than the
// idempotency window. The caller holds mu.
func (t *Table) expireRequestTokens() {
	now := t.config.Now()
	for token, o := range t.completed {
		if now.Sub(o.at) > idempotencyWindow {
			delete(t.completed, token)
		}
	}
}

// cancellation returns the error of a transaction whose conditions are not met
// or to which the Conflicts fault applies, else nil. The caller holds mu.
func (t *Table) cancellation(steps []step) *apiError {
	reasons := make([]reason, len(steps))
	conflict := t.Consume(func(f *standin.Faults) *int { return &f.Conflicts })
	failed := conflict
	for i, s := range steps {
		reasons[i] = reason{Code: "None"}
		switch {
		case conflict && i == 0:
			reasons[i] = reason{Code: "TransactionConflict", Message: "Transaction is ongoing for the item"}
		case !conflict && !s.conditionHolds(t.items[s.key]):
			reasons[i] = reason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
			failed = true
		}
	}
	if !failed {
		return nil
	}
	codes := make([]string, len(reasons))
	for i, r := range reasons {
		codes[i] = r.Code
	}
	return &apiError{
		Type:    "TransactionCanceledException",
		Message: "Transaction cancelled, please refer cancellation reasons for specific reasons [" + strings.Join(codes, ", ") + "]",
		Reasons: reasons,
	}
}

func (s step) conditionHolds(it Item) bool {
	if s.absent {
		return it[s.attr].N == nil
	}
	n := it[s.attr].N
	return n != nil && parseNumber(*n) == s.value
}

func (t *Table) parseSteps(items []actionInput) ([]step, *apiError) {
	if len(items) == 0 || len(items) > maxActions {
		return nil, invalid("TransactItems must have 1 to %d members, not %d", maxActions, len(items))
	}
	seen := map[key]bool{}
	steps := make([]step, len(items))
	for i, it := range items {
		s, err := t.parseStep(it)
		if err != nil {
			return nil, err
		}
		if seen[s.key] {
			return nil, invalid("Transaction request cannot include multiple operations on one item")
		}
		seen[s.key] = true
		steps[i] = s
	}
	return steps, nil
}

func (t *Table) parseStep(in actionInput) (step, *apiError) {
	var s step
	var a *action
	switch {
	case in.Put != nil:
		a, s.put = in.Put, in.Put.Item
		a.Key = a.Item
		if encoded, _ := json.Marshal(a.Item); len(encoded) > maxItemBytes*4/3 {
			return s, invalid("Item size has exceeded the maximum allowed size")
		}
	case in.Delete != nil:
		a, s.delete = in.Delete, true
	case in.ConditionCheck != nil:
		a = in.ConditionCheck
	default:
		return s, invalid("TransactItems: exactly one of Put, Delete and ConditionCheck is known")
	}
	if err := t.checkName(a.TableName); err != nil {
		return s, err
	}
	var err *apiError
	if s.key, err = keyOf(a.Key); err != nil {
		return s, err
	}
	return s, a.parseCondition(&s)
}

// parseCondition parses a condition of the form "attribute_not_exists(#a)" or
// "#a = :v" with a number.
func (a *action) parseCondition(s *step) *apiError {
	text := a.ConditionExpression
	if inner, ok := strings.CutPrefix(text, "attribute_not_exists("); ok {
		s.absent = true
		s.attr = a.ExpressionAttributeNames[strings.TrimSuffix(inner, ")")]
	} else {
		left, right, _ := strings.Cut(text, " = ")
		s.attr = a.ExpressionAttributeNames[left]
		if n := a.ExpressionAttributeValues[right].N; n != nil {
			s.value = parseNumber(*n)
		} else {
			s.attr = ""
		}
	}
	if s.attr == "" {
		return invalid("ConditionExpression: %q", text)
	}
	return nil
}

// parseNumber parses an integer. It returns -1, which matches no condition and
// no expiry time, for any other text.
func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return -1
	}
	return n
}
