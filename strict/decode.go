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

// maxFaults bounds the faults that are reported of one input.
const maxFaults = 100

// Decode decodes data into the value that v points to. Fields are matched by
// their json tags, in the tags' own case. Null stands for an absent list, map
// or pointer and is a fault elsewhere.
func Decode(data []byte, v any) Faults {
	d := decoder{}
	if !utf8.Valid(data) {
		// encoding/json would put other characters in their place.
		d.add("", "not JSON: not in UTF-8")
		return d.faults
	}
	var whole json.RawMessage
	if err := json.Unmarshal(data, &whole); err != nil {
		d.add("", "not JSON: %v", err)
		return d.faults
	}
	d.value("", bytes.TrimSpace(whole), reflect.ValueOf(v).Elem())
	return d.faults
}

type decoder struct {
	faults Faults
}

func (d *decoder) add(field, format string, args ...any) {
	if len(d.faults) < maxFaults {
		d.faults.Add(field, format, args...)
	}
}

// value decodes raw, which is valid JSON, into v.
func (d *decoder) value(path string, raw json.RawMessage, v reflect.Value) {
	switch {
	case isLeaf(v.Type()):
		d.leaf(path, raw, v)
	case string(raw) == "null" && isOptional(v.Kind()):
		v.SetZero()
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.value(path, raw, v.Elem())
	case v.Kind() == reflect.Struct:
		d.object(path, raw, v)
	case v.Kind() == reflect.Slice:
		d.list(path, raw, v)
	default:
		d.leaf(path, raw, v)
	}
}

var (
	unmarshaler     = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// isLeaf reports whether a type decodes itself, or is decoded as a whole.
func isLeaf(t reflect.Type) bool {
	if t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8 {
		return true
	}
	p := reflect.PointerTo(t)
	return p.Implements(unmarshaler) || p.Implements(textUnmarshaler)
}

func isOptional(k reflect.Kind) bool {
	return k == reflect.Pointer || k == reflect.Slice || k == reflect.Map
}

func (d *decoder) leaf(path string, raw json.RawMessage, v reflect.Value) {
	_, own := v.Addr().Interface().(json.Unmarshaler)
	if string(raw) == "null" && !own {
		d.add(path, "want %s, not null", want(v.Type()))
		return
	}
	if json.Unmarshal(raw, v.Addr().Interface()) != nil {
		d.add(path, "want %s", want(v.Type()))
	}
}

// want names what a type is decoded from.
func want(t reflect.Type) string {
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

func (d *decoder) list(path string, raw json.RawMessage, v reflect.Value) {
	if raw[0] != '[' {
		d.add(path, "want a list")
		return
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	// The input was found valid, so that no token is an error.
	_, _ = dec.Token()
	list := reflect.MakeSlice(v.Type(), 0, 0)
	for i := 0; dec.More(); i++ {
		var one json.RawMessage
		_ = dec.Decode(&one)
		element := reflect.New(v.Type().Elem()).Elem()
		d.value(fmt.Sprintf("%s[%d]", path, i), one, element)
		list = reflect.Append(list, element)
	}
	v.Set(list)
}

func (d *decoder) object(path string, raw json.RawMessage, v reflect.Value) {
	if raw[0] != '{' {
		d.add(path, "want an object")
		return
	}
	fields := fieldsOf(v)
	seen := make(map[string]bool)
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token()
	for dec.More() {
		token, _ := dec.Token()
		name, _ := token.(string)
		var one json.RawMessage
		_ = dec.Decode(&one)
		field, ok := fields[name]
		switch {
		case !ok:
			d.add(join(path, printable(name)), "unknown field")
		case seen[name]:
			d.add(join(path, name), "given twice")
		default:
			d.value(join(path, name), one, field)
		}
		seen[name] = true
	}
}

// fieldsOf returns the fields of a struct by their names in JSON, those of
// embedded structs included.
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxNameBytes bounds what of an unknown field's name is reported.
const maxNameBytes = 64

// printable returns a name from outside as it may stand in a message.
func printable(name string) string {
	quoted := fmt.Sprintf("%q", name[:min(len(name), maxNameBytes)])
	if quoted[1:len(quoted)-1] == name {
		return name
	}
	return quoted
}
