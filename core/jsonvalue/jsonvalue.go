package jsonvalue

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/juju/errors"
)

// DecodeOnly decodes a value and returns an error unless it is the only one in the decoder's input.
//
// Decoder.More does not tell this: it is for the elements of arrays and objects, and returns false before any closing bracket.
func DecodeOnly(decoder *json.Decoder, target any) error {
	if err := decoder.Decode(target); err != nil {
		return err
	}
	switch _, err := decoder.Token(); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return errors.Annotate(err, "bytes after the JSON value")
	}
	return errors.New("more than one JSON value")
}

// Shape lists the fields that an object, or each object of a list, must have.
type Shape struct {
	Required []string
	Fields   map[string]Shape // shapes of the values of fields, which need not be required
}

// Unmarshal is json.Unmarshal for messages that must be complete and have one meaning only: it returns an error for a missing field, for
// bytes that are not UTF-8, and for keys of an object that differ at most in case, of which json.Unmarshal would keep the last one.
func Unmarshal(encoded []byte, target any, shape Shape) error {
	if err := json.Unmarshal(encoded, target); err != nil {
		return err
	}
	if !utf8.Valid(encoded) {
		return errors.New("text is not UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.UseNumber() // a number that overflows a float64 may stand in a field that is ignored
	_, err := checkValue(decoder, shape)
	return err // the recursion ends, since json.Unmarshal refuses values that are nested too deeply
}

// checkValue reads a value and compares it with a shape. It returns whether the value is null.
func checkValue(decoder *json.Decoder, shape Shape) (isNull bool, err error) {
	token, err := decoder.Token()
	if err != nil {
		return false, err
	}
	switch token {
	case json.Delim('{'):
		return false, checkObject(decoder, shape)
	case json.Delim('['):
		for decoder.More() {
			isNull, err := checkValue(decoder, shape)
			if err == nil && isNull && len(shape.Required) > 0 {
				err = errors.New("null in a list of objects")
			}
			if err != nil {
				return false, err
			}
		}
		_, err := decoder.Token()
		return false, err
	}
	return token == nil, nil
}

func checkObject(decoder *json.Decoder, shape Shape) error {
	seen := make(map[string]bool)    // keys in lower case
	present := make(map[string]bool) // keys as they are sent, with a value
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		key := token.(string) // the decoder returns an error for other keys
		folded := strings.ToLower(key)
		if seen[folded] {
			return errors.Errorf("key %q stands twice", key)
		}
		seen[folded] = true
		isNull, err := checkValue(decoder, shape.Fields[key])
		if err != nil {
			return errors.Annotate(err, key)
		}
		present[key] = !isNull
	}
	for _, key := range shape.Required {
		if !present[key] {
			return errors.Errorf("%s is missing", key)
		}
	}
	_, err := decoder.Token()
	return err
}
