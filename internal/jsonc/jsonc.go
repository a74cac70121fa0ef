package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindSyntax  Kind = "syntax"
	KindUnknown Kind = "unknown_field"
	KindTwice   Kind = "duplicate_field"
	KindType    Kind = "wrong_type"
	KindValue   Kind = "wrong_value"
)

// Error is a mistake in a text, with its place; Line and Column count from 1.
type Error struct {
	Op     string
	Kind   Kind
	Line   int
	Column int
	Path   string
	Err    error
}

// Error returns the place, the field's path and the mistake in one line.
func (e *Error) Error() string {
	place := fmt.Sprintf("line %d, column %d", e.Line, e.Column)
	if e.Path != "" {
		place += ": " + e.Path
	}
	return place + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Text is a parsed text that finds the places of its fields.
type Text struct {
	source []byte
	root   hujson.Value
}

// Parse reads JSON with comments and trailing commas, or returns an *Error of KindSyntax.
func Parse(source []byte) (*Text, error) {
	// The parser wants a line break after a closing comment.
	root, err := hujson.Parse(append(bytes.Clone(source), '\n'))
	if err != nil {
		return nil, syntaxError(err)
	}
	return &Text{source: source, root: root}, nil
}

// Decode fills what into points to and returns an *Error for an unknown, repeated or wrong field.
func (t *Text) Decode(into any) error { return t.DecodeAt("", into) }

// DecodeAt is Decode for a text that stands at a path of a larger one, which its errors tell.
func (t *Text) DecodeAt(path string, into any) error {
	if err := t.check(&t.root, reflect.TypeOf(into).Elem(), path); err != nil {
		return err
	}
	plain := t.root.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), into); err != nil {
		return t.failure(KindValue, 0, path, errors.WithStack(err))
	}
	return nil
}

// Mistake returns an *Error of KindValue at the field with the given path, such as "peers.seeds[1]".
func (t *Text) Mistake(path string, cause error) *Error {
	return t.failure(KindValue, t.offset(path), path, cause)
}

// Bytes returns the plain JSON of the field with the given path, or nil when it is absent.
func (t *Text) Bytes(path string) []byte {
	v := t.root.Find(pointer(path))
	if v == nil {
		return nil
	}
	plain := v.Clone()
	plain.Standardize()
	return bytes.TrimSpace(plain.Pack())
}

func (t *Text) failure(kind Kind, offset int, path string, cause error) *Error {
	line, column := place(t.source, offset)
	return &Error{Op: "decode", Kind: kind, Line: line, Column: column, Path: path, Err: cause}
}

// Finds the nearest field on the path that the text has, so that an absent field points at its parent.
func (t *Text) offset(path string) int {
	at := pointer(path)
	for {
		if v := t.root.Find(at); v != nil {
			return v.StartOffset
		}
		cut := strings.LastIndexByte(at, '/')
		if cut < 0 {
			return 0
		}
		at = at[:cut]
	}
}

// Compares a part of the syntax tree with the type it will be decoded into, so that mistakes carry their place.
func (t *Text) check(v *hujson.Value, want reflect.Type, path string) error {
	switch {
	case reflect.PointerTo(want).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()):
		return t.checkLiteral(v, want, path)
	case want.Kind() == reflect.Struct:
		return t.checkObject(v, want, path)
	case want.Kind() == reflect.Slice:
		return t.checkArray(v, want, path)
	default:
		return t.checkLiteral(v, want, path)
	}
}

func (t *Text) checkArray(v *hujson.Value, want reflect.Type, path string) error {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		return t.failure(KindType, v.StartOffset, path, errors.New("must be an array"))
	}
	for i := range array.Elements {
		if err := t.check(&array.Elements[i], want.Elem(), path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	return nil
}

func (t *Text) checkObject(v *hujson.Value, want reflect.Type, path string) error {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return t.failure(KindType, v.StartOffset, path, errors.New("must be an object"))
	}
	seen := make(map[string]struct{}, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		inner := strings.TrimPrefix(path+"."+name, ".")
		field, ok := fieldByName(want, name)
		if !ok {
			return t.failure(KindUnknown, member.Name.StartOffset, inner, errors.New("unknown field"))
		}
		if _, twice := seen[name]; twice {
			return t.failure(KindTwice, member.Name.StartOffset, inner, errors.New("field is given twice"))
		}
		seen[name] = struct{}{}
		if err := t.check(&member.Value, field.Type, inner); err != nil {
			return err
		}
	}
	return nil
}

func (t *Text) checkLiteral(v *hujson.Value, want reflect.Type, path string) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		return t.failure(KindType, v.StartOffset, path, errors.Errorf("must be a %s", typeName(want)))
	}
	err := json.Unmarshal(literal, reflect.New(want).Interface())
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wrongType):
		return t.failure(KindType, v.StartOffset, path, errors.Errorf("must be a %s", typeName(want)))
	default:
		return t.failure(KindValue, v.StartOffset, path, err)
	}
}

func typeName(t reflect.Type) string {
	switch {
	case t.Kind() == reflect.Int64 && reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()):
		return `duration such as "30s"`
	case t.Kind() == reflect.String, t.Kind() == reflect.Struct:
		return "string"
	case t.Kind() == reflect.Float64:
		return "number"
	case t.Kind() == reflect.Bool:
		return "boolean"
	default:
		return "whole number"
	}
}

func fieldByName(of reflect.Type, name string) (reflect.StructField, bool) {
	for i := range of.NumField() {
		field := of.Field(i)
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if tag == name && tag != "-" && tag != "" {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

// Turns "peers.seeds[1]" into the JSON pointer "/peers/seeds/1".
func pointer(path string) string {
	if path == "" {
		return ""
	}
	return "/" + strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(path)
}

func place(source []byte, offset int) (line, column int) {
	offset = min(offset, len(source))
	before := source[:offset]
	line = 1 + bytes.Count(before, []byte{'\n'})
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}

// The parser's message begins with "hujson: line L, column C: ".
func syntaxError(err error) *Error {
	e := &Error{Op: "parse", Kind: KindSyntax, Line: 1, Column: 1, Err: err}
	var line, column int
	rest := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(rest, "line %d, column %d:", &line, &column); scanErr != nil {
		return e
	}
	e.Line, e.Column = line, column
	if _, cause, ok := strings.Cut(rest, ": "); ok {
		e.Err = errors.New(cause)
	}
	return e
}
