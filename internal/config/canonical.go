package config

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// decodeCanonical decodes a document that is to the byte what encoding/json would
// write of its value, as snapshots, peers' states and most changes are. It
// returns false, and leaves the target alone, for any other one.
//
// It gives what the strict decoder gives, at a fraction of the memory: whatever
// encoding/json lets pass (unknown fields, names in another case, names twice,
// null for a scalar, bytes that aren't UTF-8) isn't written back the same.
// Where a value is written back the same and the strict decoder would still
// change or refuse it, asDecoded says so.
func decodeCanonical(raw []byte, into reflect.Value) bool {
	fresh := reflect.New(into.Type())
	if json.Unmarshal(raw, fresh.Interface()) != nil || !asDecoded(fresh.Elem()) {
		return false
	}
	written, err := json.Marshal(fresh.Interface())
	if err != nil || !bytes.Equal(raw, written) {
		return false
	}
	into.Set(fresh.Elem())
	return true
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

// asDecoded says whether the strict decoder would leave a value as it is. It
// makes null lists and objects empty ones, refuses null for a raw value, and
// fills in defaults.
func asDecoded(v reflect.Value) bool {
	if v.Type() == rawMessage {
		return !isNull(v.Bytes())
	}
	if _, ok := v.Interface().(json.Marshaler); ok {
		return true
	}
	switch v.Kind() {
	case reflect.Pointer:
		return v.IsNil() || asDecoded(v.Elem())
	case reflect.Struct:
		return structAsDecoded(v)
	case reflect.Map:
		return mapAsDecoded(v)
	case reflect.Slice:
		return sliceAsDecoded(v)
	default:
		return true
	}
}

func structAsDecoded(v reflect.Value) bool {
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() && !asDecoded(v.Field(i)) {
			return false
		}
	}
	filled := reflect.New(v.Type())
	if _, ok := filled.Interface().(filler); !ok {
		return true
	}
	filled.Elem().Set(v)
	fillValue(filled.Elem())
	return reflect.DeepEqual(filled.Elem().Interface(), v.Interface())
}

func mapAsDecoded(v reflect.Value) bool {
	if v.IsNil() {
		return false
	}
	for entries := v.MapRange(); entries.Next(); {
		if !asDecoded(entries.Value()) {
			return false
		}
	}
	return true
}

func sliceAsDecoded(v reflect.Value) bool {
	if v.IsNil() {
		return false
	}
	for i := range v.Len() {
		if !asDecoded(v.Index(i)) {
			return false
		}
	}
	return true
}
