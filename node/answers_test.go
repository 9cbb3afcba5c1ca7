package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/standin/userplatform"
)

// Guards against a refusal that names no request, which a faulty upstream writes before
// its answer, on a kept connection or a new one: the request runs, so that it must neither
// be called not run nor be sent to another upstream.
func TestRefusalOfNoRequest(t *testing.T) {
	for name, before := range map[string]int{"new connection": 0, "kept connection": 8} {
		t.Run(name, func(t *testing.T) {
			s := newTestSystem(t, 1)
			var group sync.WaitGroup
			for range before { // leaves kept connections to both upstreams
				group.Go(func() { s.send(0, request{path: "/signup/1", key: "committee-key"}) })
			}
			group.Wait()
			for _, u := range s.rotas {
				u.Fail(userplatform.RefusalFirst)
			}
			a := s.send(0, request{id: "refused before", path: "/signup/1", key: "committee-key"})
			if ran, arrived := countRuns("refused before", s.rotas...); ran != 1 || arrived != 1 {
				t.Errorf("arrived %d times and ran %d times, want 1 and 1", arrived, ran)
			}
			if a.status != http.StatusBadGateway {
				t.Errorf("got status %d, want 502: the request has run", a.status)
			}
		})
	}
}

// Guards against an error that answers the resumption of a broken stream and becomes part
// of the caller's stream, or lets it look complete.
func TestAnswerAfterABrokenStreamIsNotPartOfIt(t *testing.T) {
	for name, fault := range map[string]userplatform.Fault{
		"error": userplatform.ErrorResponse, "error as events": userplatform.ErrorEvents, "refusal": userplatform.RefusedAtCapacity,
		"earlier refusal": userplatform.RefusalFirst, "unsigned": userplatform.Unsigned, "foreign answer": userplatform.ForeignResponseFirst,
		"no stream": userplatform.UnframedReset, "closed": userplatform.ClosedStream, "reset": userplatform.ResetAfter,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestSystem(t, 1, "letters")
			resumed := 0
			for i := range 20 {
				// One of the engines is chosen first; it breaks off in half of the plays, and
				// the other one gives the answer.
				for _, u := range s.engines {
					u.ClearFaults()
				}
				s.engines[i%2].Fail(userplatform.CutStream)
				s.engines[1-i%2].Fail(fault)
				r := draftRequest("letters")
				r.id = fmt.Sprintf("%s-%d", name, i)
				a := s.send(0, r)
				ids := strings.Join(eventIDs(a.body), " ")
				if a.status != http.StatusOK {
					continue // refused or failed before the first event
				}
				if !strings.HasPrefix(completeStream, ids) || strings.Contains(a.body, "error") || strings.Contains(a.body, "HTTP/1.1") || strings.Contains(a.body, "yours") {
					t.Errorf("events %q in the stream %q", ids, a.body)
				}
				if a.err == nil && ids != completeStream {
					t.Errorf("a stream with only the events %q ended as if it were complete", ids)
				}
				if ran, arrived := countRuns(r.id, s.engines...); arrived > 1 || ran > 1 {
					resumed++
				}
			}
			if resumed == 0 {
				t.Error("no stream was resumed; the test shows nothing")
			}
		})
	}
}
