package filter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Chat holds the fields of a chat completion request that the chain uses. The
// body is forwarded unchanged.
type Chat struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	N                   int             `json:"n"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
}

// bytesPerToken is a low estimate of the length of a token, so that admission
// overestimates the tokens of a prompt rather than underestimates them.
const bytesPerToken = 3

// Upper bounds of request parameters; they keep sums of tokens from overflowing.
const (
	maxOutput  = 1 << 30
	maxChoices = 128
)

// ParseChat parses and validates the body of a chat completion request.
func ParseChat(body []byte) (*Chat, error) {
	var c Chat
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	if err := checkFieldNames(body); err != nil {
		return nil, err
	}
	switch {
	case c.Model == "":
		return nil, errors.New("model must be set")
	case len(c.Messages) == 0 || c.Messages[0] != '[':
		return nil, errors.New("messages must be a list")
	case c.outputLimit(1) < 1 || c.outputLimit(1) > maxOutput:
		return nil, fmt.Errorf("max_tokens must be between 1 and %d", maxOutput)
	case c.N < 0 || c.N > maxChoices:
		return nil, fmt.Errorf("n must be between 1 and %d", maxChoices)
	}
	return &c, nil
}

var chatFields = []string{"model", "messages", "stream", "n", "max_tokens", "max_completion_tokens"}

// checkFieldNames rejects bodies that this parser and that of an engine could
// interpret differently: duplicate field names, and known field names in another
// case. Otherwise a request could be authorised for one model and run on another.
func checkFieldNames(body []byte) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	if start, err := dec.Token(); err != nil || start != json.Delim('{') {
		return errors.New("the body must be an object")
	}
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		known := slices.ContainsFunc(chatFields, func(field string) bool { return strings.EqualFold(field, name) })
		if !ok || seen[name] || (known && !slices.Contains(chatFields, name)) {
			return fmt.Errorf("field %q stands twice or in another case", name)
		}
		seen[name] = true
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return err
		}
	}
	return nil
}

// outputLimit returns the requested limit of output tokens of one choice, or
// fallback if the request sets none.
func (c *Chat) outputLimit(fallback int64) int64 {
	switch {
	case c.MaxCompletionTokens != nil:
		return *c.MaxCompletionTokens
	case c.MaxTokens != nil:
		return *c.MaxTokens
	default:
		return fallback
	}
}

// TokensToReserve returns the estimated tokens of the prompt plus the maximum
// number of output tokens.
func (c *Chat) TokensToReserve(defaultOutput int64) int64 {
	return c.promptTokens() + c.outputTokens(defaultOutput)
}

// outputTokens returns the maximum number of output tokens, summed over all
// choices.
func (c *Chat) outputTokens(defaultOutput int64) int64 {
	return int64(max(c.N, 1)) * c.outputLimit(defaultOutput)
}

// promptTokens estimates the number of tokens of the prompt.
func (c *Chat) promptTokens() int64 { return int64(len(c.Messages))/bytesPerToken + 1 }
