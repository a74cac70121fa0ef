package eventlog

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	sourceRoot = "../.."
	eventsPage = "../../docs/events.md"
)

// events maps each event to the names of its fields.
type events map[string]map[string]bool

func (e events) add(event, field string) {
	if e[event] == nil {
		e[event] = make(map[string]bool)
	}
	if field != "" {
		e[event][field] = true
	}
}

func (e events) lines() []string {
	var lines []string
	for event, fields := range e {
		var names []string
		for name := range fields {
			names = append(names, name)
		}
		slices.Sort(names)
		lines = append(lines, event+": "+strings.Join(names, ", "))
	}
	slices.Sort(lines)
	return lines
}

// literal returns the value of an expression that is a string literal. For a concatenation that starts with one, it
// returns that literal followed by "*".
func literal(e ast.Expr) (string, bool) {
	switch e := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(e.Value)
		return text, err == nil && e.Kind == token.STRING
	case *ast.BinaryExpr:
		text, ok := literal(e.X)
		return text + "*", ok
	}
	return "", false
}

// fieldOf returns the name of the log field that a call such as slog.String(name, value) creates.
func fieldOf(c *ast.CallExpr) (string, bool) {
	selector, ok := c.Fun.(*ast.SelectorExpr)
	if !ok || len(c.Args) != 2 {
		return "", false
	}
	pkg, ok := selector.X.(*ast.Ident)
	if !ok || pkg.Name != "slog" && pkg.Name != "eventlog" {
		return "", false
	}
	return literal(c.Args[0])
}

// wrappers maps the name of each function that passes fields of its callers on to an event to the name of that event.
type wrappers map[string]string

// add adds f if it is variadic and writes an event.
func (w wrappers) add(f *ast.FuncDecl) {
	params := f.Type.Params.List
	if len(params) == 0 {
		return
	}
	if _, variadic := params[len(params)-1].Type.(*ast.Ellipsis); !variadic {
		return
	}
	ast.Inspect(f.Body, func(n ast.Node) bool {
		if c, ok := n.(*ast.CallExpr); ok {
			if event, ok := eventOf(c, nil); ok {
				w[f.Name.Name] = event
			}
		}
		return true
	})
}

// eventOf returns the name of the event that a call writes, directly or through a wrapper.
func eventOf(c *ast.CallExpr, w wrappers) (string, bool) {
	selector, ok := c.Fun.(*ast.SelectorExpr)
	if !ok || len(c.Args) == 0 {
		return "", false
	}
	if event, ok := w[selector.Sel.Name]; ok {
		return event, true
	}
	if selector.Sel.Name != "Event" && selector.Sel.Name != "Warn" {
		return "", false
	}
	event, ok := literal(c.Args[0])
	return event, ok && !strings.Contains(event, " ")
}

// scan adds the events that one function writes to found. The fields of an event are those created in the arguments of
// its call, and all fields created in the function if the call is given a slice of fields.
func scan(body ast.Node, w wrappers, found events) {
	var all []string
	ast.Inspect(body, func(n ast.Node) bool {
		if c, ok := n.(*ast.CallExpr); ok {
			if name, ok := fieldOf(c); ok {
				all = append(all, name)
			}
		}
		return true
	})
	ast.Inspect(body, func(n ast.Node) bool {
		c, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		event, ok := eventOf(c, w)
		if !ok {
			return true
		}
		found.add(event, "")
		for _, arg := range c.Args {
			if call, ok := arg.(*ast.CallExpr); ok {
				if name, ok := fieldOf(call); ok {
					found.add(event, name)
				}
			}
		}
		if c.Ellipsis != token.NoPos {
			for _, name := range all {
				found.add(event, name)
			}
		}
		return true
	})
}

// eventsInCode returns the events that the sources under internal write.
func eventsInCode(t *testing.T) events {
	t.Helper()
	var functions []*ast.FuncDecl
	wrapping := make(wrappers)
	err := filepath.WalkDir(filepath.Join(sourceRoot, "internal"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, decl := range file.Decls {
			if f, ok := decl.(*ast.FuncDecl); ok && f.Body != nil {
				functions = append(functions, f)
				wrapping.add(f)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	found := make(events)
	for _, f := range functions {
		scan(f.Body, wrapping, found)
	}
	return found
}

// row matches a row of the table of events: the event, its meaning and its fields.
var row = regexp.MustCompile("^\\| `([a-z_*]+)` \\|[^|]*\\|([^|]*)\\|$")

// eventsOnPage returns the events that the documentation page lists.
func eventsOnPage(t *testing.T) events {
	t.Helper()
	page, err := os.ReadFile(eventsPage)
	if err != nil {
		t.Fatal(err)
	}
	found := make(events)
	for line := range strings.SplitSeq(string(page), "\n") {
		match := row.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		found.add(match[1], "")
		for _, name := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(match[2], -1) {
			found.add(match[1], name[1])
		}
	}
	return found
}

func TestPageListsAllEvents(t *testing.T) {
	inCode, onPage := eventsInCode(t).lines(), eventsOnPage(t).lines()
	for _, line := range inCode {
		if !slices.Contains(onPage, line) {
			t.Errorf("not on the page: %s", line)
		}
	}
	for _, line := range onPage {
		if !slices.Contains(inCode, line) {
			t.Errorf("not in the code: %s", line)
		}
	}
	if len(inCode) == 0 {
		t.Errorf("no events under %s", sourceRoot)
	}
}
