package awsapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// Attributes of the table. kind is the partition key and name the sort key.
const (
	attrKind     = "kind"
	attrName     = "name"
	attrValue    = "value"
	attrRevision = "revision"
	attrToken    = "token"
	attrExpires  = "expires" // seconds since 1970; the table's TTL attribute
)

// Conditions of writes. The names are aliased because some are reserved words.
const (
	conditionAbsent   = "attribute_not_exists(#r)"
	conditionRevision = "#r = :r"
	conditionKind     = "#k = :k"
)

// maxRequestToken is the maximum length of a ClientRequestToken.
const maxRequestToken = 36

// DynamoTable is a ports.Table over the DynamoDB API.
type DynamoTable struct {
	client   *dynamodb.Client
	endpoint Endpoint
	table    string
}

// NewDynamoTable returns a client of the named table.
func NewDynamoTable(e Endpoint, table string) (*DynamoTable, error) {
	e, err := e.check()
	if err != nil {
		return nil, err
	}
	client := dynamodb.NewFromConfig(e.config(), func(o *dynamodb.Options) { o.DisableClockSkewCorrection = true })
	return &DynamoTable{client: client, endpoint: e, table: table}, nil
}

// Get implements ports.Table.
func (t *DynamoTable) Get(ctx context.Context, key string) (ports.Row, error) {
	c := t.endpoint.newCall(ctx)
	defer c.cancel()
	out, err := t.client.GetItem(c, &dynamodb.GetItemInput{
		TableName: &t.table, Key: itemKey(key), ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return ports.Row{}, c.classify("get "+key, err)
	}
	if len(out.Item) == 0 {
		return ports.Row{}, fmt.Errorf("get %s: %w", key, ports.ErrNotFound)
	}
	return decodeItem(out.Item)
}

// List implements ports.Table.
func (t *DynamoTable) List(ctx context.Context, kind string) ([]ports.Row, error) {
	var rows []ports.Row
	var start map[string]types.AttributeValue
	for {
		page, next, err := t.page(ctx, kind, start)
		if err != nil {
			return nil, err
		}
		for _, item := range page {
			row, err := decodeItem(item)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
		if len(next) == 0 {
			return rows, nil
		}
		start = next
	}
}

type item = map[string]types.AttributeValue

func (t *DynamoTable) page(ctx context.Context, kind string, start item) ([]item, item, error) {
	c := t.endpoint.newCall(ctx)
	defer c.cancel()
	out, err := t.client.Query(c, &dynamodb.QueryInput{
		TableName: &t.table, ConsistentRead: aws.Bool(true), ExclusiveStartKey: start,
		KeyConditionExpression:    aws.String(conditionKind),
		ExpressionAttributeNames:  map[string]string{"#k": attrKind},
		ExpressionAttributeValues: item{":k": &types.AttributeValueMemberS{Value: kind}},
	})
	if err != nil {
		return nil, nil, c.classify("list "+kind, err)
	}
	return out.Items, out.LastEvaluatedKey, nil
}

// Transact implements ports.Table.
func (t *DynamoTable) Transact(ctx context.Context, token string, writes ...ports.Write) error {
	items := make([]types.TransactWriteItem, len(writes))
	for i, w := range writes {
		items[i] = t.encodeWrite(token, w)
	}
	c := t.endpoint.newCall(ctx)
	defer c.cancel()
	_, err := t.client.TransactWriteItems(c, &dynamodb.TransactWriteItemsInput{
		TransactItems: items, ClientRequestToken: aws.String(requestToken(token)),
	})
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return fmt.Errorf("transact: %w: %w", cancellationClass(cancelled), err)
	}
	return c.classify("transact", err)
}

// cancellationClass distinguishes a failed condition from other reasons, such as
// a conflict with a transaction in progress. A cancelled transaction writes
// nothing.
func cancellationClass(err *types.TransactionCanceledException) error {
	for _, reason := range err.CancellationReasons {
		if aws.ToString(reason.Code) == "ConditionalCheckFailed" {
			return ports.ErrConflict
		}
	}
	return ports.ErrNotApplied
}

func (t *DynamoTable) encodeWrite(token string, w ports.Write) types.TransactWriteItem {
	condition, names := aws.String(conditionAbsent), map[string]string{"#r": attrRevision}
	var values item
	if w.Revision > 0 {
		condition = aws.String(conditionRevision)
		values = item{":r": number(w.Revision)}
	}
	switch {
	case w.Check:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: &t.table, Key: itemKey(w.Key), ConditionExpression: condition,
			ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}
	case w.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: &t.table, Key: itemKey(w.Key), ConditionExpression: condition,
			ExpressionAttributeNames: names, ExpressionAttributeValues: values,
		}}
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: &t.table, Item: encodeItem(token, w), ConditionExpression: condition,
		ExpressionAttributeNames: names, ExpressionAttributeValues: values,
	}}
}

func encodeItem(token string, w ports.Write) item {
	it := itemKey(w.Key)
	it[attrValue] = &types.AttributeValueMemberB{Value: append([]byte{}, w.Value...)} // nil would be sent as null
	it[attrRevision] = number(w.Revision + 1)
	it[attrToken] = &types.AttributeValueMemberS{Value: token}
	if !w.ExpiresAt.IsZero() {
		it[attrExpires] = number(uint64(w.ExpiresAt.Unix()))
	}
	return it
}

func itemKey(key string) item {
	kind, name := ports.SplitKey(key)
	return item{
		attrKind: &types.AttributeValueMemberS{Value: kind},
		attrName: &types.AttributeValueMemberS{Value: name},
	}
}

func number(n uint64) *types.AttributeValueMemberN {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

// errMalformedItem means that a row lacks attributes that this client writes.
var errMalformedItem = errors.New("malformed item")

func decodeItem(it item) (ports.Row, error) {
	kind, ok1 := it[attrKind].(*types.AttributeValueMemberS)
	name, ok2 := it[attrName].(*types.AttributeValueMemberS)
	revision, ok3 := it[attrRevision].(*types.AttributeValueMemberN)
	token, ok4 := it[attrToken].(*types.AttributeValueMemberS)
	value, ok5 := it[attrValue].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 || !ok5 {
		return ports.Row{}, errMalformedItem
	}
	n, err := strconv.ParseUint(revision.Value, 10, 64)
	if err != nil {
		return ports.Row{}, fmt.Errorf("%w: revision: %w", errMalformedItem, err)
	}
	return ports.Row{Key: kind.Value + "/" + name.Value, Value: value.Value, Revision: n, Token: token.Value}, nil
}

// requestToken returns a token that the service accepts; longer ones are hashed.
func requestToken(token string) string {
	if len(token) <= maxRequestToken {
		return token
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])[:maxRequestToken]
}
