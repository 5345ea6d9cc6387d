package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// maxDecodedValues bounds the number of values in one document. Two bytes of JSON can
// decode to a struct of hundreds of bytes, so a limit on the input size alone doesn't
// bound memory.
const maxDecodedValues = 300_000

// decodeStrict decodes JSON into the value that target points to. It rejects what
// encoding/json accepts: unknown fields, names in another case, and null for a
// scalar. path is that of the value in the tree; errors contain it.
func decodeStrict(raw []byte, path string, target any) *Error {
	if bytes.Count(raw, []byte{','}) > maxDecodedValues {
		return newError(path, fmt.Sprintf("must hold at most %d values", maxDecodedValues))
	}
	v := reflect.ValueOf(target).Elem()
	if decodeCanonical(raw, v) {
		return nil
	}
	if !json.Valid(raw) {
		return newError(path, "must be valid JSON")
	}
	return decodeValue(raw, path, v)
}

func decodeValue(raw json.RawMessage, path string, v reflect.Value) *Error {
	if _, ok := v.Addr().Interface().(json.Unmarshaler); ok {
		return decodeScalar(raw, path, v)
	}
	switch v.Kind() {
	case reflect.Pointer:
		return decodePointer(raw, path, v)
	case reflect.Struct:
		return decodeStruct(raw, path, v)
	case reflect.Map:
		return decodeMap(raw, path, v)
	case reflect.Slice:
		return decodeSlice(raw, path, v)
	default:
		return decodeScalar(raw, path, v)
	}
}

func decodePointer(raw json.RawMessage, path string, v reflect.Value) *Error {
	if isNull(raw) {
		v.SetZero()
		return nil
	}
	v.Set(reflect.New(v.Type().Elem()))
	return decodeValue(raw, path, v.Elem())
}

func decodeStruct(raw json.RawMessage, path string, v reflect.Value) *Error {
	members, err := objectMembers(raw, path)
	if err != nil {
		return err
	}
	if isNull(raw) {
		return newError(path, "must be an object, not null")
	}
	setValueDefaults(v)
	for _, name := range slices.Sorted(maps.Keys(members)) {
		field, ok := fieldByJSONName(v.Type(), name)
		if !ok {
			return unknownField(path, name, v.Type())
		}
		if err := decodeValue(members[name], joinPath(path, name), v.Field(field)); err != nil {
			return err
		}
	}
	replaceValueZeros(v)
	return nil
}

func decodeMap(raw json.RawMessage, path string, v reflect.Value) *Error {
	members, err := objectMembers(raw, path)
	if err != nil {
		return err
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(members)))
	for _, name := range slices.Sorted(maps.Keys(members)) {
		value := reflect.New(v.Type().Elem()).Elem()
		if err := decodeValue(members[name], joinPath(path, truncate(name, maxNameBytes)), value); err != nil {
			return err
		}
		v.SetMapIndex(reflect.ValueOf(name).Convert(v.Type().Key()), value)
	}
	return nil
}

func decodeSlice(raw json.RawMessage, path string, v reflect.Value) *Error {
	var elements []json.RawMessage
	if json.Unmarshal(raw, &elements) != nil {
		return newError(path, "must be a list")
	}
	v.Set(reflect.MakeSlice(v.Type(), len(elements), len(elements)))
	for i, element := range elements {
		if err := decodeValue(element, fmt.Sprintf("%s/%d", path, i), v.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func decodeScalar(raw json.RawMessage, path string, v reflect.Value) *Error {
	if !isNull(raw) && json.Unmarshal(raw, v.Addr().Interface()) == nil {
		return nil
	}
	return newError(path, "must be "+scalarTypeName(v.Kind()))
}

func scalarTypeName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64:
		return "an integer"
	default:
		return "of the stated type"
	}
}

// objectMembers returns the members of a JSON object; null has none.
func objectMembers(raw json.RawMessage, path string) (map[string]json.RawMessage, *Error) {
	var members map[string]json.RawMessage
	if json.Unmarshal(raw, &members) != nil {
		return nil, newError(path, "must be an object")
	}
	return members, nil
}

func isNull(raw json.RawMessage) bool { return string(bytes.TrimSpace(raw)) == "null" }

// fieldByJSONName returns the index of the field with a JSON name.
func fieldByJSONName(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		if jsonName(t.Field(i)) == name && name != "" {
			return i, true
		}
	}
	return 0, false
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func unknownField(path, name string, t reflect.Type) *Error {
	var allowed []string
	for i := range t.NumField() {
		if known := jsonName(t.Field(i)); known != "" {
			allowed = append(allowed, known)
		}
	}
	reason := "unknown field, must be one of " + strings.Join(allowed, ", ")
	return newError(joinPath(path, truncate(name, maxNameBytes)), reason)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}
