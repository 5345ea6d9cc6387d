package customers

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

func directory(t *testing.T, entries ...Entry) *Directory {
	d, err := New(entries)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return d
}

func entry(name string, keys ...string) Entry {
	return Entry{Customer: Customer{Name: name}, Keys: keys}
}

func TestIdentify(t *testing.T) {
	d := directory(t, entry("a", "k1", "k2"), entry("b", "k3"), entry("keyless"))
	for _, c := range []struct {
		key    string
		public bool
		want   string
		err    error
	}{
		{"k1", false, "a", nil},
		{"k2", false, "a", nil},
		{"k3", false, "b", nil},
		{"", false, "", ErrUnknownKey},
		{"K1", false, "", ErrUnknownKey},
		{"k1 ", false, "", ErrUnknownKey},
		{"", true, "", nil},
		{"unknown", true, "", nil},
		{"k3", true, "b", nil},
	} {
		g := NewWithT(t)
		got, err := d.Identify(c.key, c.public)
		g.Expect(got.Name).To(Equal(c.want), c.key)
		if c.err == nil {
			g.Expect(err).NotTo(HaveOccurred())
		} else {
			g.Expect(err).To(MatchError(c.err))
		}
	}
}

// A deployment without a list of customers accepts all requests, with or without a key.
func TestNilDirectoryNeedsNoKey(t *testing.T) {
	g := NewWithT(t)
	var d *Directory
	got, err := d.Identify("anything", false)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(Customer{}))
	g.Expect(d.ActiveKeys()).To(BeEmpty())
}

// The last customer was removed. Its callers must be refused, and not accepted as if no keys
// were needed.
func TestEmptyDirectoryRefusesAllKeys(t *testing.T) {
	_, err := directory(t).Identify("k", false)
	NewWithT(t).Expect(err).To(MatchError(ErrUnknownKey))
}

// A list of customers with an operator's mistake is refused. The error is logged, so it must
// not contain a key.
func TestNewRefusesInvalidEntries(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries []Entry
		want    error
	}{
		{"no name", []Entry{entry("a", "secret-1"), entry("", "secret-2")}, ErrMissingName},
		{"one name twice", []Entry{entry("a", "secret-1"), entry("a", "secret-2")}, ErrDuplicateName},
		{"one key of two customers", []Entry{entry("a", "secret-1"), entry("b", "secret-1")}, ErrDuplicateKey},
		{"an empty key", []Entry{entry("a", "secret-1", "")}, ErrEmptyKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			d, err := New(c.entries)
			g.Expect(d).To(BeNil())
			g.Expect(err).To(MatchError(c.want))
			g.Expect(err.Error()).NotTo(ContainSubstring("secret"))
		})
	}
	directory(t, entry("a", "k", "k")) // a customer may have the same key twice
}

// Compares Identify with a linear search through all entries, with random entries and keys.
func TestIdentifyAgreesWithLinearSearch(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	var entries []Entry
	for c := range 40 {
		e := entry(fmt.Sprint("c", c))
		for range random.IntN(4) {
			e.Keys = append(e.Keys, fmt.Sprint(c, "-", random.IntN(100)))
		}
		entries = append(entries, e)
	}
	d := directory(t, entries...)
	for range 4000 {
		key := fmt.Sprint(random.IntN(41), "-", random.IntN(100))
		want := ""
		for _, e := range entries {
			for _, k := range e.Keys {
				if k == key {
					want = e.Name
				}
			}
		}
		got, err := d.Identify(key, false)
		g.Expect(got.Name).To(Equal(want))
		g.Expect(err == nil).To(Equal(want != ""))
	}
}

// Guards against a batch that loses its customer's priority, or gets another's after a configuration
// without that customer.
func TestNamed(t *testing.T) {
	g, priority := NewWithT(t), 3
	d := directory(t, Entry{Customer: Customer{Name: "a", Priority: &priority}})
	g.Expect(d.Named("a")).To(Equal(Customer{Name: "a", Priority: &priority}))
	g.Expect(d.Named("removed")).To(Equal(Customer{Name: "removed"}))
	g.Expect((*Directory)(nil).Named("a")).To(Equal(Customer{Name: "a"}))
}

// The list of keys that operators see must distinguish the keys without containing one.
func TestActiveKeysShowOnlyHashes(t *testing.T) {
	g := NewWithT(t)
	shown := directory(t, entry("b", "secret-3"), entry("a", "secret-1", "secret-2")).ActiveKeys()
	g.Expect(shown).To(HaveLen(3))
	g.Expect(shown[0].Customer).To(Equal("a"))
	g.Expect(shown[0].SHA256).NotTo(Equal(shown[1].SHA256))
	text, err := json.Marshal(shown)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).NotTo(ContainSubstring("secret"))
}
