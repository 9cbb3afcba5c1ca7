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

// scripted carries out the commands of the scripts on a scene.
type scripted struct {
	t     *testing.T
	scene *scene
}

// Guards against a break anywhere on the complete path from a keyed request
// to its answer, with every part as a process.
func TestScripts(t *testing.T) {
	s := &scripted{t: t}
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

func (s *scripted) start(_ *testscript.TestScript, _ bool, _ []string) { s.scene = newScene(s.t) }

func (s *scripted) instance(name string) *processtest.Instance {
	if name == "two" {
		return s.scene.two
	}
	return s.scene.one
}

// key returns the key of a workspace; any other name is a key that nobody granted.
func key(name string) string {
	if granted, ok := map[string]string{"law": lawKey, "sales": salesKey}[name]; ok {
		return granted
	}
	return name
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// served INSTANCE MODEL WORKSPACE TOKENS
func (s *scripted) served(ts *testscript.TestScript, _ bool, args []string) {
	tokens := number(ts, args[3])
	chat(args[1], key(args[2]), tokens, true).do(s.instance(args[0])).wantStream(s.t, strings.Join(args, " "), tokens)
}

// ask sends a chat for a model or, for a name with a slash, a call of a path.
func (s *scripted) ask(args []string) answer {
	c := chat(args[1], key(args[2]), 1, true)
	if strings.HasPrefix(args[1], "/") {
		c.path = args[1]
	}
	return c.do(s.instance(args[0]))
}

// refused INSTANCE MODEL|PATH WORKSPACE STATUS CODE VERDICT
func (s *scripted) refused(ts *testscript.TestScript, _ bool, args []string) {
	s.ask(args).wantRefusal(s.t, strings.Join(args, " "), number(ts, args[3]), args[4], args[5])
}

func (s *scripted) refusedWithinBound(ts *testscript.TestScript, _ bool, args []string) {
	processtest.Within(s.t, inForce, strings.Join(args, " "), func() bool { return s.ask(args).status == number(ts, args[3]) })
	s.refused(ts, false, args)
}

func (s *scripted) want(ts *testscript.TestScript, what string, got int, want string) {
	if got != number(ts, want) {
		ts.Fatalf("%d %s, want %s", got, what, want)
	}
}

// loads MODEL COUNT
func (s *scripted) loads(ts *testscript.TestScript, _ bool, args []string) {
	s.want(ts, "loads of "+args[0], s.scene.engine.EngineCounts().Loads[args[0]], args[1])
}

// chats COUNT
func (s *scripted) chats(ts *testscript.TestScript, _ bool, args []string) {
	s.want(ts, "chats at the engine", s.scene.engine.EngineCounts().Chats, args[0])
}

// effects COUNT
func (s *scripted) effects(ts *testscript.TestScript, _ bool, args []string) {
	s.want(ts, "effects at the service", s.scene.service.ServiceCounts().Effects, args[0])
}

// signup INSTANCE
func (s *scripted) signup(ts *testscript.TestScript, _ bool, args []string) {
	if a := signup().do(s.instance(args[0])); a.status != http.StatusOK {
		ts.Fatalf("sign-up: status %d, %v, %s", a.status, a.err, a.body)
	}
}

// withdraw INSTANCE WORKSPACE removes all keys of a workspace by an edit.
func (s *scripted) withdraw(_ *testscript.TestScript, _ bool, args []string) {
	for r := range s.scene.routes.Routes {
		route := &s.scene.routes.Routes[r]
		for w := range route.Workspaces {
			if route.Workspaces[w].Name == args[1] {
				route.Workspaces[w].Keys = []string{catalog.HashKey("unused")}
			}
		}
	}
	s.instance(args[0]).MustPut("routes", s.scene.routes)
}
