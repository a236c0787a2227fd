package decide

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// forbidden lists the imports that decision packages must not use: network, files, log, process.
var forbidden = []string{"net", "os", "syscall", "log", "io/fs", "golang.org/x/sys", "github.com/rs/zerolog", "github.com/cloudwego"}

// violations returns what the file does beyond pure decisions: forbidden imports, goroutines, uses of the clock.
func violations(f *ast.File) (list []string) {
	for _, i := range f.Imports {
		path, _ := strconv.Unquote(i.Path.Value)
		for _, banned := range forbidden {
			if path == banned || strings.HasPrefix(path, banned+"/") {
				list = append(list, "imports "+path)
			}
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			list = append(list, "starts a goroutine")
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" {
				switch n.Sel.Name {
				case "Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick":
					list = append(list, "calls time."+n.Sel.Name)
				}
			}
		}
		return true
	})
	return list
}

// TestDecisionsDoNoIO checks the source of every package below this folder.
func TestDecisionsDoNoIO(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		files++
		for _, fault := range violations(f) {
			t.Errorf("%s %s", path, fault)
		}
		return nil
	})
	if err != nil || files < 2 {
		t.Errorf("%d files read: %v", files, err)
	}
}

func TestViolationsAreDetected(t *testing.T) {
	for _, src := range []string{`import "net/http"`, `import "os"`, `import "golang.org/x/sys/unix"`, `func f() { go f() }`, `var x = time.Now()`, `func f() { time.Sleep(1) }`} {
		f, err := parser.ParseFile(token.NewFileSet(), "x.go", "package x\n"+src, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(violations(f)) != 1 {
			t.Errorf("%s: want one violation", src)
		}
	}
}
