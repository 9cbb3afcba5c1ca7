package node

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against decisions based on the wall clock, which may jump by seconds on
// some machines. Decision packages read no clock, except runner.go of the lease;
// the packages around them use only monotonic time, never dates or Unix times.
func TestNothingDecidesByTheTimeOfDay(t *testing.T) {
	wallClock := map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true, "Round": true, "Truncate": true, "UTC": true}
	for folder, clockAllowed := range map[string]bool{
		"../decision": false, "../coordinator": true, "../gateway": true, "../node": true, "../platform": true,
		"../plumbing/connpool": true, "../plumbing/peer": true, "../plumbing/request": true,
	} {
		err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "placementtest") {
				return err
			}
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok {
					return true
				}
				selector, ok := call.Fun.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				ident, _ := selector.X.(*ast.Ident)
				innerCall, _ := selector.X.(*ast.CallExpr)
				switch {
				case ident != nil && ident.Name == "time" && selector.Sel.Name == "Now" && !clockAllowed && filepath.Base(path) != "runner.go":
					t.Errorf("%s reads a clock", set.Position(call.Pos()))
				case innerCall != nil && wallClock[selector.Sel.Name] && callsTimeNow(innerCall):
					t.Errorf("%s uses the wall clock", set.Position(call.Pos()))
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func callsTimeNow(call *ast.CallExpr) bool {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != "Now" {
		return false
	}
	ident, ok := selector.X.(*ast.Ident)
	return ok && ident.Name == "time"
}
