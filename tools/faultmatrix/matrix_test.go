package faultmatrix_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/hibiscusyard/hibiscusyard/tools/faultmatrix"
)

// Guards against a cell that names a test that does not exist.
func TestNamedTestsExist(t *testing.T) {
	for _, test := range faultmatrix.Tests() {
		files, err := filepath.Glob(filepath.Join("..", "..", faultmatrix.Directory(test.Package()), "*_test.go"))
		if err != nil {
			t.Fatal(err)
		}
		found := false
		for _, file := range files {
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			found = found || bytes.Contains(source, []byte("func "+test.Name()+"("))
		}
		if !found {
			t.Errorf("%s is named in the matrix but does not exist", test)
		}
	}
}

// Guards against a page that differs from the matrix in the source.
func TestPageIsCurrent(t *testing.T) {
	var want bytes.Buffer
	faultmatrix.Write(&want)
	got, err := os.ReadFile("../../docs/fault-matrix.md")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want.Bytes()) {
		t.Error("docs/fault-matrix.md is out of date: run go run ./cmd/matrix --page > docs/fault-matrix.md")
	}
}
