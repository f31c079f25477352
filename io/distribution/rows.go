package distribution

import (
	"math/bits"

	"github.com/juju/errors"

	"parsleyport/core"
	"parsleyport/io/frame"
)

const (
	// valuesPerRow is the number of values of a sum on the wire: calls without latency, failures, crashes, lateness and the buckets.
	valuesPerRow = 4 + core.LatencyBuckets
	// maxCodeBits limits the length of a value's code without its leading zeros; a longer one is malformed.
	maxCodeBits = 64
)

// row holds the values of the last sum of a series on a link. The next sum is sent as its difference from that row, since sums of
// the same nodes over equal intervals hardly differ: a value of 30 takes 6 bits on average.
type row [valuesPerRow]uint64

func rowOf(count core.EvidenceCount, lateUnits uint64) row {
	var r row
	calls := count.Calls
	for i, n := range count.Latency {
		calls -= n
		r[4+i] = n
	}
	// A report may count a call before its latency, so that the next report has more latencies than calls.
	r[0], r[1], r[2], r[3] = zigzag(calls), count.Failures, count.Crashes, lateUnits
	return r
}

func (r row) count() (count core.EvidenceCount, lateUnits uint64) {
	count.Calls, count.Failures, count.Crashes = unzigzag(r[0]), r[1], r[2]
	for i := range count.Latency {
		count.Latency[i] = r[4+i]
		count.Calls += r[4+i]
	}
	return count, r[3]
}

// zigzag maps differences of either sign to numbers that are small if the difference is.
func zigzag(n uint64) uint64   { return n<<1 ^ uint64(int64(n)>>63) }
func unzigzag(n uint64) uint64 { return n>>1 ^ -(n & 1) }

// golombOrder returns the order of the exponential Golomb code for the difference from a value: half of the value's bits, since the
// standard deviation of a count is about its square root.
func golombOrder(last uint64) int {
	return (bits.Len64(last) + 1) / 2
}

// bitWriter appends bits; the last byte is padded with zeros.
type bitWriter struct {
	bytes    []byte
	freeBits int // unused bits of the last byte
}

func (w *bitWriter) writeBits(n uint64, width int) {
	for width > 0 {
		if w.freeBits == 0 {
			w.bytes, w.freeBits = append(w.bytes, 0), 8
		}
		taken := min(width, w.freeBits)
		part := n >> (width - taken) & (1<<taken - 1)
		w.bytes[len(w.bytes)-1] |= byte(part << (w.freeBits - taken))
		width -= taken
		w.freeBits -= taken
	}
}

// writeNumber writes the exponential Golomb code of n, which must be below 2^63.
func (w *bitWriter) writeNumber(n uint64, order int) {
	n += 1 << order
	w.writeBits(0, bits.Len64(n)-1-order)
	w.writeBits(n, bits.Len64(n))
}

// writeRow writes the differences between a row and the last one of its series.
func (w *bitWriter) writeRow(r, last row) {
	for i, n := range r {
		w.writeNumber(zigzag(n-last[i]), golombOrder(last[i]))
	}
}

// bitReader reads bits; err is frame.ErrMalformed after a read beyond the end or of a code that is too long.
type bitReader struct {
	bytes       []byte
	bitPosition int // position of the next bit
	err         error
}

func (r *bitReader) readBit() uint64 {
	if r.bitPosition >= 8*len(r.bytes) {
		r.err = errors.Annotate(frame.ErrMalformed, "truncated sum")
		return 1
	}
	n := uint64(r.bytes[r.bitPosition/8] >> (7 - r.bitPosition%8) & 1)
	r.bitPosition++
	return n
}

func (r *bitReader) readNumber(order int) uint64 {
	width := order
	for r.readBit() == 0 {
		if width++; width >= maxCodeBits {
			r.err = errors.Annotate(frame.ErrMalformed, "code of a value in a sum is too long")
			return 0
		}
	}
	n := uint64(1)
	for range width {
		n = n<<1 | r.readBit()
	}
	return n - 1<<order
}

func (r *bitReader) readRow(last row) (read row) {
	for i := range read {
		read[i] = last[i] + unzigzag(r.readNumber(golombOrder(last[i])))
	}
	return read
}
