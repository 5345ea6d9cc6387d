package config

import (
	"maps"
	"reflect"
	"strings"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// apply returns the tree after a change's operations. The result shares with
// the old tree everything that is off the operations' paths.
//
// Invariant: only the change's branch differs. An operation's path is walked
// through the branch's typed value alone, and no segment leads upwards.
func apply(t *Tree, branch Branch, ops []Op) (*Tree, *Error) {
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

// applyOps applies operations in their order. The second result is false when
// the last one deleted the whole branch.
func applyOps(v reflect.Value, root string, ops []Op) (reflect.Value, bool, *Error) {
	exists := true
	for _, op := range ops {
		var err *Error
		v, err = edit(v, splitPath(op.Path), root, op)
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

// edit returns a copy of v in which the operation took effect at the path below
// it. Structs and maps on the path are copied one level deep.
func edit(v reflect.Value, below []string, path string, op Op) (reflect.Value, *Error) {
	if len(below) == 0 {
		return replacement(v.Type(), path, op)
	}
	switch v.Kind() {
	case reflect.Struct:
		return editField(v, below, path, op)
	case reflect.Map:
		return editEntry(v, below, path, op)
	default:
		return v, fault(join(path, truncate(below[0], maxNameBytes)), "no such setting: "+path+" has nothing below it")
	}
}

// replacement is the value that an operation puts at its path.
func replacement(t reflect.Type, path string, op Op) (reflect.Value, *Error) {
	v := newValue(t)
	if op.Delete {
		return v, nil
	}
	return v, decodeStrict(op.Value, path, v.Addr().Interface())
}

func editField(v reflect.Value, below []string, path string, op Op) (reflect.Value, *Error) {
	field, ok := fieldByName(v.Type(), below[0])
	if !ok {
		return v, unknownField(path, below[0], v.Type())
	}
	next := reflect.New(v.Type()).Elem()
	next.Set(v)
	if op.Delete && len(below) == 1 {
		next.Field(field).Set(newValue(v.Type()).Field(field))
		return next, nil
	}
	value, err := edit(v.Field(field), below[1:], join(path, below[0]), op)
	if err != nil {
		return v, err
	}
	next.Field(field).Set(value)
	return next, nil
}

func editEntry(v reflect.Value, below []string, path string, op Op) (reflect.Value, *Error) {
	name := below[0]
	path = join(path, truncate(name, maxNameBytes))
	if !validName(name) {
		return v, fault(path, "name "+nameAllowed)
	}
	key := reflect.ValueOf(name).Convert(v.Type().Key())
	old := v.MapIndex(key)
	whole := len(below) == 1
	if !old.IsValid() && (op.Delete || !whole) {
		return v, fault(path, "no such entry")
	}
	next := cloneMap(v)
	if whole && op.Delete {
		next.SetMapIndex(key, reflect.Value{})
		return next, nil
	}
	if !old.IsValid() {
		old = newValue(v.Type().Elem())
	}
	value, err := edit(old, below[1:], path, op)
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
