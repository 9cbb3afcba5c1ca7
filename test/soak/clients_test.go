package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

const (
	pace            = 5 * time.Millisecond
	clientDeadline  = 2500 * time.Millisecond
	clients         = 8
	clientPause     = 15 // milliseconds at most between two requests
	revokedKey      = "archive-key"
	lastingKey      = "committee-key"
	lastingTenant   = "committee"
	drafts          = 2 // of 4 requests
	promisedStatus  = "status that promises that the request has not run"
	revocationSlack = 300 * time.Millisecond // for the clocks of test and store
)

// outcome is what a client saw of one request.
type outcome struct {
	id      string
	key     string
	sent    time.Time
	unsafe  bool
	status  int // 0 without an answer
	problem string
}

// record collects the outcomes of all clients.
type record struct {
	mu       sync.Mutex
	outcomes []outcome
}

func (r *record) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *record) all() []outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]outcome(nil), r.outcomes...)
}

// client sends requests over kept connections until stop is closed.
func (w *world) client(n int, random *rand.Rand, into *record, stop <-chan struct{}) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableKeepAlives: n%4 == 0}
	defer transport.CloseIdleConnections()
	c := &http.Client{Transport: transport, Timeout: 2 * clientDeadline}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(clientPause)) * time.Millisecond):
		}
		into.add(w.send(c, random, fmt.Sprintf("c%d-%d", n, i)))
	}
}

func (w *world) send(c *http.Client, random *rand.Rand, id string) outcome {
	o := outcome{id: id, key: lastingKey, sent: time.Now()}
	if random.IntN(5) == 0 {
		o.key = revokedKey
	}
	path, method, model := "/lookup/1", http.MethodGet, ""
	switch kind := random.IntN(4); {
	case kind < drafts:
		path, method, model = "/drafts/1", http.MethodPost, []string{"notices", "summaries", "letters", "notices/a1", "summaries/a2"}[random.IntN(5)]
	case kind == drafts:
		path, method, o.unsafe = "/signup/1", http.MethodPost, true
	}
	m := w.members[random.IntN(len(w.members))]
	var body io.Reader
	if method == http.MethodPost {
		body = io.NopCloser(strings.NewReader("body")) // without GetBody, so that net/http does not repeat it
	}
	r, err := http.NewRequest(method, "http://"+m.ingest.Address+path, body)
	if err != nil {
		o.problem = err.Error()
		return o
	}
	r.Host = "rota.example"
	r.Header.Set("Authorization", "Token "+o.key)
	r.Header.Set(userplatform.HeaderID, id)
	r.Header.Set(userplatform.HeaderDeadline, fmt.Sprint(clientDeadline.Milliseconds()))
	r.Header.Set(userplatform.HeaderTokens, "100,20")
	if model != "" {
		r.Header.Set(userplatform.HeaderModel, model)
	}
	answer, err := c.Do(r)
	if err != nil {
		return o // no answer promises nothing
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return o // cut: it does not look complete
	}
	o.status = answer.StatusCode
	if o.status == http.StatusOK {
		o.problem = judge(answer, string(text), id, model != "")
	}
	return o
}

// judge returns what is wrong with a success, empty if nothing.
func judge(answer *http.Response, text, id string, stream bool) string {
	switch {
	case answer.Header.Get(userplatform.HeaderSigned) == "":
		return "a success without a signature"
	case answer.Header.Get(userplatform.HeaderID) != id:
		return "an answer to " + answer.Header.Get(userplatform.HeaderID)
	case text == "yours": // the own answer behind a foreign one
		return ""
	case !stream && !strings.HasSuffix(text, " to "+id):
		return fmt.Sprintf("the body %q", text)
	case !stream:
		return ""
	}
	var ids []string
	scanner := bufio.NewScanner(strings.NewReader(text))
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	if got := strings.Join(ids, " "); got != "1 2 3 4 5 6" {
		return fmt.Sprintf("a complete stream with the events %q: %d %v %q", got, answer.StatusCode, answer.Header, text)
	}
	return ""
}
