package config

import (
	"maps"
	"reflect"
	"strings"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// applyToBranch returns the tree after a change's operations. The result shares
// with the old tree everything that isn't on an operation's path.
//
// Invariant: only the given branch differs. An operation's path is resolved within
// the typed value of the branch, and no path segment refers to a parent.
func applyToBranch(t *Tree, branch Branch, ops []Op) (*Tree, *Error) {
	if team, ok := branch.Team(); ok {
		return applyToTeam(t, team, ops)
	}
	fleet, _, err := applyOps(reflect.ValueOf(t.Fleet), string(branch), ops)
	if err != nil {
		return nil, err
	}
	return &Tree{Fleet: fleet.Interface().(Fleet), Teams: t.Teams, keys: t.keys}, nil
}

func applyToTeam(t *Tree, name ident.Team, ops []Op) (*Tree, *Error) {
	old, ok := t.Teams[name]
	if !ok {
		old = defaultTeam()
	}
	value, exists, err := applyOps(reflect.ValueOf(old), string(TeamBranch(name)), ops)
	if err != nil {
		return nil, err
	}
	next := &Tree{Fleet: t.Fleet, Teams: maps.Clone(t.Teams)}
	delete(next.Teams, name)
	if exists {
		next.Teams[name] = value.Interface().(Team)
	}
	return next, nil
}

// applyOps applies operations in order to a branch, whose path in the tree is
// root. The second result is false if the last one deleted the whole branch.
func applyOps(v reflect.Value, root string, ops []Op) (reflect.Value, bool, *Error) {
	exists := true
	for _, op := range ops {
		var err *Error
		v, err = applyOp(v, splitPath(op.Path), root, op)
		if err != nil {
			return v, false, err
		}
		exists = op.Path != "" || !op.Delete
	}
	return v, exists, nil
}

func splitPath(path string) []string {
	if path == "" {
		return nil
	}
	return strings.Split(path, "/")
}

// applyOp returns a copy of v with the operation applied at the path given by
// segments, relative to v. Structs and maps on that path are copied one level deep.
// path is that of v in the tree.
func applyOp(v reflect.Value, segments []string, path string, op Op) (reflect.Value, *Error) {
	if len(segments) == 0 {
		return opValue(v.Type(), path, op)
	}
	switch v.Kind() {
	case reflect.Struct:
		return applyOpToField(v, segments, path, op)
	case reflect.Map:
		return applyOpToEntry(v, segments, path, op)
	default:
		return v, newError(joinPath(path, truncate(segments[0], maxNameBytes)), "no such setting: "+path+" has nothing below it")
	}
}

// opValue returns the value of type t that an operation sets at its path: the
// default for a deletion.
func opValue(t reflect.Type, path string, op Op) (reflect.Value, *Error) {
	v := newDefaultValue(t)
	if op.Delete {
		return v, nil
	}
	return v, decodeStrict(op.Value, path, v.Addr().Interface())
}

func applyOpToField(v reflect.Value, segments []string, path string, op Op) (reflect.Value, *Error) {
	field, ok := fieldByJSONName(v.Type(), segments[0])
	if !ok {
		return v, unknownField(path, segments[0], v.Type())
	}
	next := reflect.New(v.Type()).Elem()
	next.Set(v)
	if op.Delete && len(segments) == 1 {
		next.Field(field).Set(newDefaultValue(v.Type()).Field(field))
		return next, nil
	}
	value, err := applyOp(v.Field(field), segments[1:], joinPath(path, segments[0]), op)
	if err != nil {
		return v, err
	}
	next.Field(field).Set(value)
	return next, nil
}

func applyOpToEntry(v reflect.Value, segments []string, path string, op Op) (reflect.Value, *Error) {
	name := segments[0]
	path = joinPath(path, truncate(name, maxNameBytes))
	if !validName(name) {
		return v, newError(path, "name "+nameRule)
	}
	key := reflect.ValueOf(name).Convert(v.Type().Key())
	old := v.MapIndex(key)
	targetsEntry := len(segments) == 1
	if !old.IsValid() && (op.Delete || !targetsEntry) {
		return v, newError(path, "no such entry")
	}
	next := cloneMap(v)
	if targetsEntry && op.Delete {
		next.SetMapIndex(key, reflect.Value{})
		return next, nil
	}
	if !old.IsValid() {
		old = newDefaultValue(v.Type().Elem())
	}
	value, err := applyOp(old, segments[1:], path, op)
	if err != nil {
		return v, err
	}
	next.SetMapIndex(key, value)
	return next, nil
}

func cloneMap(v reflect.Value) reflect.Value {
	next := reflect.MakeMapWithSize(v.Type(), v.Len()+1)
	for entries := v.MapRange(); entries.Next(); {
		next.SetMapIndex(entries.Key(), entries.Value())
	}
	return next
}
