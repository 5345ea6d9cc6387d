// Package customers tells by a request's key which customer asks. A key is an identity
// at the edge and goes no further: upstreams, records and other daemons get the customer's
// name. Keys come and go with configurations; a customer's work outlives them.
//
// It is pure. A Directory isn't changed after New and is safe for concurrent use.
package customers

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
)

// Customer is who asks.
type Customer struct {
	Name string
	// Priority goes before that of the route, 0 is the highest. nil: the route's holds.
	Priority *int
}

// Entry is a customer and its keys, as an operator gives them.
type Entry struct {
	Customer
	Keys []string
}

var (
	// ErrUnknownKey: no customer of this configuration has the key, or none was given.
	ErrUnknownKey = errors.New("customers: unknown key")
	// ErrNoName: a customer without a name would be nobody to upstreams.
	ErrNoName = errors.New("customers: a customer has no name")
	// ErrSameName: two customers of one name would be one to upstreams.
	ErrSameName = errors.New("customers: two customers of one name")
	// ErrEmptyKey would let requests without a key in.
	ErrEmptyKey = errors.New("customers: an empty key")
	// ErrSameKey: who asks with a key of two customers can't be told.
	ErrSameKey = errors.New("customers: two customers have one key")
)

// digest stands for a key: no key is kept, so none shows in a dump or a log.
type digest [sha256.Size]byte

// Directory names the customers of one configuration by their keys. The nil Directory is
// that of a deployment whose callers need no key.
type Directory struct {
	byKey map[digest]Customer
	names map[string]bool
}

// New returns a directory. The error names the first bad entry by its position and name,
// never a key.
func New(entries []Entry) (*Directory, error) {
	d := &Directory{byKey: map[digest]Customer{}, names: map[string]bool{}}
	for i, e := range entries {
		if err := d.add(e); err != nil {
			return nil, fmt.Errorf("customer %d %q: %w", i, e.Name, err)
		}
	}
	return d, nil
}

func (d *Directory) add(e Entry) error {
	switch {
	case e.Name == "":
		return ErrNoName
	case d.names[e.Name]:
		return ErrSameName
	}
	d.names[e.Name] = true
	for _, key := range e.Keys {
		if key == "" {
			return ErrEmptyKey
		}
		sum := digest(sha256.Sum256([]byte(key)))
		if other, known := d.byKey[sum]; known && other.Name != e.Name {
			return fmt.Errorf("%w, the other is %q", ErrSameKey, other.Name)
		}
		d.byKey[sum] = e.Customer
	}
	return nil
}

// Identify returns who asks with a key. A public request needs none; a known one names its
// customer all the same. Error: ErrUnknownKey.
func (d *Directory) Identify(key string, public bool) (Customer, error) {
	if d == nil {
		return Customer{}, nil
	}
	c, known := d.byKey[digest(sha256.Sum256([]byte(key)))]
	if !known && !public {
		return Customer{}, ErrUnknownKey
	}
	return c, nil
}

// KeyInForce is a key as operators see it.
type KeyInForce struct {
	Customer string `json:"customer"`
	SHA256   string `json:"sha256"` // the first digits, enough to tell keys apart
}

// shownDigits of a key's hash tell a few hundred keys apart and say nothing of a key.
const shownDigits = 12

// InForce lists the keys by customer.
func (d *Directory) InForce() []KeyInForce {
	out := []KeyInForce{}
	if d == nil {
		return out
	}
	for sum, c := range d.byKey {
		out = append(out, KeyInForce{Customer: c.Name, SHA256: hex.EncodeToString(sum[:])[:shownDigits]})
	}
	slices.SortFunc(out, func(a, b KeyInForce) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.SHA256, b.SHA256))
	})
	return out
}
