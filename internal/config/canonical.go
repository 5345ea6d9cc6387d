package config

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// decodeCanonical decodes a document that is byte for byte the encoding/json output
// for its value, as snapshots, peers' states and most changes are. For any other
// document it returns false and leaves the target unchanged.
//
// The result equals that of the strict decoder, with a fraction of the memory: input
// that only encoding/json accepts (unknown fields, names in another case, duplicate
// names, null for a scalar, invalid UTF-8) isn't encoded back to the same bytes.
// keptByStrictDecode covers the values that are, although the strict decoder would
// change or reject them.
func decodeCanonical(raw []byte, target reflect.Value) bool {
	decoded := reflect.New(target.Type())
	if json.Unmarshal(raw, decoded.Interface()) != nil || !keptByStrictDecode(decoded.Elem()) {
		return false
	}
	encoded, err := json.Marshal(decoded.Interface())
	if err != nil || !bytes.Equal(raw, encoded) {
		return false
	}
	target.Set(decoded.Elem())
	return true
}

var rawMessageType = reflect.TypeFor[json.RawMessage]()

// keptByStrictDecode reports whether the strict decoder would return a value
// unchanged. That decoder turns null lists and objects into empty ones, rejects null
// for a raw value, and fills in defaults.
func keptByStrictDecode(v reflect.Value) bool {
	if v.Type() == rawMessageType {
		return !isNull(v.Bytes())
	}
	if _, ok := v.Interface().(json.Marshaler); ok {
		return true
	}
	switch v.Kind() {
	case reflect.Pointer:
		return v.IsNil() || keptByStrictDecode(v.Elem())
	case reflect.Struct:
		return structKeptByStrictDecode(v)
	case reflect.Map:
		return mapKeptByStrictDecode(v)
	case reflect.Slice:
		return sliceKeptByStrictDecode(v)
	default:
		return true
	}
}

func structKeptByStrictDecode(v reflect.Value) bool {
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() && !keptByStrictDecode(v.Field(i)) {
			return false
		}
	}
	withDefaults := reflect.New(v.Type())
	if _, ok := withDefaults.Interface().(zeroReplacer); !ok {
		return true
	}
	withDefaults.Elem().Set(v)
	replaceValueZeros(withDefaults.Elem())
	return reflect.DeepEqual(withDefaults.Elem().Interface(), v.Interface())
}

func mapKeptByStrictDecode(v reflect.Value) bool {
	if v.IsNil() {
		return false
	}
	for entries := v.MapRange(); entries.Next(); {
		if !keptByStrictDecode(entries.Value()) {
			return false
		}
	}
	return true
}

func sliceKeptByStrictDecode(v reflect.Value) bool {
	if v.IsNil() {
		return false
	}
	for i := range v.Len() {
		if !keptByStrictDecode(v.Index(i)) {
			return false
		}
	}
	return true
}
