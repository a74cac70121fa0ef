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
	root, err := hujson.Parse(bytes.Clone(source))
	if err != nil {
		return nil, syntaxError(err)
	}
	return &Text{source: source, root: root}, nil
}

// Decode fills the struct that into points to and returns an *Error for an unknown, repeated or wrong field.
func (t *Text) Decode(into any) error {
	if err := t.check(&t.root, reflect.TypeOf(into).Elem(), ""); err != nil {
		return err
	}
	plain := t.root.Clone()
	plain.Standardize()
	err := json.Unmarshal(plain.Pack(), into)
	if err == nil {
		return nil
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return t.failure(KindType, int(wrongType.Offset), wrongType.Field, errors.Errorf("%s is not a %s", wrongType.Value, wrongType.Type))
	}
	return t.failure(KindValue, 0, "", err)
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

func (t *Text) check(v *hujson.Value, want reflect.Type, path string) error {
	for want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	if reflect.PointerTo(want).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return t.checkText(v, want, path)
	}
	switch composite := v.Value.(type) {
	case *hujson.Object:
		return t.checkObject(composite, v.StartOffset, want, path)
	case *hujson.Array:
		if want.Kind() != reflect.Slice {
			return t.failure(KindType, v.StartOffset, path, errors.Errorf("an array is not a %s", want.Kind()))
		}
		for i := range composite.Elements {
			if err := t.check(&composite.Elements[i], want.Elem(), path+"["+strconv.Itoa(i)+"]"); err != nil {
				return err
			}
		}
		return nil
	default:
		return t.checkLiteral(v, want, path)
	}
}

func (t *Text) checkText(v *hujson.Value, want reflect.Type, path string) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return t.failure(KindType, v.StartOffset, path, errors.New("must be a string"))
	}
	value := reflect.New(want).Interface().(encoding.TextUnmarshaler)
	if err := value.UnmarshalText([]byte(literal.String())); err != nil {
		return t.failure(KindValue, v.StartOffset, path, err)
	}
	return nil
}

func (t *Text) checkObject(object *hujson.Object, offset int, want reflect.Type, path string) error {
	if want.Kind() != reflect.Struct {
		return t.failure(KindType, offset, path, errors.Errorf("an object is not a %s", want.Kind()))
	}
	seen := make(map[string]struct{}, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		inner := strings.TrimPrefix(path+"."+name, ".")
		if _, twice := seen[name]; twice {
			return t.failure(KindTwice, member.Name.StartOffset, inner, errors.New("field stands twice"))
		}
		seen[name] = struct{}{}
		field, ok := fieldByName(want, name)
		if !ok {
			return t.failure(KindUnknown, member.Name.StartOffset, inner, errors.New("unknown field"))
		}
		if err := t.check(&member.Value, field.Type, inner); err != nil {
			return err
		}
	}
	return nil
}

func (t *Text) checkLiteral(v *hujson.Value, want reflect.Type, path string) error {
	plain := v.Clone()
	plain.Standardize()
	text := bytes.TrimSpace(plain.Pack())
	if err := json.Unmarshal(text, reflect.New(want).Interface()); err != nil {
		return t.failure(KindType, v.StartOffset, path, errors.Errorf("%s is not a %s", text, want.Kind()))
	}
	return nil
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
