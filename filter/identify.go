package filter

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/decision/verdict"
)

// Paths of the model API.
const (
	ChatPath   = "/v1/chat/completions"
	ModelsPath = "/v1/models"
)

// TimeoutHeader lets a caller shorten its deadline, in seconds.
const TimeoutHeader = "X-Request-Timeout"

// bodyTimeout bounds the time to receive the body of a request.
const bodyTimeout = 30 * time.Second

// Catalog provides the catalogue to the chain.
type Catalog interface {
	// Current returns the index of the current catalogue, nil before the first
	// one, and a channel that is closed when the catalogue changes.
	Current() (*catalog.Index, <-chan struct{})
	// Fresh reports whether the catalogue is known to be current.
	Fresh(now time.Time) bool
}

// Identify finds the route and the key of a request, reads the body and sets
// the deadline.
type Identify struct{ Catalog Catalog }

// Serve implements Filter.
func (f Identify) Serve(ctx context.Context, r *Request, next Next) error {
	index, _ := f.Catalog.Current()
	if index == nil {
		return verdict.New(verdict.NotReady, "this instance holds no catalogue yet")
	}
	r.Index, r.Config = index, int64(index.Version())
	key, err := bearerKey(r.HTTP.Header)
	if err != nil {
		return err
	}
	if r.Key = key; key != "" {
		r.KeyHash = catalog.HashKey(key)
		// Refuse an invalid key before reading the body.
		if _, known := index.KeyOwner(r.KeyHash); !known {
			return verdict.New(verdict.InvalidKey, "the key is not valid")
		}
	}
	if err := f.route(r); err != nil {
		return err
	}
	r.Pool, r.RouteName, r.Repeatable = index.Pool(r.Route.Pool), r.Route.Name, r.Route.Repeatable
	if err := setDeadline(r); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, r.WallDeadline())
	defer cancel()
	return next(ctx, r)
}

func (f Identify) route(r *Request) error {
	path := r.HTTP.URL.Path
	if path == ChatPath {
		return routeChat(r)
	}
	route := r.Index.ServiceRoute(path)
	if route == nil {
		return verdict.New(verdict.UnknownRoute, "no route serves %s", path)
	}
	r.Route = route
	if r.KeyHash == "" && !route.Open {
		return verdict.New(verdict.MissingKey, "route %q needs a key", route.Name)
	}
	if r.KeyHash != "" && !r.Index.Allows(route, r.KeyHash) {
		return verdict.New(verdict.Forbidden, "the key does not open route %q", route.Name)
	}
	return r.ReadBody(route.MaxBody, bodyTimeout)
}

func routeChat(r *Request) error {
	if r.HTTP.Method != http.MethodPost {
		return verdict.New(verdict.MethodNotAllowed, "%s takes POST", ChatPath)
	}
	limit := r.Index.MaxChatBody(r.KeyHash)
	if limit == 0 && r.KeyHash == "" {
		return verdict.New(verdict.MissingKey, "no model is open to callers without a key")
	}
	if limit == 0 {
		return verdict.New(verdict.Forbidden, "the key opens no model")
	}
	if err := r.ReadBody(limit, bodyTimeout); err != nil {
		return err
	}
	chat, err := r.parseChat()
	if err != nil {
		return err
	}
	route := r.Index.ModelRoute(chat.Model)
	if route == nil {
		return verdict.New(verdict.UnknownModel, "no route serves model %.*q", maxQuotedName, chat.Model)
	}
	if int64(len(r.Body)) > route.MaxBody {
		return verdict.New(verdict.BodyTooLarge, "the body exceeds %d bytes", route.MaxBody)
	}
	r.Route, r.Chat, r.Model = route, chat, chat.Model
	r.PromptTokens, r.OutputTokens, r.TokensKnown = chat.promptTokens(), chat.outputTokens(route.MaxOutput), true
	return nil
}

// maxQuotedName bounds what refusals and the log repeat of a name that a caller has sent.
const maxQuotedName = 128

// parseChat parses the body with the memory that this takes.
func (r *Request) parseChat() (*Chat, error) {
	need := parseFactor * int64(len(r.Body))
	if err := r.Hold(r.HTTP.Context(), need); err != nil {
		return nil, err
	}
	defer r.Drop(need)
	chat, err := ParseChat(r.Body)
	if err != nil {
		return nil, verdict.New(verdict.BadRequest, "malformed request: %.*s", 2*maxQuotedName, err)
	}
	return chat, nil
}

// bearerKey returns the caller's key, or "" without one.
func bearerKey(header http.Header) (string, error) {
	values := header.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || strings.TrimSpace(key) == "" || len(values) > 1 {
		return "", verdict.New(verdict.InvalidKey, "the Authorization header must hold one bearer key")
	}
	return strings.TrimSpace(key), nil
}

func setDeadline(r *Request) error {
	if text := r.HTTP.Header.Get(TimeoutHeader); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds > 0) {
			return verdict.New(verdict.BadRequest, "%s must be a positive number of seconds", TimeoutHeader)
		}
		// Compare as floats: a value that overflows a duration sets no limit.
		if requested := seconds * float64(time.Second); requested < float64(r.Route.Timeout.Std()) {
			r.Limit, r.Limited = time.Duration(requested), true
		}
	}
	r.SetDeadline(r.Route.Timeout.Std())
	return nil
}
