package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

func init() { scenarios["endless-503"] = endless503 }

const (
	signUps = 100
	// spoilEvery is the number of runs at the worker in trouble of which one has an answer
	// without end.
	spoilEvery = 20
	// longBody is the length of a failure that ends.
	longBody = 7 * 50_000
)

// endless503 lets one of two workers run some unsafe requests and answer them with a 503
// that does not say that the request was not run, and whose body has no end or a late one.
func endless503(s *system, trouble bool) ([]string, error) {
	var mu sync.Mutex
	runs := 0
	ran := map[string]string{}      // the worker that ran a request, by its ID
	sheet := map[string][]string{}  // the requests that recorded a sign-up, by the name
	spoilt := map[string]struct{}{} // requests with such an answer
	for n := range 2 {
		w := &worker{id: fmt.Sprintf("app-%d", n+1), service: "rota-app", slots: 6}
		w.serve = func(rw http.ResponseWriter, r *http.Request) {
			id, name := r.Header.Get(userplatform.HeaderID), strings.TrimPrefix(r.URL.Path, "/signup/")
			time.Sleep(60 * time.Millisecond)
			mu.Lock()
			ran[id] = w.id
			sheet[name] = append(sheet[name], id)
			spoil, nth := false, 0
			if w.id == "app-1" {
				runs++
				spoil, nth = trouble && runs%spoilEvery == 0, runs/spoilEvery
			}
			if spoil {
				spoilt[id] = struct{}{}
			}
			mu.Unlock()
			if !spoil {
				fmt.Fprintf(rw, "signed up: %s", name)
				return
			}
			if nth%2 == 0 {
				s.note("worker %s has run %s and answers with 503 and a body of %d bytes", w.id, id, longBody)
				rw.Header().Del(userplatform.HeaderSignature)
				rw.WriteHeader(http.StatusServiceUnavailable)
				io.WriteString(rw, strings.Repeat("failed\n", longBody/7)) //nolint:errcheck // the caller may have left.
				return
			}
			s.note("worker %s has run %s and answers with 503 and bytes without end", w.id, id)
			writeWithoutEnd(rw, id)
		}
		if err := s.addWorker(w); err != nil {
			return nil, err
		}
	}
	desired := map[string]any{
		"routes": []map[string]any{{
			"name": "signup", "host": host, "prefix": "/signup/", "kind": "unsafe", "service": "rota-app", "timeoutMs": 800,
			"targetLatencyMs": 300, "priority": 2, "attempts": 1,
		}},
		"services": []map[string]any{{"name": "rota-app", "healthPath": "/health", "connectionLimit": 110}},
	}
	if err := s.operate(1, desired); err != nil {
		return nil, err
	}
	for n := range 2 {
		if _, err := s.addInstance(fmt.Sprintf("front-%d", n+1), s.address); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	var broken []string
	var group sync.WaitGroup
	served := 0
	for n := range signUps {
		group.Go(func() {
			name := fmt.Sprintf("family-%d", n+1)
			for attempt := 1; attempt <= 2; attempt++ {
				i := s.instances[(n+attempt)%2]
				id := fmt.Sprintf("%s-%03d-%d", i.name, n+1, attempt)
				status, header, err := s.askForStatus(i, "/signup/"+name, id)
				s.note("consumer of %s gets status %d (%v) for %s", name, status, err, id)
				mu.Lock()
				at, hasRun := ran[id]
				if status == http.StatusOK {
					served++
				}
				promise := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
				if promise && hasRun {
					how := "to the end of its body"
					if err != nil {
						how = "and its body breaks off"
					}
					broken = append(broken, fmt.Sprintf("REFUSED: %s is answered %d (ID %q, %s) and has run at %s", id, status, header, how, at))
				}
				mu.Unlock()
				if !promise {
					return
				}
				time.Sleep(100 * time.Millisecond) // consumers retry unsafe requests after a promise alone
			}
		})
		time.Sleep(120 * time.Millisecond)
	}
	group.Wait()
	s.result("%d of %d sign-ups got a success; %d answers of app-1 were such failures", served, signUps, len(spoilt))
	for name, ids := range sheet {
		if len(ids) > 1 {
			s.result("%s is recorded %d times: %s", name, len(ids), strings.Join(ids, ", "))
		}
	}
	if served == 0 {
		return nil, errors.New("no request was served")
	}
	return broken, nil
}

// writeWithoutEnd answers with 503, without a word on whether the request was run, and
// writes until the caller closes.
func writeWithoutEnd(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Type: text/plain\r\n\r\n", userplatform.HeaderID, id)
	noise := strings.Repeat("no answer ", 1600)
	for until := time.Now().Add(10 * time.Second); err == nil && time.Now().Before(until); {
		_, err = io.WriteString(conn, noise)
	}
}

// askForStatus sends a sign-up on a new channel and reads the status and the ID of the
// answer; the channel is closed if the body has no end.
func (s *system) askForStatus(i *instance, path, id string) (status int, answered string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+i.callers+path, strings.NewReader("{}"))
	if err != nil {
		return 0, "", err
	}
	request.Host = host
	request.Header.Set(userplatform.HeaderID, id)
	request.Header.Set(userplatform.HeaderDeadline, "1500")
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: 1500 * time.Millisecond}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get(userplatform.HeaderID), err
}
