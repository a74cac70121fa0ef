package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Parse reads a whole document written as JSON with comments, or returns an *Error.
func Parse(text []byte) (*Document, error) {
	d := new(Document)
	if err := decode("parse document", text, "", d); err != nil {
		return nil, err
	}
	return d, nil
}

// ParseSection reads one section written as JSON with comments and returns its canonical JSON, or an *Error.
func ParseSection(section Section, text []byte) ([]byte, error) {
	d := new(Document)
	target := d.field(section)
	if target == nil {
		return nil, unknownSection("parse section", section)
	}
	if err := decode("parse section", text, string(section), target); err != nil {
		return nil, err
	}
	return d.Body(section)
}

// Fills target, a pointer, from text; path names the text's place in the document.
func decode(op string, text []byte, path string, target any) error {
	text = append(bytes.Clone(text), '\n') // the parser wants a line break after a closing comment
	root, err := hujson.Parse(text)
	if err != nil {
		return syntaxError(op, err)
	}
	w := walker{op: op, text: text}
	if err := w.value(root, reflect.TypeOf(target).Elem(), path); err != nil {
		return err
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), target); err != nil {
		return &Error{Op: op, Kind: KindField, Path: path, Err: errors.WithStack(err)}
	}
	return nil
}

func syntaxError(op string, err error) *Error {
	e := &Error{Op: op, Kind: KindSyntax, Err: errors.WithStack(err)}
	var line, column int
	if _, scan := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scan == nil {
		e.Line, e.Column = line, column
		if cause := errors.Unwrap(err); cause != nil {
			e.Err = errors.WithStack(cause)
		}
	}
	return e
}

// Compares a syntax tree with the type it will be decoded into, so that faults carry their position.
type walker struct {
	op   string
	text []byte
}

var textType = reflect.TypeFor[interface{ UnmarshalText([]byte) error }]()

func (w *walker) value(v hujson.Value, t reflect.Type, path string) error {
	if reflect.PointerTo(t).Implements(textType) {
		return w.literal(v, t, path)
	}
	switch t.Kind() {
	case reflect.Struct:
		return w.object(v, t, path)
	case reflect.Slice:
		return w.array(v, t, path)
	default:
		return w.literal(v, t, path)
	}
}

func (w *walker) object(v hujson.Value, t reflect.Type, path string) error {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return w.fault(v, path, errors.New("must be an object"))
	}
	seen := make(map[string]bool, len(object.Members))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		field, ok := fieldNamed(t, name)
		if !ok {
			return w.fault(member.Name, at, errors.New("unknown field"))
		}
		if seen[name] {
			return w.fault(member.Name, at, errors.New("field is given twice"))
		}
		seen[name] = true
		if err := w.value(member.Value, field.Type, at); err != nil {
			return err
		}
	}
	return nil
}

func (w *walker) array(v hujson.Value, t reflect.Type, path string) error {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		return w.fault(v, path, errors.New("must be an array"))
	}
	for i, element := range array.Elements {
		if err := w.value(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

func (w *walker) literal(v hujson.Value, t reflect.Type, path string) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		return w.fault(v, path, errors.Errorf("must be a %s", typeName(t)))
	}
	if err := json.Unmarshal(literal, reflect.New(t).Interface()); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			err = errors.Errorf("must be a %s", typeName(t))
		}
		return w.fault(v, path, err)
	}
	return nil
}

func (w *walker) fault(v hujson.Value, path string, err error) error {
	before := w.text[:min(v.StartOffset, len(w.text))]
	return &Error{
		Op: w.op, Kind: KindField, Path: path, Err: err,
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
	}
}

func fieldNamed(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		tag, _, _ := bytes.Cut([]byte(t.Field(i).Tag.Get("json")), []byte(","))
		if string(tag) == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return `duration such as "30s"`
	case t.Kind() == reflect.String:
		return "string"
	case t.Kind() == reflect.Float64:
		return "number"
	case t.Kind() == reflect.Bool:
		return "boolean"
	default:
		return "whole number"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
