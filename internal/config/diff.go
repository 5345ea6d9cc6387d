package config

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// Diff returns the operations that turn the branch in a into the branch in b. Each
// operation changes the smallest possible part of the tree.
func Diff(a, b *Tree, branch Branch) []Op {
	team, ok := branch.Team()
	if !ok {
		return diffValues(nil, "", reflect.ValueOf(a.Fleet), reflect.ValueOf(b.Fleet))
	}
	before, existed := a.Teams[team]
	after, exists := b.Teams[team]
	switch {
	case existed && exists:
		return diffValues(nil, "", reflect.ValueOf(before), reflect.ValueOf(after))
	case exists:
		return []Op{setOp("", reflect.ValueOf(after))}
	case existed:
		return []Op{{Delete: true}}
	}
	return nil
}

func diffValues(ops []Op, path string, a, b reflect.Value) []Op {
	switch a.Kind() {
	case reflect.Struct:
		for i := range a.NumField() {
			ops = diffValues(ops, joinPath(path, jsonName(a.Type().Field(i))), a.Field(i), b.Field(i))
		}
		return ops
	case reflect.Map:
		return diffMaps(ops, path, a, b)
	}
	if reflect.DeepEqual(a.Interface(), b.Interface()) {
		return ops
	}
	if b.Kind() == reflect.Pointer && b.IsNil() {
		return append(ops, Op{Path: path, Delete: true})
	}
	return append(ops, setOp(path, b))
}

func diffMaps(ops []Op, path string, a, b reflect.Value) []Op {
	for _, key := range unionOfKeys(a, b) {
		entry := joinPath(path, key.String())
		before, after := a.MapIndex(key), b.MapIndex(key)
		switch {
		case !after.IsValid():
			ops = append(ops, Op{Path: entry, Delete: true})
		case !before.IsValid():
			ops = append(ops, setOp(entry, after))
		default:
			ops = diffValues(ops, entry, before, after)
		}
	}
	return ops
}

func unionOfKeys(a, b reflect.Value) []reflect.Value {
	keys := append(a.MapKeys(), b.MapKeys()...)
	slices.SortFunc(keys, func(x, y reflect.Value) int { return strings.Compare(x.String(), y.String()) })
	return slices.CompactFunc(keys, func(x, y reflect.Value) bool { return x.String() == y.String() })
}

func setOp(path string, v reflect.Value) Op {
	value, _ := json.Marshal(v.Interface()) // cannot fail: the tree holds finite plain values
	return Op{Path: path, Value: value}
}
