package store

import (
	"errors"
	"fmt"
)

// KeyedTopicPrefix is the prefix of the names of keyed topics. Their records have a key, and the
// newest record of each key is kept beyond the log's retention.
const KeyedTopicPrefix = "keyed."

// maxKeyBytes is the largest length of a key, which is stored in one byte.
const maxKeyBytes = 255

var errMalformed = errors.New("malformed keyed record")

// EncodeEntry encodes a record of a keyed topic. A record with an empty value deletes the key.
func EncodeEntry(key string, value []byte) ([]byte, error) {
	if len(key) > maxKeyBytes {
		return nil, fmt.Errorf("%w: key of %d bytes", errMalformed, len(key))
	}
	record := append([]byte{byte(len(key))}, key...)
	return append(record, value...), nil
}

// DecodeEntry decodes a record of a keyed topic. A record with an empty value deletes the key.
func DecodeEntry(record []byte) (key string, value []byte, err error) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return "", nil, fmt.Errorf("%w: %d bytes are too short", errMalformed, len(record))
	}
	n := 1 + int(record[0])
	return string(record[1:n]), record[n:], nil
}
