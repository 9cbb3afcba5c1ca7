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
	pace             = 5 * time.Millisecond
	clientDeadline   = 2500 * time.Millisecond
	clients          = 8
	maxClientPauseMS = 15 // maximum pause between two requests of a client
	revokedKey       = "archive-key"
	validKey         = "committee-key"
	validTenant      = "committee"
	draftKinds       = 2 // number of the 4 request kinds that are drafts
	notRunStatus     = "status that says that the request did not run"
	revocationSlack  = 300 * time.Millisecond // tolerance for the clocks of test and store
)

// outcome is the result of one request as the client saw it.
type outcome struct {
	id      string
	member  *member // the instance that got the request
	key     string
	sent    time.Time
	unsafe  bool
	crashes bool // the request crashes upstreams
	status  int  // 0 if no complete answer arrived
	problem string
}

// outcomeLog records the outcomes of all clients. It is safe for concurrent
// use.
type outcomeLog struct {
	mu       sync.Mutex
	outcomes []outcome
}

func (r *outcomeLog) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *outcomeLog) all() []outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]outcome(nil), r.outcomes...)
}

// client sends requests until stop is closed. Every fourth client opens a
// connection for each request; the others reuse connections.
func (s *system) client(n int, random *rand.Rand, log *outcomeLog, stop <-chan struct{}) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableKeepAlives: n%4 == 0}
	defer transport.CloseIdleConnections()
	c := &http.Client{Transport: transport, Timeout: 2 * clientDeadline}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(maxClientPauseMS)) * time.Millisecond):
		}
		log.add(s.send(c, random, fmt.Sprintf("c%d-%d", n, i)))
	}
}

func (s *system) send(c *http.Client, random *rand.Rand, id string) outcome {
	o := outcome{id: id, key: validKey, sent: time.Now()}
	if random.IntN(5) == 0 {
		o.key = revokedKey
	}
	path, method, model := "/lookup/1", http.MethodGet, ""
	switch kind := random.IntN(4); {
	case kind < draftKinds:
		path, method, model = "/drafts/1", http.MethodPost, []string{"notices", "summaries", "letters", "notices/a1", "summaries/a2"}[random.IntN(5)]
	case kind == draftKinds:
		path, method, o.unsafe = "/signup/1", http.MethodPost, true
	}
	if s.crashPath != "" && path == "/lookup/1" && random.IntN(10) == 0 {
		path, o.crashes = s.crashPath, o.key == validKey
	}
	m := s.members[random.IntN(len(s.members))]
	o.member = m
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
		if s.crashPart != "" {
			parts := "first:40,session:30,"
			if random.IntN(10) == 0 {
				parts, o.crashes = "first:40,"+s.crashPart+":30,", true
			}
			r.Header.Set(userplatform.HeaderPrefix, parts+id+":30")
		}
	}
	answer, err := c.Do(r)
	if err != nil {
		return o // without an answer, the outcome is unknown
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return o // the answer was cut, and the client can tell
	}
	o.status = answer.StatusCode
	if o.status == http.StatusOK {
		o.problem = checkSuccess(answer, string(text), id, model != "")
	}
	return o
}

// checkSuccess returns a description of what is wrong with an answer with status
// 200, or an empty string.
func checkSuccess(answer *http.Response, text, id string, stream bool) string {
	switch {
	case answer.Header.Get(userplatform.HeaderSignature) == "":
		return "status 200 without a signature"
	case answer.Header.Get(userplatform.HeaderID) != id:
		return "an answer to request " + answer.Header.Get(userplatform.HeaderID)
	case text == "yours": // the caller's own answer, sent after one to another request
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
