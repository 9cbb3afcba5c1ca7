package command_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/admin"
	"github.com/hibiscusyard/hibiscusyard/command"
	"github.com/hibiscusyard/hibiscusyard/decision/catalog"
	"github.com/hibiscusyard/hibiscusyard/plumbing/cli"
)

// fixedTables is a store of one version of the tables.
type fixedTables struct {
	admin.Tables
	index *catalog.Index
}

func (f fixedTables) Stored() *catalog.Index  { return f.index }
func (f fixedTables) Refresh(context.Context) {}

// Guards against a comparison with another table or version than the one that an
// instance has in force, and against differences that are taken for findings.
func TestCheckAgainstInstance(t *testing.T) {
	inForce := &catalog.Catalog{Version: 7, Pools: []catalog.Pool{{
		Name: "booking", Kind: catalog.Service,
		Upstreams: []catalog.Upstream{{Name: "b1", Address: "127.0.0.1:9", DataCentre: "east"}},
	}}}
	inForce.ApplyDefaults()
	api := &admin.Server{Tables: fixedTables{index: catalog.NewIndex(inForce, "")}, TokenHash: catalog.HashKey("token")}
	server := httptest.NewServer(api.Handler())
	defer server.Close()

	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	routes := write("routes.json", `{"routes":[{"name":"signup","pool":"booking","prefix":"/signup/","open":true,"open_workspace":"w",
		"workspaces":[{"name":"w","rate":1,"burst":1}]}]}`)
	pools := write("pools.json", `{"pools":[{"name":"booking","kind":"service","upstreams":[{"name":"b1","address":"127.0.0.1:9","data_centre":"east"}]}]}`)
	check := func(token string) (code int, stdout, stderr string) {
		var out, errs bytes.Buffer
		code = command.Main([]string{"check", "--routes", routes, "--pools", pools, "--against", server.URL, "--token-file", write("token", token)}, &out, &errs)
		return code, out.String(), errs.String()
	}
	code, out, errs := check("token")
	if code != cli.ExitOK || !strings.HasPrefix(out, "routes against version 7\n+ signup\n") || !strings.HasSuffix(out, "pools against version 7\nno difference\n") {
		t.Errorf("got exit code %d, output %q and errors %q, want 0, a new route and equal pools", code, out, errs)
	}
	if code, _, errs := check("wrong"); code != cli.ExitUsage || !strings.Contains(errs, "token") {
		t.Errorf("wrong token: got exit code %d and errors %q, want %d", code, errs, cli.ExitUsage)
	}
}
