package strict

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"
)

// maxErrors limits the number of errors reported for one input.
const maxErrors = 100

// Decode decodes data into the value that v points to and returns all errors
// found. Field names must match the json tags, including their case. Null
// sets a list, map or pointer to nil and is an error for other types.
func Decode(data []byte, v any) FieldErrors {
	d := decoder{}
	if !utf8.Valid(data) {
		// encoding/json would replace invalid bytes by U+FFFD.
		d.addError("", "not JSON: not in UTF-8")
		return d.errs
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		d.addError("", "not JSON: %v", err)
		return d.errs
	}
	d.decodeValue("", bytes.TrimSpace(raw), reflect.ValueOf(v).Elem())
	return d.errs
}

// decoder collects the errors of one call of [Decode].
type decoder struct {
	errs FieldErrors
}

// addError records an error, unless maxErrors are recorded already.
func (d *decoder) addError(field, format string, args ...any) {
	if len(d.errs) < maxErrors {
		d.errs.Add(field, format, args...)
	}
}

// decodeValue decodes raw, which must be valid JSON, into v. Path is the path
// of v, for errors.
func (d *decoder) decodeValue(path string, raw json.RawMessage, v reflect.Value) {
	switch {
	case isLeaf(v.Type()):
		d.decodeLeaf(path, raw, v)
	case string(raw) == "null" && isOptional(v.Kind()):
		v.SetZero()
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeValue(path, raw, v.Elem())
	case v.Kind() == reflect.Struct:
		d.decodeObject(path, raw, v)
	case v.Kind() == reflect.Slice:
		d.decodeList(path, raw, v)
	default:
		d.decodeLeaf(path, raw, v)
	}
}

var (
	unmarshaler     = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// isLeaf reports whether encoding/json decodes values of the type as a whole:
// byte slices and types with an unmarshal method.
func isLeaf(t reflect.Type) bool {
	if t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8 {
		return true
	}
	p := reflect.PointerTo(t)
	return p.Implements(unmarshaler) || p.Implements(textUnmarshaler)
}

// isOptional reports whether null is a valid value of the kind.
func isOptional(k reflect.Kind) bool {
	return k == reflect.Pointer || k == reflect.Slice || k == reflect.Map
}

// decodeLeaf decodes raw by encoding/json. It rejects null, which encoding/json would
// ignore, unless the type unmarshals JSON itself.
func (d *decoder) decodeLeaf(path string, raw json.RawMessage, v reflect.Value) {
	_, selfDecoding := v.Addr().Interface().(json.Unmarshaler)
	if string(raw) == "null" && !selfDecoding {
		d.addError(path, "want %s, not null", expectedType(v.Type()))
		return
	}
	if json.Unmarshal(raw, v.Addr().Interface()) != nil {
		d.addError(path, "want %s", expectedType(v.Type()))
	}
}

// expectedType describes the JSON value that the type is decoded from, for errors.
func expectedType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number that is not negative"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	}
	return "another value"
}

// decodeList decodes a JSON array into the slice v.
func (d *decoder) decodeList(path string, raw json.RawMessage, v reflect.Value) {
	if raw[0] != '[' {
		d.addError(path, "want a list")
		return
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	// Decode has validated the input, so that no token returns an error.
	_, _ = dec.Token()
	list := reflect.MakeSlice(v.Type(), 0, 0)
	for i := 0; dec.More(); i++ {
		var item json.RawMessage
		_ = dec.Decode(&item)
		element := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), item, element)
		list = reflect.Append(list, element)
	}
	v.Set(list)
}

// decodeObject decodes a JSON object into the struct v and rejects unknown and
// duplicate fields.
func (d *decoder) decodeObject(path string, raw json.RawMessage, v reflect.Value) {
	if raw[0] != '{' {
		d.addError(path, "want an object")
		return
	}
	fields := fieldsOf(v)
	seen := make(map[string]bool)
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token()
	for dec.More() {
		token, _ := dec.Token()
		name, _ := token.(string)
		var item json.RawMessage
		_ = dec.Decode(&item)
		field, ok := fields[name]
		switch {
		case !ok:
			d.addError(joinPath(path, printable(name)), "unknown field")
		case seen[name]:
			d.addError(joinPath(path, name), "given twice")
		default:
			d.decodeValue(joinPath(path, name), item, field)
		}
		seen[name] = true
	}
}

// fieldsOf returns the fields of the struct by JSON name, including those of
// embedded structs.
func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for _, f := range reflect.VisibleFields(v.Type()) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.IsExported() && name != "" && name != "-" {
			fields[name] = v.FieldByIndex(f.Index)
		}
	}
	return fields
}

// joinPath appends a field name to the path of its parent.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxNameBytes limits how much of an unknown field's name an error contains.
const maxNameBytes = 64

// printable returns name, quoted and truncated if it is long or contains
// characters that need escaping, since the input may be untrusted.
func printable(name string) string {
	quoted := fmt.Sprintf("%q", name[:min(len(name), maxNameBytes)])
	if quoted[1:len(quoted)-1] == name {
		return name
	}
	return quoted
}
