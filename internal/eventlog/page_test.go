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

// literal returns the value of a string constant at the start of an expression.
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

// fieldOf returns the name of the field that a call makes.
func fieldOf(c *ast.CallExpr) (string, bool) {
	selector, ok := c.Fun.(*ast.SelectorExpr)
	if !ok || len(c.Args) != 2 {
		return "", false
	}
	from, ok := selector.X.(*ast.Ident)
	if !ok || from.Name != "slog" && from.Name != "eventlog" {
		return "", false
	}
	return literal(c.Args[0])
}

// wrappers maps functions that add fields to those of their callers to the event that they write.
type wrappers map[string]string

// note takes f in if it has a list of fields as its last parameter and writes an event.
func (w wrappers) note(f *ast.FuncDecl) {
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

// eventOf returns the event that a call writes, by itself or through a wrapper.
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

// scan collects the events of one function: the fields of a call's arguments, or all of the function's if the call
// takes a list.
func scan(body ast.Node, w wrappers, into events) {
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
		into.add(event, "")
		for _, arg := range c.Args {
			if made, ok := arg.(*ast.CallExpr); ok {
				if name, ok := fieldOf(made); ok {
					into.add(event, name)
				}
			}
		}
		if c.Ellipsis != token.NoPos {
			for _, name := range all {
				into.add(event, name)
			}
		}
		return true
	})
}

// written returns the events of the sources that log through this package.
func written(t *testing.T) events {
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
				wrapping.note(f)
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

var row = regexp.MustCompile("^\\| `([a-z_*]+)` \\|[^|]*\\|([^|]*)\\|$")

// listed returns the events of the page.
func listed(t *testing.T) events {
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
	inCode, onPage := written(t).lines(), listed(t).lines()
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
