package config

import (
	"reflect"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Defaults of the settings.
const (
	DefaultProductionReserve  = 0.3
	DefaultStalenessWeight    = 0.5
	DefaultModelMaxTokens     = 4096
	DefaultRouteTimeoutMillis = 30_000 // milliseconds
	DefaultWeight             = 1.0
	DefaultMaxQueue           = 1000
	DefaultMaxBodyBytes       = 1 << 20
)

// defaultsSetter sets the defaults of fields for which an explicit 0 is a valid value.
// It is called before a value is decoded.
type defaultsSetter interface{ setDefaults() }

// zeroReplacer replaces 0 by the default in fields for which 0 isn't a valid value. It
// is called after a value was decoded.
type zeroReplacer interface{ replaceZeros() }

func (f *Fleet) setDefaults() { f.ProductionReserve = DefaultProductionReserve }

func (t *Team) setDefaults() {
	t.StalenessWeight = DefaultStalenessWeight
	t.Limits.replaceZeros()
}

func (m *Model) replaceZeros() { setIfZero(&m.MaxTokens, DefaultModelMaxTokens) }

func (r *Route) replaceZeros() { setIfZero(&r.TimeoutMillis, DefaultRouteTimeoutMillis) }

func (l *Limits) replaceZeros() {
	setIfZero(&l.Weight, DefaultWeight)
	setIfZero(&l.MaxQueue, DefaultMaxQueue)
	setIfZero(&l.MaxBodyBytes, DefaultMaxBodyBytes)
}

func setIfZero[T int | int64 | float64](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

func defaultFleet() Fleet { return newDefaultValue(reflect.TypeFor[Fleet]()).Interface().(Fleet) }

func defaultTeam() Team { return newDefaultValue(reflect.TypeFor[Team]()).Interface().(Team) }

func defaultTree() *Tree {
	return &Tree{Fleet: defaultFleet(), Teams: map[ident.Team]Team{}}
}

// newDefaultValue returns a settable value of type t with its defaults. Its maps are
// empty, not nil, so that equal trees have equal JSON.
func newDefaultValue(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	setValueDefaults(v)
	replaceValueZeros(v)
	return v
}

func setValueDefaults(v reflect.Value) {
	if p, ok := v.Addr().Interface().(defaultsSetter); ok {
		p.setDefaults()
	}
}

func replaceValueZeros(v reflect.Value) {
	if f, ok := v.Addr().Interface().(zeroReplacer); ok {
		f.replaceZeros()
	}
	if v.Kind() != reflect.Struct {
		return
	}
	for i := range v.NumField() {
		field := v.Field(i)
		if field.Kind() == reflect.Map && field.IsNil() && field.CanSet() {
			field.Set(reflect.MakeMap(field.Type()))
		}
	}
}
