// Package customers identifies the customer that made a request by the request's API key. A
// key isn't passed on from the daemon that receives it: upstreams, log records and other
// daemons get the customer's name. Each configuration may add and remove keys; requests and
// batches that were accepted with a key go on when it is removed.
//
// The package does no I/O. A Directory isn't changed after New and is safe for concurrent use.
package customers

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
)

// Customer is a customer of the platform.
type Customer struct {
	Name string
	// Priority overrides the route's priority, 0 is the highest. nil: the route's applies.
	Priority *int
}

// Entry is a customer and its keys, as configured by an operator.
type Entry struct {
	Customer
	Keys []string
}

var (
	// ErrUnknownKey is returned for a key that no customer has, and for a missing key.
	ErrUnknownKey = errors.New("customers: unknown key")
	// ErrMissingName is returned for a customer without a name. Upstreams could not identify it.
	ErrMissingName = errors.New("customers: customer has no name")
	// ErrDuplicateName is returned for a name that another customer has. Upstreams could not
	// distinguish the two.
	ErrDuplicateName = errors.New("customers: another customer has the same name")
	// ErrEmptyKey is returned for an empty key. It would admit requests without a key.
	ErrEmptyKey = errors.New("customers: empty key")
	// ErrDuplicateKey is returned for a key that another customer has. It would not identify
	// the customer.
	ErrDuplicateKey = errors.New("customers: another customer has the same key")
)

// keyHash is the hash of a key. Keys themselves aren't stored, so that they can't appear in a
// memory dump or a log.
type keyHash [sha256.Size]byte

// Directory finds the customers of one configuration by their keys. The nil Directory is for
// deployments whose callers need no key.
type Directory struct {
	byKey map[keyHash]Customer
	names map[string]Customer
}

// New returns a directory. The error contains the position and the name of the first invalid
// entry, but no key.
func New(entries []Entry) (*Directory, error) {
	d := &Directory{byKey: map[keyHash]Customer{}, names: map[string]Customer{}}
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
		return ErrMissingName
	case d.names[e.Name].Name != "":
		return ErrDuplicateName
	}
	d.names[e.Name] = e.Customer
	for _, key := range e.Keys {
		if key == "" {
			return ErrEmptyKey
		}
		hash := keyHash(sha256.Sum256([]byte(key)))
		if other, known := d.byKey[hash]; known && other.Name != e.Name {
			return fmt.Errorf("%w: %q", ErrDuplicateKey, other.Name)
		}
		d.byKey[hash] = e.Customer
	}
	return nil
}

// Identify returns the customer that has a key. A request to a public route needs no key and
// gets the zero Customer without a known one. Error: ErrUnknownKey.
func (d *Directory) Identify(key string, public bool) (Customer, error) {
	if d == nil {
		return Customer{}, nil
	}
	c, known := d.byKey[keyHash(sha256.Sum256([]byte(key)))]
	if !known && !public {
		return Customer{}, ErrUnknownKey
	}
	return c, nil
}

// Named returns the customer with a name. One that is not configured, or not any more, has no
// priority of its own.
func (d *Directory) Named(name string) Customer {
	if d != nil {
		if c, ok := d.names[name]; ok {
			return c
		}
	}
	return Customer{Name: name}
}

// ActiveKey describes a key of the current configuration to operators.
type ActiveKey struct {
	Customer string `json:"customer"` // name
	SHA256   string `json:"sha256"`   // the first hexadecimal digits of the key's hash
}

// shownHashDigits is the number of digits of a key's hash that operators see. They are enough
// to distinguish a few hundred keys, and don't reveal a key.
const shownHashDigits = 12

// ActiveKeys returns all keys, sorted by customer.
func (d *Directory) ActiveKeys() []ActiveKey {
	out := []ActiveKey{}
	if d == nil {
		return out
	}
	for hash, c := range d.byKey {
		out = append(out, ActiveKey{Customer: c.Name, SHA256: hex.EncodeToString(hash[:])[:shownHashDigits]})
	}
	slices.SortFunc(out, func(a, b ActiveKey) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.SHA256, b.SHA256))
	})
	return out
}
