package catalog_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

// soundTables has no findings: its smallest limits are met exactly,
// also with a drain timeout of 1m, the default of the timeouts of routes. Each %KEY
// stands for the hash of a key.
var soundTables = strings.ReplaceAll(`{"pools":[
  {"name":"e","kind":"engine",
   "upstreams":[{"name":"u","address":"127.0.0.1:1","data_centre":"d","memory_mb":10},{"name":"v","address":"127.0.0.1:2","data_centre":"d2","memory_mb":6}],
   "models":[{"name":"m","memory_mb":6,"cache_mb":2,"load_time":"20s"},{"name":"a","base":"m","memory_mb":2,"load_time":"9s"}]},
  {"name":"s","kind":"service","upstreams":[{"name":"u","address":"127.0.0.1:3","data_centre":"d"}]}],
 "routes":[
  {"name":"chat","pool":"e","models":["a"],"timeout":"30s","max_output":19,"workspaces":[{"name":"w","keys":["%KEY"],"rate":1,"burst":20}]},
  {"name":"signup","pool":"s","prefix":"/signup/","request_tokens":20,"open":true,"open_workspace":"w","workspaces":[{"name":"w","rate":1,"burst":20}]},
  {"name":"later","pool":"s","prefix":"/signup/later/","workspaces":[{"name":"w","keys":["%KEY"],"rate":1,"burst":20}]}]}`,
	"%KEY", hash)

// Guards against mistakes of operators that pass validation and show only in
// refused requests, and against findings for tables that work.
func TestFindings(t *testing.T) {
	for mistake, c := range map[string]struct {
		old, new string
		class    catalog.Class
		path     string
		message  string
	}{
		"none":                        {},
		"timeout above its bound":     {`"timeout":"30s"`, `"timeout":"2h"`, catalog.Invalid, "routes[0].timeout", "between"},
		"rate of zero":                {`"open_workspace":"w","workspaces":[`, `"open_workspace":"w","workspaces":[{"name":"z","rate":0,"burst":20},`, catalog.Invalid, "routes[1].workspaces[0].rate", "positive"},
		"body above its bound":        {`"prefix":"/signup/later/"`, `"prefix":"/signup/later/","max_body":67108865`, catalog.Invalid, "routes[2].max_body", "67108864"},
		"prefix of an earlier route":  {"/signup/later/", "/signup/", catalog.Invalid, "routes[2].prefix", `"signup"`},
		"prefix with a double slash":  {"/signup/later/", "/signup//later/", catalog.Unreachable, "routes[2].prefix", "/signup/later/"},
		"prefix with a dot element":   {"/signup/later/", "/signup/../later/", catalog.Unreachable, "routes[2].prefix", `"/later/"`},
		"prefix that is escaped":      {"/signup/later/", "/sign%20up/", catalog.Unreachable, "routes[2].prefix", `"/sign up/"`},
		"prefix with a query":         {"/signup/later/", "/signup?later=/", catalog.Unreachable, "routes[2].prefix", "query"},
		"route without workspaces":    {`"prefix":"/signup/later/","workspaces":[{"name":"w","keys":["` + hash + `"],"rate":1,"burst":20}]`, `"prefix":"/signup/later/"`, catalog.Unreachable, "routes[2]", `"later"`},
		"workspace without a key":     {`/later/","workspaces":[{"name":"w","keys":["` + hash + `"],`, `/later/","workspaces":[{"name":"w",`, catalog.Unreachable, "routes[2].workspaces[0]", "no keys"},
		"key listed twice":            {`["` + hash + `"]`, `["` + hash + `","` + hash + `"]`, catalog.Unreachable, "routes[0].workspaces[0].keys[1]", "twice"},
		"hash of an unset variable":   {`["` + hash + `"]`, `["` + hash + `","` + catalog.HashKey("") + `"]`, catalog.Unreachable, "routes[0].workspaces[0].keys[1]", "empty"},
		"hash of an empty line":       {`["` + hash + `"]`, `["` + hash + `","` + catalog.HashKey("\n") + `"]`, catalog.Unreachable, "routes[0].workspaces[0].keys[1]", "empty"},
		"pool without a route":        {`{"name":"s","kind"`, `{"name":"x","kind":"service","upstreams":[]},{"name":"s","kind"`, catalog.Unreachable, "pools[1]", `"x"`},
		"pool without upstreams":      {`[{"name":"u","address":"127.0.0.1:3","data_centre":"d"}]`, `[]`, catalog.Unreachable, "pools[1].upstreams", "refused"},
		"all upstreams leaving":       {`"127.0.0.1:3"`, `"127.0.0.1:3","leaving":true`, catalog.Unreachable, "pools[1].upstreams", "refused"},
		"last data centre disabled":   {`"kind":"service"`, `"kind":"service","disabled_data_centres":["d"]`, catalog.Unreachable, "pools[1].upstreams", "refused"},
		"data centre misspelt":        {`"kind":"service"`, `"kind":"service","disabled_data_centres":["D"]`, catalog.Unreachable, "pools[1].disabled_data_centres[0]", `"D"`},
		"model without a route":       {`"models":[{"name":"m"`, `"models":[{"name":"x","memory_mb":1},{"name":"m"`, catalog.Unreachable, "pools[0].models[0]", `"x"`},
		"model larger than an engine": {`"name":"a","base":"m","memory_mb":2`, `"name":"a","base":"m","memory_mb":3`, catalog.Contradiction, "pools[0].models[1].memory_mb", "11 MiB"},
		"engine listed twice":         {"127.0.0.1:2", "127.0.0.1:1", catalog.Contradiction, "pools[0].upstreams[1].address", `"u"`},
		"burst below default output":  {`"max_output":19`, `"max_output":20`, catalog.Contradiction, "routes[0].workspaces[0].burst", "21 tokens"},
		"burst below a service call":  {`"request_tokens":20`, `"request_tokens":21`, catalog.Contradiction, "routes[1].workspaces[0].burst", "21 tokens"},
		"timeout above the drain":     {`"prefix":"/signup/later/"`, `"prefix":"/signup/later/","timeout":"60.001s"`, catalog.Contradiction, "routes[2].timeout", "drain_timeout"},
		"timeout below the load time": {`"timeout":"30s"`, `"timeout":"29s"`, catalog.Contradiction, "routes[0].timeout", "29s"},
	} {
		t.Run(mistake, func(t *testing.T) {
			text := strings.Replace(soundTables, c.old, c.new, 1)
			if c.path != "" && text == soundTables {
				t.Fatalf("the tables do not contain %s", c.old)
			}
			tables := &catalog.Catalog{}
			if err := json.Unmarshal([]byte(text), tables); err != nil {
				t.Fatal(err)
			}
			tables.ApplyDefaults()
			got := tables.Findings(time.Minute)
			switch {
			case c.path == "":
				if len(got) > 0 {
					t.Errorf("got findings %v, want none", got)
				}
			case len(got) != 1 || got[0].Class != c.class || got[0].Path != c.path || !strings.Contains(got[0].Message, c.message):
				t.Errorf("got findings %v, want only one, of class %q at %s with %q", got, c.class, c.path, c.message)
			}
		})
	}
}
