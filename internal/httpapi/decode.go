package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"unicode/utf8"
)

// decodeStrict reads one JSON object with no unknown fields, no name that
// stands twice, and nothing behind it. Whatever a lenient reader would drop or
// replace is refused: it would answer another request than the one sent.
func decodeStrict(data []byte, v any) *Problem {
	if fault := decodeFault(data, v); fault != "" {
		return refusal(http.StatusBadRequest, fault)
	}
	return nil
}

func decodeFault(data []byte, v any) string {
	trimmed := bytes.TrimLeft(data, " \t\r\n")
	switch {
	case len(trimmed) == 0:
		return "the body is empty; a JSON object is expected"
	case trimmed[0] != '{':
		return "the body is not a JSON object"
	case !utf8.Valid(data):
		return "the body is not UTF-8"
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return describe(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return "something stands behind the JSON object"
	}
	if name, twice := duplicateName(data); twice {
		return fmt.Sprintf("the field %q stands twice", shorten(name))
	}
	return ""
}

// describe turns a decoder's error into words without the names of Go types.
func describe(err error) string {
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		return fmt.Sprintf("the field %q can't take a %s", wrongType.Field, shorten(wrongType.Value))
	case errors.As(err, &syntax):
		return fmt.Sprintf("the body is not JSON: %s at byte %d", syntax.Error(), syntax.Offset)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the JSON ends early"
	default:
		return shorten(strings.TrimPrefix(err.Error(), "json: "))
	}
}

// maxShown bounds how much of a client's text an error repeats, in bytes.
const maxShown = 100

func shorten(s string) string {
	if len(s) <= maxShown {
		return s
	}
	return strings.ToValidUTF8(s[:maxShown], "") + "…"
}

// object is a JSON object or array that duplicateName is inside of.
type object struct {
	names    map[string]bool // nil for an array
	nameNext bool
}

// duplicateName finds a name that stands twice in one object of valid JSON.
// Case doesn't tell names apart: encoding/json lets "MODEL" set model.
func duplicateName(data []byte) (string, bool) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var open []object
	for {
		token, err := dec.Token()
		if err != nil {
			return "", false // the end; the JSON was valid
		}
		switch token {
		case json.Delim('{'):
			open = append(open, object{names: map[string]bool{}, nameNext: true})
			continue
		case json.Delim('['):
			open = append(open, object{})
			continue
		case json.Delim('}'), json.Delim(']'):
			open = open[:len(open)-1]
		}
		if len(open) == 0 {
			continue
		}
		top := &open[len(open)-1]
		if name, isName := token.(string); isName && top.nameNext {
			folded := strings.ToLower(name)
			if top.names[folded] {
				return name, true
			}
			top.names[folded] = true
			top.nameNext = false
			continue
		}
		top.nameNext = top.names != nil
	}
}
