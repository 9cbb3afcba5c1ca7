// Package table provides a stand-in for a table with a partition key and a sort
// key behind the DynamoDB API (JSON 1.0). It supports the operations and the
// condition expressions that package awsapi sends, and rejects others.
package table

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin"
)

// Limits of the service.
const (
	maxActions        = 100
	maxItemBytes      = 400 << 10
	idempotencyWindow = 10 * time.Minute
)

const (
	contentType  = "application/x-amz-json-1.0"
	targetPrefix = "DynamoDB_20120810."
	errorPrefix  = "com.amazonaws.dynamodb.v20120810#"
	opGet        = targetPrefix + "GetItem"
	opQuery      = targetPrefix + "Query"
	opTransact   = targetPrefix + "TransactWriteItems"
)

// Config configures a table.
type Config struct {
	// Name is the table name. Default "hibiscusyard".
	Name string
	// PageSize is the maximum number of items in a response to Query. Default 100.
	PageSize int
	// Now returns the current time. Default time.Now.
	Now func() time.Time
}

// Value is an attribute value of type string, number or binary.
type Value struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

// Item holds the attribute values of one item by attribute name.
type Item map[string]Value

type key struct{ kind, name string }

type completedTransaction struct {
	at   time.Time
	body string
}

// Table is a stand-in for a table. Requests are serialized, so reads and
// transactions are sequentially consistent. It is safe for concurrent use.
type Table struct {
	*standin.Gate
	config Config

	mu        sync.Mutex
	items     map[key]Item
	completed map[string]completedTransaction // by ClientRequestToken
	counts    Counts
}

// Counts holds the counters of a table.
type Counts struct {
	standin.Counts
	Reads        int64 `json:"reads"`
	Transactions int64 `json:"transactions"`
	Applied      int64 `json:"applied"`
	Repeated     int64 `json:"repeated"`
	Cancelled    int64 `json:"cancelled"`
	Items        int   `json:"items"`
}

// New returns an empty table.
func New(c Config) *Table {
	if c.Name == "" {
		c.Name = "hibiscusyard"
	}
	if c.PageSize <= 0 {
		c.PageSize = 100
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	t := &Table{config: c, items: map[key]Item{}, completed: map[string]completedTransaction{}}
	t.Gate = standin.NewGate(standin.Protocol{
		Throttled: func(w http.ResponseWriter, _ *http.Request) {
			writeError(w, &apiError{Type: "ThrottlingException", Message: "rate exceeded"})
		},
		Failed: func(w http.ResponseWriter, _ *http.Request) {
			writeError(w, &apiError{Type: "InternalServerError", Message: "internal server error", status: http.StatusInternalServerError})
		},
		Effect: func(r *http.Request) bool { return r.Header.Get("X-Amz-Target") == opTransact },
	}, http.HandlerFunc(t.serve), func() any { return t.State() })
	t.HandleControl("GET /control/items", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, "application/json", http.StatusOK, t.Items())
	})
	return t
}

// State returns the counters.
func (t *Table) State() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	c.Counts, c.Items = t.Gate.Counts(), len(t.items)
	return c
}

// Items returns all items, sorted by key.
func (t *Table) Items() []Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := make([]key, 0, len(t.items))
	for k := range t.items {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	items := make([]Item, len(keys))
	for i, k := range keys {
		items[i] = t.items[k]
	}
	return items
}

func (k key) less(other key) bool {
	if k.kind != other.kind {
		return k.kind < other.kind
	}
	return k.name < other.name
}

// apiError is an error response of the service.
type apiError struct {
	Type    string   `json:"__type"`
	Message string   `json:"message"`
	Reasons []reason `json:"CancellationReasons,omitempty"`
	status  int
}

type reason struct {
	Code    string
	Message string `json:",omitempty"`
}

func (e *apiError) Error() string { return e.Type + ": " + e.Message }

func invalid(format string, args ...any) *apiError {
	return &apiError{Type: "ValidationException", Message: fmt.Sprintf(format, args...)}
}

func writeError(w http.ResponseWriter, e *apiError) {
	status := e.status
	if status == 0 {
		status = http.StatusBadRequest
	}
	prefix := errorPrefix
	if e.Type == "ValidationException" || e.Type == "ThrottlingException" {
		prefix = "com.amazon.coral.validate#"
	}
	answer := *e
	answer.Type = prefix + e.Type
	standin.WriteJSON(w, contentType, status, answer)
}

func (t *Table) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, invalid("body: %v", err))
		return
	}
	var answer any
	var failure *apiError
	switch op := r.Header.Get("X-Amz-Target"); op {
	case opGet:
		answer, failure = handle(body, t.get)
	case opQuery:
		answer, failure = handle(body, t.query)
	case opTransact:
		answer, failure = handle(body, t.transact)
	default:
		failure = &apiError{Type: "UnknownOperationException", Message: op}
	}
	if failure != nil {
		writeError(w, failure)
		return
	}
	standin.WriteJSON(w, contentType, http.StatusOK, answer)
}

func handle[T any](body []byte, op func(T) (any, *apiError)) (any, *apiError) {
	var in T
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, &apiError{Type: "SerializationException", Message: err.Error()}
	}
	return op(in)
}

func (t *Table) checkName(name string) *apiError {
	if name != t.config.Name {
		return &apiError{Type: "ResourceNotFoundException", Message: "Requested resource not found"}
	}
	return nil
}

func keyOf(it Item) (key, *apiError) {
	kind, name := it["kind"].S, it["name"].S
	if kind == nil || name == nil || *kind == "" || *name == "" {
		return key{}, invalid("the key attributes kind and name must be non-empty strings")
	}
	return key{*kind, *name}, nil
}

// expireItems removes items whose time to live has passed. The caller holds mu.
func (t *Table) expireItems() {
	now := t.config.Now().Unix()
	for k, it := range t.items {
		if n := it["expires"].N; n != nil && parseNumber(*n) <= now {
			delete(t.items, k)
		}
	}
}

type getInput struct {
	TableName      string
	Key            Item
	ConsistentRead bool
}

func (t *Table) get(in getInput) (any, *apiError) {
	if err := t.checkName(in.TableName); err != nil {
		return nil, err
	}
	k, err := keyOf(in.Key)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireItems()
	t.counts.Reads++
	it, ok := t.items[k]
	if !ok {
		return struct{}{}, nil
	}
	return map[string]Item{"Item": it}, nil
}

type queryInput struct {
	TableName                 string
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues Item
	ExclusiveStartKey         Item
	ConsistentRead            bool
}

type queryOutput struct {
	Items            []Item
	Count            int
	ScannedCount     int
	LastEvaluatedKey Item `json:",omitempty"`
}

func (t *Table) query(in queryInput) (any, *apiError) {
	if err := t.checkName(in.TableName); err != nil {
		return nil, err
	}
	left, right, _ := strings.Cut(in.KeyConditionExpression, " = ")
	kind := in.ExpressionAttributeValues[right].S
	if in.ExpressionAttributeNames[left] != "kind" || kind == nil {
		return nil, invalid("KeyConditionExpression: %q", in.KeyConditionExpression)
	}
	after := ""
	if in.ExclusiveStartKey != nil {
		k, err := keyOf(in.ExclusiveStartKey)
		if err != nil {
			return nil, err
		}
		after = k.name
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireItems()
	t.counts.Reads++
	return t.page(*kind, after), nil
}

func (t *Table) page(kind, after string) queryOutput {
	var names []string
	for k := range t.items {
		if k.kind == kind && k.name > after {
			names = append(names, k.name)
		}
	}
	sort.Strings(names)
	out := queryOutput{Items: []Item{}}
	if len(names) > t.config.PageSize {
		names = names[:t.config.PageSize]
		out.LastEvaluatedKey = Item{"kind": {S: &kind}, "name": {S: &names[len(names)-1]}}
	}
	for _, name := range names {
		out.Items = append(out.Items, t.items[key{kind, name}])
	}
	out.Count, out.ScannedCount = len(out.Items), len(out.Items)
	return out
}
