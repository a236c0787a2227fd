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

// forbidden is what a decision must not reach: the network, files, the log, the process.
var forbidden = []string{"net", "os", "syscall", "log", "io/fs", "golang.org/x/sys", "github.com/rs/zerolog", "github.com/cloudwego"}

// faults lists what makes a file more than a decision.
func faults(f *ast.File) (list []string) {
	for _, i := range f.Imports {
		path, _ := strconv.Unquote(i.Path.Value)
		for _, bad := range forbidden {
			if path == bad || strings.HasPrefix(path, bad+"/") {
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

// TestDecisionsDoNoIO reads the source of every package below this one.
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
		for _, fault := range faults(f) {
			t.Errorf("%s %s", path, fault)
		}
		return nil
	})
	if err != nil || files < 2 {
		t.Errorf("%d files read: %v", files, err)
	}
}

func TestTheCheckOfDecisionsBites(t *testing.T) {
	for _, src := range []string{`import "net/http"`, `import "os"`, `import "golang.org/x/sys/unix"`, `func f() { go f() }`, `var x = time.Now()`, `func f() { time.Sleep(1) }`} {
		f, err := parser.ParseFile(token.NewFileSet(), "x.go", "package x\n"+src, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(faults(f)) != 1 {
			t.Errorf("%s is let through", src)
		}
	}
}
