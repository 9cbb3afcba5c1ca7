package e2e

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/test/processtest"
)

// scriptRunner runs the commands of the test scripts on a system.
type scriptRunner struct {
	t      *testing.T
	system *system
}

// Guards against a failure on the complete path from an authenticated request
// to its answer, with every component as a process.
func TestScripts(t *testing.T) {
	s := &scriptRunner{t: t}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"scene":                s.start,
			"served":               s.served,
			"refused":              s.refused,
			"refused-within-bound": s.refusedWithinBound,
			"loads":                s.loads,
			"chats":                s.chats,
			"signup":               s.signup,
			"effects":              s.effects,
			"withdraw":             s.withdraw,
		},
	})
}

func (s *scriptRunner) start(_ *testscript.TestScript, _ bool, _ []string) { s.system = newSystem(s.t) }

func (s *scriptRunner) instance(name string) *processtest.Instance {
	if name == "two" {
		return s.system.two
	}
	return s.system.one
}

// key returns the key of a workspace; any other name is returned as it is, for
// use as an invalid key.
func key(name string) string {
	if granted, ok := map[string]string{"law": lawKey, "sales": salesKey}[name]; ok {
		return granted
	}
	return name
}

func parseInt(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// served INSTANCE MODEL WORKSPACE TOKENS
func (s *scriptRunner) served(ts *testscript.TestScript, _ bool, args []string) {
	tokens := parseInt(ts, args[3])
	chat(args[1], key(args[2]), tokens, true).do(s.instance(args[0])).wantStream(s.t, strings.Join(args, " "), tokens)
}

// send sends INSTANCE MODEL|PATH WORKSPACE: a chat for a model or, for a name
// that begins with a slash, a call of a path.
func (s *scriptRunner) send(args []string) answer {
	c := chat(args[1], key(args[2]), 1, true)
	if strings.HasPrefix(args[1], "/") {
		c.path = args[1]
	}
	return c.do(s.instance(args[0]))
}

// refused INSTANCE MODEL|PATH WORKSPACE STATUS CODE VERDICT
func (s *scriptRunner) refused(ts *testscript.TestScript, _ bool, args []string) {
	s.send(args).wantRefusal(s.t, strings.Join(args, " "), parseInt(ts, args[3]), args[4], args[5])
}

func (s *scriptRunner) refusedWithinBound(ts *testscript.TestScript, _ bool, args []string) {
	processtest.Within(s.t, editTimeLimit, strings.Join(args, " "), func() bool { return s.send(args).status == parseInt(ts, args[3]) })
	s.refused(ts, false, args)
}

func (s *scriptRunner) want(ts *testscript.TestScript, what string, got int, want string) {
	if got != parseInt(ts, want) {
		ts.Fatalf("%d %s, want %s", got, what, want)
	}
}

// loads MODEL COUNT
func (s *scriptRunner) loads(ts *testscript.TestScript, _ bool, args []string) {
	s.want(ts, "loads of "+args[0], s.system.engine.EngineCounts().Loads[args[0]], args[1])
}

// chats COUNT
func (s *scriptRunner) chats(ts *testscript.TestScript, _ bool, args []string) {
	s.want(ts, "chats at the engine", s.system.engine.EngineCounts().Chats, args[0])
}

// effects COUNT
func (s *scriptRunner) effects(ts *testscript.TestScript, _ bool, args []string) {
	s.want(ts, "effects at the service", s.system.service.ServiceCounts().Effects, args[0])
}

// signup INSTANCE
func (s *scriptRunner) signup(ts *testscript.TestScript, _ bool, args []string) {
	if a := signup().do(s.instance(args[0])); a.status != http.StatusOK {
		ts.Fatalf("sign-up: status %d, %v, %s", a.status, a.err, a.body)
	}
}

// withdraw INSTANCE WORKSPACE removes all keys of a workspace by an edit.
func (s *scriptRunner) withdraw(_ *testscript.TestScript, _ bool, args []string) {
	for r := range s.system.routes.Routes {
		route := &s.system.routes.Routes[r]
		for w := range route.Workspaces {
			if route.Workspaces[w].Name == args[1] {
				route.Workspaces[w].Keys = []string{catalog.HashKey("unused")}
			}
		}
	}
	s.instance(args[0]).MustPut("routes", s.system.routes)
}
