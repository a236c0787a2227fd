package settings_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"cairnlane/internal/settings"
)

const root = "../.."

// described are the configurations of sites in this repository, and made those of the benches' made-up ones.
var (
	described = []string{"examples/config.json", "examples/images/config.json"}
	made      = "deploy/sites/*.toml"
)

// siteNames are the names of all classes and tenants of sites that the repository describes, and the windows of its keyed classes in
// milliseconds.
func siteNames(t *testing.T) (names map[string]string, windows map[int64]string) {
	t.Helper()
	names, windows = map[string]string{}, map[int64]string{}
	for _, path := range described {
		s, err := settings.Read(filepath.Join(root, path))
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range s.Lanes {
			names[l.Name] = path
			if l.Window > 0 {
				windows[l.Window/1000] = path
			}
		}
		for _, n := range s.Tenants {
			names[n.Name] = path
		}
	}
	files, err := filepath.Glob(filepath.Join(root, made))
	if err != nil || len(files) < 4 {
		t.Fatalf("%d site files, %v", len(files), err)
	}
	item := regexp.MustCompile(`(?m)^\[\[(?:class|tenant)\]\]\nname = "([^"]*)"`)
	for _, path := range files {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		found := item.FindAllStringSubmatch(string(raw), -1)
		if len(found) < 5 {
			t.Errorf("%s: %d names", path, len(found))
		}
		for _, m := range found {
			names[m[1]] = filepath.Base(path)
		}
	}
	return names, windows
}

// TestNoProgramNamesASite looks through the literals of every program, lab and example, tests apart, for names of a site's classes and
// tenants and for the windows of its keyed classes. Names of one word ("page") cannot be told from other uses of the word: those of several
// parts are looked for.
func TestNoProgramNamesASite(t *testing.T) {
	names, windows := siteNames(t)
	seen := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root, d.IsDir() && d.Name() == "journal":
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		seen++
		ast.Inspect(file, func(n ast.Node) bool {
			l, ok := n.(*ast.BasicLit)
			if !ok {
				return true
			}
			if site := siteOf(l, names, windows); site != "" {
				t.Errorf("%v: %s is of %s", set.Position(l.Pos()), l.Value, site)
			}
			return true
		})
		return nil
	})
	if err != nil || seen < 150 {
		t.Fatalf("%d files, %v", seen, err)
	}
}

// siteOf tells which site a literal is of, if it is of one.
func siteOf(l *ast.BasicLit, names map[string]string, windows map[int64]string) string {
	switch l.Kind {
	case token.INT:
		if v, err := strconv.ParseInt(l.Value, 0, 64); err == nil {
			return windows[v]
		}
	case token.STRING:
		text, err := strconv.Unquote(l.Value)
		if err != nil {
			return ""
		}
		for name, site := range names {
			if strings.Contains(name, "-") && strings.Contains(text, name) {
				return site
			}
		}
	}
	return ""
}
