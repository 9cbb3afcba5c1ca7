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
	kind := "server_error"
	if status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	e.answer(w, r, status, chatErrorBody{chatErrorDetail{message, kind, code}})
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

// Token returns the text of the i-th token of each answer.
func Token(i int) string { return fmt.Sprintf("t%d ", i) }

// ForeignID is the ID in answers that belong to another request.
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
	status, code := e.enter(in.Model, id)
	if status != http.StatusOK {
		e.chatError(w, r, status, code, "the engine did not run the request")
		return
	}
	incarnation := e.process.Incarnation()
	completed := false
	defer func() { e.leave(in.Model, incarnation, completed) }()
	completed = e.run(w, r, in, id)
}

// enter admits a chat.
func (e *Engine) enter(model, id string) (status int, code string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.serves(model) {
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
	e.report()
	return http.StatusOK, ""
}

func (e *Engine) leave(model, incarnation string, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if completed {
		e.counts.Completed++
	} else {
		e.counts.Cancelled++
	}
	if incarnation != e.process.Incarnation() {
		return // a restart has reset the counts of running chats
	}
	e.counts.Running--
	e.chats[model]--
	e.settleUnloads(model)
}

// run generates the answer and reports whether all of it was written.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, in chatRequest, id string) bool {
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
	out := &output{e: e, w: w, r: r, id: id, model: in.Model, created: time.Now().Unix()}
	out.usage = usage{PromptTokens: in.promptTokens(), CompletionTokens: n}
	out.usage.TotalTokens = out.usage.PromptTokens + n
	if in.Stream {
		return out.stream(n, finish)
	}
	return out.whole(n, finish)
}

// promptTokens counts words, which is near enough for a stand-in.
func (in chatRequest) promptTokens() int {
	n := 0
	for _, m := range in.Messages {
		n += len(strings.Fields(string(m.Content)))
	}
	return n
}

// output writes one answer.
type output struct {
	e         *Engine
	w         http.ResponseWriter
	r         *http.Request
	id, model string
	created   int64
	usage     usage
}

func (o *output) document(object string, c choice) completion {
	return completion{ID: o.id, Object: object, Created: o.created, Model: o.model, Choices: []choice{c}}
}

// begin sets the headers as of now.
func (o *output) begin(contentType string) {
	o.e.stamp(o.w, o.r)
	if o.id == ForeignID {
		o.w.Header().Set(standin.HeaderRequestID, ForeignID)
	}
	o.w.Header().Set("Content-Type", contentType)
}

// next waits for the i-th token and applies the faults of streams. It reports
// false when the caller has gone.
func (o *output) next(i int) bool {
	f := o.e.Faults()
	if f.TruncateAfter > 0 && i >= f.TruncateAfter {
		panic(http.ErrAbortHandler)
	}
	if f.HangAfter > 0 && i >= f.HangAfter {
		<-o.r.Context().Done()
	}
	if o.e.config.Pace > 0 {
		return standin.Wait(o.r.Context(), o.e.config.Pace) == nil
	}
	return o.r.Context().Err() == nil
}

func (o *output) stream(n int, finish string) bool {
	o.begin("text/event-stream")
	flush := http.NewResponseController(o.w)
	for i := range n {
		if !o.next(i) {
			return false
		}
		delta := &message{Content: Token(i)}
		if i == 0 {
			delta.Role = "assistant"
		}
		if !o.event(o.document("chat.completion.chunk", choice{Delta: delta})) {
			return false
		}
		flush.Flush()
		o.e.sent(1)
	}
	last := o.document("chat.completion.chunk", choice{Delta: &message{}, FinishReason: &finish})
	last.Usage = &o.usage
	if !o.event(last) {
		return false
	}
	_, err := o.w.Write([]byte("data: [DONE]\n\n"))
	flush.Flush()
	return err == nil
}

// garbage is what an engine with the fault answers in place of JSON.
const garbage = "<html>{\"id\": \x00"

func (o *output) event(c completion) bool {
	data, err := json.Marshal(c)
	if o.e.Faults().Garbage {
		data = []byte(garbage)
	}
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(o.w, "data: %s\n\n", data)
	return err == nil
}

func (o *output) whole(n int, finish string) bool {
	var text strings.Builder
	for i := range n {
		if !o.next(i) {
			return false
		}
		text.WriteString(Token(i))
	}
	c := o.document("chat.completion", choice{Message: &message{"assistant", text.String()}, FinishReason: &finish})
	c.Usage = &o.usage
	data, err := json.Marshal(c)
	if o.e.Faults().Garbage {
		data = []byte(garbage)
	}
	if err != nil {
		return false
	}
	o.begin("application/json")
	_, err = o.w.Write(data)
	o.e.sent(n)
	return err == nil
}

func (e *Engine) sent(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.TokensSent += int64(tokens)
}
