package store

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestEncodeAndDecodeEntry(t *testing.T) {
	g := NewWithT(t)
	record, err := EncodeEntry("key", []byte("value"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(record).To(Equal([]byte("\x03keyvalue")))
	key, value, err := DecodeEntry(record)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(key).To(Equal("key"))
	g.Expect(value).To(Equal([]byte("value")))
	_, _, err = DecodeEntry([]byte{9, 'x'})
	g.Expect(err).To(HaveOccurred())
	_, _, err = DecodeEntry(nil)
	g.Expect(err).To(HaveOccurred())
	_, err = EncodeEntry(strings.Repeat("k", 256), nil)
	g.Expect(err).To(HaveOccurred())
}
