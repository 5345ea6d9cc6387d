package store

import (
	"errors"
	"fmt"
)

// KeyedPrefix begins the name of a topic whose records have keys. The newest record
// of each key outlives the log's retention.
const KeyedPrefix = "keyed."

// maxKeyBytes is what the key's length, one byte, can tell.
const maxKeyBytes = 255

var errKeyed = errors.New("malformed keyed record")

// EncodeEntry returns a record of a keyed topic. Without a value it drops the key.
func EncodeEntry(key string, value []byte) ([]byte, error) {
	if len(key) > maxKeyBytes {
		return nil, fmt.Errorf("%w: key of %d bytes", errKeyed, len(key))
	}
	record := append([]byte{byte(len(key))}, key...)
	return append(record, value...), nil
}

// DecodeEntry splits a record of a keyed topic. Without a value the key is dropped.
func DecodeEntry(record []byte) (key string, value []byte, err error) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return "", nil, fmt.Errorf("%w: %d bytes are too short", errKeyed, len(record))
	}
	n := 1 + int(record[0])
	return string(record[1:n]), record[n:], nil
}
