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

const repositoryRoot = "../.."

// siteConfigs are the replica configurations of sites in this repository, and generatedSites the files of the made-up
// sites of the benchmarks.
var (
	siteConfigs    = []string{"examples/config.json", "examples/images/config.json"}
	generatedSites = "deploy/sites/*.toml"
)

// siteNames returns the names of all classes and tenants of the repository's sites, and the dedup windows of their keyed
// classes in milliseconds, each with the file that contains it.
func siteNames(t *testing.T) (names map[string]string, windows map[int64]string) {
	t.Helper()
	names, windows = map[string]string{}, map[int64]string{}
	for _, path := range siteConfigs {
		s, err := settings.Read(filepath.Join(repositoryRoot, path))
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
	files, err := filepath.Glob(filepath.Join(repositoryRoot, generatedSites))
	if err != nil || len(files) < 4 {
		t.Fatalf("%d site files, %v", len(files), err)
	}
	namePattern := regexp.MustCompile(`(?m)^\[\[(?:class|tenant)\]\]\nname = "([^"]*)"`)
	for _, path := range files {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		found := namePattern.FindAllStringSubmatch(string(raw), -1)
		if len(found) < 5 {
			t.Errorf("%s: %d names", path, len(found))
		}
		for _, m := range found {
			names[m[1]] = filepath.Base(path)
		}
	}
	return names, windows
}

// TestNoProgramContainsSiteNames searches the literals of all source files except tests for the names of sites' classes and
// tenants and for the windows of keyed classes. Only names with a hyphen are searched for, as names of one word ("page") cannot
// be distinguished from other uses of the word.
func TestNoProgramContainsSiteNames(t *testing.T) {
	names, windows := siteNames(t)
	files := 0
	err := filepath.WalkDir(repositoryRoot, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != repositoryRoot, d.IsDir() && d.Name() == "journal":
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		files++
		ast.Inspect(file, func(n ast.Node) bool {
			l, ok := n.(*ast.BasicLit)
			if !ok {
				return true
			}
			if site := siteOf(l, names, windows); site != "" {
				t.Errorf("%v: the literal %s belongs to site %s", set.Position(l.Pos()), l.Value, site)
			}
			return true
		})
		return nil
	})
	if err != nil || files < 150 {
		t.Fatalf("%d files, %v", files, err)
	}
}

// siteOf returns the site that a literal belongs to, or an empty string.
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
