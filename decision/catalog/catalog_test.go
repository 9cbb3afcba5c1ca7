package catalog_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
)

var hash = catalog.HashKey("key")

var valid = fmt.Sprintf(`{"version":1,
 "pools":[
  {"name":"e","kind":"engine","upstreams":[{"name":"u","address":"127.0.0.1:1","data_centre":"d","memory_mb":10}],
   "models":[{"name":"m","memory_mb":1},{"name":"a","base":"m","memory_mb":1}]},
  {"name":"s","kind":"service","upstreams":[{"name":"u","address":"127.0.0.1:2","data_centre":"d"}]}],
 "routes":[
  {"name":"chat","pool":"e","models":["m","a"],"workspaces":[{"name":"w","keys":[%q],"rate":1,"burst":2}]},
  {"name":"signup","pool":"s","prefix":"/signup/","workspaces":[{"name":"w","rate":1,"burst":2}]}]}`, hash)

// Guards against accepting tables that contradict each other.
func TestValidate(t *testing.T) {
	for name, c := range map[string]struct{ old, new, path string }{
		"valid":                       {"", "", ""},
		"pool missing":                {`"pool":"s"`, `"pool":"x"`, "routes[1].pool"},
		"duplicate model":             {`"models":["m","a"]`, `"models":["m","m"]`, "routes[0].models[1]"},
		"model not in pool":           {`"models":["m","a"]`, `"models":["x"]`, "routes[0].models[0]"},
		"prefix covers the model API": {"/signup/", "/v1/", "routes[1].prefix"},
		"rates of a workspace differ": {`{"name":"w","rate":1,"burst":2}`, `{"name":"w","rate":9,"burst":2}`, "routes[1].workspaces[0]"},
		"plain-text key":              {hash, "key", "routes[0].workspaces[0].keys[0]"},
		"base missing":                {`"base":"m"`, `"base":"x"`, "pools[0].models[1].base"},
		"host name":                   {"127.0.0.1:1", "engine:1", "pools[0].upstreams[0].address"},
		"no memory":                   {`"memory_mb":10`, `"memory_mb":0`, "pools[0].upstreams[0].memory_mb"},
		"open without workspace":      {`"prefix":"/signup/"`, `"prefix":"/signup/","open":true`, "routes[1].open_workspace"},
		"timeout too long":            {`"prefix":"/signup/"`, `"prefix":"/signup/","timeout":"2h"`, "routes[1].timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := catalog.Load([]byte(strings.Replace(valid, c.old, c.new, 1)))
			fields, _ := catalog.AsErrors(err)
			switch {
			case c.path == "" && err != nil:
				t.Errorf("valid tables: got error %v, want none", err)
			case c.path != "" && (len(fields) == 0 || fields[0].Path != c.path):
				t.Errorf("got errors %v, want the first at %s", err, c.path)
			}
		})
	}
}

// Guards against a key that gives access to a route whose workspace entry does
// not list it, and against leaving marks that are lost or change the original
// index.
func TestKeysOpenOnlyTheirRoutes(t *testing.T) {
	c, err := catalog.Load([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	x := catalog.NewIndex(c, "")
	if !x.Allows(x.ModelRoute("m"), hash) || x.Allows(x.ServiceRoute("/signup/x"), hash) || x.Allows(x.ModelRoute("m"), "") {
		t.Error("the key does not give access to exactly the route that lists it")
	}
	marked := x.WithLeaving(map[string]bool{"127.0.0.1:2": true})
	if !marked.Pool("s").Upstreams[0].Leaving || x.Pool("s").Upstreams[0].Leaving || marked.Pool("e").Upstreams[0].Leaving {
		t.Error("the leaving mark is missing, is on another upstream or changed the original index")
	}
}

// Guards against a panic on malformed tables, and against accepted tables that
// are refused or changed when decoded again.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"routes":[{"open":true}],"pools":[{"models":[{}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := catalog.Load(data)
		if err != nil {
			return
		}
		first, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := catalog.Load(first)
		if err != nil {
			t.Fatalf("decode of encoded valid tables: %v", err)
		}
		if second, _ := again.Encode(); !bytes.Equal(first, second) {
			t.Error("tables changed after encoding and decoding")
		}
		catalog.NewIndex(c, "").ServiceRoute("/x/")
		for _, f := range c.Findings(0) {
			if f.Class == catalog.Invalid {
				t.Errorf("valid tables: got finding %v", f)
			}
		}
	})
}
