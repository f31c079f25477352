package packed_test

import (
	"bytes"
	"io"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core/packed"
)

// Guards against a short message that ends the process, by a length that exceeds the message or by deep nesting that overflows the
// stack. Also guards against refusing a valid message.
func TestOnlyCompleteValuesAreDecoded(t *testing.T) {
	c := qt.New(t)
	type item struct{ A, B uint64 }
	var items []item
	c.Assert(packed.Decode([]byte("\xdd\xcd\xcd\xcd\xcd\xc0"), &items), qt.Equals, io.ErrUnexpectedEOF)
	var known struct{ A []item }
	c.Assert(packed.Decode(append([]byte("\x81\xa1x"), bytes.Repeat([]byte{0x91}, 20_000_000)...), &known), qt.Equals, packed.ErrTooDeep)

	long := string(make([]byte, 70_000))
	valid := map[string]any{
		"": nil, "b": true, "i": []int64{-1, -40, math.MinInt8, math.MinInt16, math.MinInt32, math.MinInt64},
		"u": []uint64{1, 200, 60_000, 1 << 20, 1 << 40}, "f": []any{float32(1.5), 1.5}, "t": time.Unix(1, 1),
		"s": []string{"a", long[:40], long[:300], long}, "n": []byte(long), "m": map[string]item{"x": {}}, "a": make([]int, 70_000),
	}
	encoded, err := msgpack.Marshal(valid)
	c.Assert(err, qt.IsNil)
	var want, got any
	c.Assert(msgpack.Unmarshal(encoded, &want), qt.IsNil)
	c.Assert(packed.Decode(encoded, &got), qt.IsNil)
	c.Assert(got, qt.DeepEquals, want)
	for _, length := range []int{0, 1, len(encoded) / 2, len(encoded) - 1} {
		c.Assert(packed.Decode(encoded[:length], &got), qt.Equals, io.ErrUnexpectedEOF)
	}
}
