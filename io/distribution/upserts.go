package distribution

import (
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"parsleyport/core"
)

// endpointFields is the number of fields of an endpoint on the wire.
const endpointFields = 9

// upserts encodes each endpoint as an array, since the names of the fields would take two thirds of a message with one endpoint.
// Newer versions may append fields. Versions that send maps can read arrays too, but only of exactly endpointFields elements.
type upserts []core.Endpoint

var (
	_ msgpack.CustomEncoder = upserts(nil)
	_ msgpack.CustomDecoder = (*upserts)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (u upserts) EncodeMsgpack(encoder *msgpack.Encoder) error {
	if err := encoder.EncodeArrayLen(len(u)); err != nil {
		return err
	}
	for _, e := range u {
		if err := encodeEndpoint(encoder, e); err != nil {
			return err
		}
	}
	return nil
}

func encodeEndpoint(encoder *msgpack.Encoder, e core.Endpoint) error {
	if err := encoder.EncodeArrayLen(endpointFields); err != nil {
		return err
	}
	for _, encode := range []func() error{
		func() error { return encoder.EncodeString(string(e.Node)) },
		func() error { return encoder.EncodeUint(uint64(e.Incarnation)) },
		func() error { return encoder.EncodeUint(e.Sequence) },
		func() error { return encoder.EncodeString(string(e.DataCentre)) },
		func() error { return encoder.EncodeString(e.Address) },
		func() error { return encoder.EncodeString(string(e.Service)) },
		func() error { return encoder.EncodeString(string(e.Release)) },
		func() error { return encoder.EncodeInt(int64(e.Slots)) },
		func() error { return encoder.EncodeString(string(e.State)) },
	} {
		if err := encode(); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder; it also reads endpoints encoded as maps by earlier versions.
func (u *upserts) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	*u = nil
	for range count { // nil has length -1
		endpoint, err := decodeEndpoint(decoder)
		if err != nil {
			return err
		}
		*u = append(*u, endpoint)
	}
	return nil
}

func decodeEndpoint(decoder *msgpack.Decoder) (core.Endpoint, error) {
	var e core.Endpoint
	code, err := decoder.PeekCode()
	if err != nil {
		return e, err
	}
	if !msgpcode.IsFixedArray(code) {
		return e, decoder.Decode(&e)
	}
	fields, err := decoder.DecodeArrayLen()
	if err != nil {
		return e, err
	}
	if fields < endpointFields {
		return e, errors.Errorf("endpoint has %d fields, expected at least %d", fields, endpointFields)
	}
	if err := decoder.DecodeMulti(&e.Node, &e.Incarnation, &e.Sequence, &e.DataCentre, &e.Address, &e.Service, &e.Release, &e.Slots, &e.State); err != nil {
		return e, err
	}
	for range fields - endpointFields {
		if err := decoder.Skip(); err != nil {
			return e, err
		}
	}
	return e, nil
}
