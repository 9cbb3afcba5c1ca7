package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/hibiscusyard/hibiscusyard/standin"
)

type chatRequest struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	Messages            []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

type chatErrorBody struct {
	Error chatErrorDetail `json:"error"`
}

type chatErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func (e *Engine) chatError(w http.ResponseWriter, r *http.Request, status int, code, message string) {
	errorType := "server_error"
	if status < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	e.respond(w, r, status, chatErrorBody{chatErrorDetail{message, errorType, code}})
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// Token returns the text of the i-th token of every response.
func Token(i int) string { return fmt.Sprintf("t%d ", i) }

// ForeignID is the request ID in responses under the fault of the same name.
const ForeignID = "request-of-another-caller"

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var in chatRequest
	if err := decode(r, &in); err != nil || in.Model == "" {
		e.chatError(w, r, http.StatusBadRequest, "bad_request", "a JSON body with a model is required")
		return
	}
	id := r.Header.Get(standin.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	status, code := e.beginChat(in.Model, id)
	if status != http.StatusOK {
		e.chatError(w, r, status, code, "the engine did not run the request")
		return
	}
	incarnation := e.process.Incarnation()
	completed := false
	defer func() { e.endChat(in.Model, incarnation, completed) }()
	completed = e.writeResponse(w, r, in, id)
}

// beginChat admits a chat, or returns the status and error code of its refusal.
func (e *Engine) beginChat(model, id string) (status int, code string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.hasReadyReplica(model) {
		e.counts.NotLoaded++
		return http.StatusNotFound, "model_not_loaded"
	}
	if e.counts.Running >= e.config.Concurrency {
		e.counts.Overloaded++
		return http.StatusServiceUnavailable, "overloaded"
	}
	e.counts.Chats++
	e.counts.ChatsByID[id]++
	e.counts.Running++
	e.chats[model]++
	e.reportLoad()
	return http.StatusOK, ""
}

func (e *Engine) endChat(model, incarnation string, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if completed {
		e.counts.Completed++
	} else {
		e.counts.Cancelled++
	}
	if incarnation != e.process.Incarnation() {
		return // the restart has already reset the counts of running chats
	}
	e.counts.Running--
	e.chats[model]--
	e.completeUnloads(model)
}

// writeResponse generates the response and reports whether it was written completely.
func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, in chatRequest, id string) bool {
	n := in.MaxTokens
	if n <= 0 {
		n = in.MaxCompletionTokens
	}
	finish := "length"
	if n <= 0 {
		n, finish = e.config.MaxTokens, "stop"
	}
	if e.Faults().ForeignID {
		id = ForeignID
	}
	rw := &responseWriter{e: e, w: w, r: r, id: id, model: in.Model, created: time.Now().Unix()}
	rw.usage = usage{PromptTokens: in.promptTokens(), CompletionTokens: n}
	rw.usage.TotalTokens = rw.usage.PromptTokens + n
	if in.Stream {
		return rw.writeStream(n, finish)
	}
	return rw.writeCompletion(n, finish)
}

// promptTokens estimates the prompt tokens by the number of words, which is
// accurate enough for a stand-in.
func (in chatRequest) promptTokens() int {
	n := 0
	for _, m := range in.Messages {
		n += len(strings.Fields(string(m.Content)))
	}
	return n
}

// responseWriter writes the response to one chat.
type responseWriter struct {
	e         *Engine
	w         http.ResponseWriter
	r         *http.Request
	id, model string
	created   int64
	usage     usage
}

func (rw *responseWriter) newCompletion(object string, c choice) completion {
	return completion{ID: rw.id, Object: object, Created: rw.created, Model: rw.model, Choices: []choice{c}}
}

// setHeaders sets the response headers with the current load report.
func (rw *responseWriter) setHeaders(contentType string) {
	rw.e.stamp(rw.w, rw.r)
	if rw.id == ForeignID {
		rw.w.Header().Set(standin.HeaderRequestID, ForeignID)
	}
	rw.w.Header().Set("Content-Type", contentType)
}

// waitForToken waits for the i-th token and applies the streaming faults. It
// reports false if the caller has disconnected.
func (rw *responseWriter) waitForToken(i int) bool {
	f := rw.e.Faults()
	if f.TruncateAfter > 0 && i >= f.TruncateAfter {
		panic(http.ErrAbortHandler)
	}
	if f.HangAfter > 0 && i >= f.HangAfter {
		<-rw.r.Context().Done()
	}
	if rw.e.config.Pace > 0 {
		return standin.Wait(rw.r.Context(), rw.e.config.Pace) == nil
	}
	return rw.r.Context().Err() == nil
}

func (rw *responseWriter) writeStream(n int, finish string) bool {
	rw.setHeaders("text/event-stream")
	flush := http.NewResponseController(rw.w)
	for i := range n {
		if !rw.waitForToken(i) {
			return false
		}
		delta := &message{Content: Token(i)}
		if i == 0 {
			delta.Role = "assistant"
		}
		if !rw.writeEvent(rw.newCompletion("chat.completion.chunk", choice{Delta: delta})) {
			return false
		}
		flush.Flush()
		rw.e.countTokensSent(1)
	}
	last := rw.newCompletion("chat.completion.chunk", choice{Delta: &message{}, FinishReason: &finish})
	last.Usage = &rw.usage
	if !rw.writeEvent(last) {
		return false
	}
	_, err := rw.w.Write([]byte("data: [DONE]\n\n"))
	flush.Flush()
	return err == nil
}

// malformedBody replaces the JSON of responses under the Garbage fault.
const malformedBody = "<html>{\"id\": \x00"

func (rw *responseWriter) writeEvent(c completion) bool {
	data, err := json.Marshal(c)
	if rw.e.Faults().Garbage {
		data = []byte(malformedBody)
	}
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(rw.w, "data: %s\n\n", data)
	return err == nil
}

func (rw *responseWriter) writeCompletion(n int, finish string) bool {
	var text strings.Builder
	for i := range n {
		if !rw.waitForToken(i) {
			return false
		}
		text.WriteString(Token(i))
	}
	c := rw.newCompletion("chat.completion", choice{Message: &message{"assistant", text.String()}, FinishReason: &finish})
	c.Usage = &rw.usage
	data, err := json.Marshal(c)
	if rw.e.Faults().Garbage {
		data = []byte(malformedBody)
	}
	if err != nil {
		return false
	}
	rw.setHeaders("application/json")
	_, err = rw.w.Write(data)
	rw.e.countTokensSent(n)
	return err == nil
}

func (e *Engine) countTokensSent(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.TokensSent += int64(tokens)
}
