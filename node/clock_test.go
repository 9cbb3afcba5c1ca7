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

// Guards against decisions by the time of day, which may jump by seconds on some
// machines: packages of decisions read no clock at all, apart from the runner of
// a lease, and those around them read the time of day only as a steady time,
// never as a date or a Unix time.
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
				owner, _ := selector.X.(*ast.Ident)
				inner, _ := selector.X.(*ast.CallExpr)
				switch {
				case owner != nil && owner.Name == "time" && selector.Sel.Name == "Now" && !clockAllowed && filepath.Base(path) != "runner.go":
					t.Errorf("%s reads a clock", set.Position(call.Pos()))
				case inner != nil && wallClock[selector.Sel.Name] && callsTimeNow(inner):
					t.Errorf("%s uses the time of day", set.Position(call.Pos()))
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
	owner, ok := selector.X.(*ast.Ident)
	return ok && owner.Name == "time"
}
