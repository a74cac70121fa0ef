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

// Kinds of errors of this package.
const (
	KindSyntax       Kind = "syntax"          // the text is not JSON with comments
	KindUnknownField Kind = "unknown_field"   // the struct has no field of this name
	KindDuplicate    Kind = "duplicate_field" // an object has two fields of this name
	KindType         Kind = "wrong_type"      // the JSON type of a value does not match the Go type
	KindValue        Kind = "wrong_value"     // a value of the right type is not valid
)

// Error is an error in a text and its position. Line and Column count from 1; columns are counted in bytes. Path is the
// path of the field, such as "peers.seeds[1]", and is empty if the error concerns the whole text.
type Error struct {
	Op     string
	Kind   Kind
	Line   int
	Column int
	Path   string
	Err    error
}

// Error returns the position, the path of the field and the cause in one line.
func (e *Error) Error() string {
	position := fmt.Sprintf("line %d, column %d", e.Line, e.Column)
	if e.Path != "" {
		position += ": " + e.Path
	}
	return position + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Text is a parsed text that knows the positions of its fields.
type Text struct {
	source []byte
	root   hujson.Value // with offsets in source
}

// Parse parses JSON with comments and trailing commas. It returns an *Error of KindSyntax if that fails.
func Parse(source []byte) (*Text, error) {
	// hujson requires a line break after a comment at the end.
	root, err := hujson.Parse(append(bytes.Clone(source), '\n'))
	if err != nil {
		return nil, syntaxError(err)
	}
	return &Text{source: source, root: root}, nil
}

// Decode decodes the text into the struct that into points to. It returns an *Error for the first field that is
// unknown, duplicate, or of a wrong type or value.
func (t *Text) Decode(into any) error { return t.DecodeAt("", into) }

// DecodeAt is like Decode for a text that is the value at the given path of a larger text. The paths in its errors
// begin with path; lines and columns are those of this text.
func (t *Text) DecodeAt(path string, into any) error {
	if err := t.check(&t.root, reflect.TypeOf(into).Elem(), path); err != nil {
		return err
	}
	standard := t.root.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), into); err != nil {
		return t.errorAt(KindValue, 0, path, errors.WithStack(err))
	}
	return nil
}

// FieldError returns an *Error of KindValue at the field with the given path, such as "peers.seeds[1]". If the text
// does not contain the field, the position is that of its nearest parent.
func (t *Text) FieldError(path string, cause error) *Error {
	return t.errorAt(KindValue, t.offset(path), path, cause)
}

// Bytes returns the value of the field with the given path as standard JSON, or nil if the field is absent.
func (t *Text) Bytes(path string) []byte {
	v := t.root.Find(jsonPointer(path))
	if v == nil {
		return nil
	}
	standard := v.Clone()
	standard.Standardize()
	return bytes.TrimSpace(standard.Pack())
}

// errorAt returns an *Error at the given byte offset.
func (t *Text) errorAt(kind Kind, offset int, path string, cause error) *Error {
	line, column := lineAndColumn(t.source, offset)
	return &Error{Op: "decode", Kind: kind, Line: line, Column: column, Path: path, Err: cause}
}

// offset returns the byte offset of the field with the given path, or that of its nearest parent if the field is
// absent.
func (t *Text) offset(path string) int {
	ptr := jsonPointer(path)
	for {
		if v := t.root.Find(ptr); v != nil {
			return v.StartOffset
		}
		slash := strings.LastIndexByte(ptr, '/')
		if slash < 0 {
			return 0
		}
		ptr = ptr[:slash]
	}
}

// check compares a part of the syntax tree with the type that it will be decoded into. It finds errors before
// json.Unmarshal does, since the errors of json.Unmarshal do not contain a line and column.
func (t *Text) check(v *hujson.Value, target reflect.Type, path string) error {
	switch {
	case reflect.PointerTo(target).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()):
		return t.checkLiteral(v, target, path)
	case target.Kind() == reflect.Struct:
		return t.checkObject(v, target, path)
	case target.Kind() == reflect.Slice:
		return t.checkArray(v, target, path)
	default:
		return t.checkLiteral(v, target, path)
	}
}

func (t *Text) checkArray(v *hujson.Value, target reflect.Type, path string) error {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		return t.errorAt(KindType, v.StartOffset, path, errors.New("must be an array"))
	}
	for i := range array.Elements {
		if err := t.check(&array.Elements[i], target.Elem(), path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	return nil
}

func (t *Text) checkObject(v *hujson.Value, target reflect.Type, path string) error {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return t.errorAt(KindType, v.StartOffset, path, errors.New("must be an object"))
	}
	seen := make(map[string]struct{}, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		field, ok := fieldByName(target, name)
		if !ok {
			return t.errorAt(KindUnknownField, member.Name.StartOffset, fieldPath, errors.New("unknown field"))
		}
		if _, duplicate := seen[name]; duplicate {
			return t.errorAt(KindDuplicate, member.Name.StartOffset, fieldPath, errors.New("field is given twice"))
		}
		seen[name] = struct{}{}
		if err := t.check(&member.Value, field.Type, fieldPath); err != nil {
			return err
		}
	}
	return nil
}

func (t *Text) checkLiteral(v *hujson.Value, target reflect.Type, path string) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		return t.errorAt(KindType, v.StartOffset, path, errors.Errorf("must be a %s", typeName(target)))
	}
	err := json.Unmarshal(literal, reflect.New(target).Interface())
	var typeError *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typeError):
		return t.errorAt(KindType, v.StartOffset, path, errors.Errorf("must be a %s", typeName(target)))
	default:
		return t.errorAt(KindValue, v.StartOffset, path, err)
	}
}

// typeName returns the name that error messages use for the JSON values that can be decoded into t.
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

// fieldByName returns the field of a struct type whose json tag has the given name; the result is false if there is
// none.
func fieldByName(structType reflect.Type, name string) (reflect.StructField, bool) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if tag == name && tag != "-" && tag != "" {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

// jsonPointer converts a path such as "peers.seeds[1]" to the JSON pointer "/peers/seeds/1".
func jsonPointer(path string) string {
	if path == "" {
		return ""
	}
	return "/" + strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(path)
}

// lineAndColumn returns the position of a byte offset; both numbers count from 1.
func lineAndColumn(source []byte, offset int) (line, column int) {
	offset = min(offset, len(source))
	before := source[:offset]
	line = 1 + bytes.Count(before, []byte{'\n'})
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}

// syntaxError converts an error of hujson, whose message begins with "hujson: line L, column C: ". For any other
// message the position is line 1, column 1.
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
