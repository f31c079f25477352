package quota

import "time"

// count is the number of events in a sliding window. It errs upwards: an event leaves up to one bucket late.
type count struct {
	buckets []uint32 // ring, indexed by bucket number
	bucket  time.Duration
	newest  int64 // number of the newest bucket
	sum     int
}

func newCount(window, bucket time.Duration) count {
	return count{
		buckets: make([]uint32, (window+bucket-1)/bucket+1),
		bucket:  bucket,
	}
}

// advance drops the buckets that have left the window. A time before the newest bucket counts as that bucket.
func (c *count) advance(now time.Duration) {
	number := int64(now / c.bucket)
	if number <= c.newest {
		return
	}
	if c.sum == 0 || number-c.newest >= int64(len(c.buckets)) {
		if c.sum > 0 {
			clear(c.buckets)
		}
		c.newest, c.sum = number, 0
		return
	}
	for c.newest < number {
		c.newest++
		slot := &c.buckets[c.newest%int64(len(c.buckets))]
		c.sum -= int(*slot)
		*slot = 0
	}
}

// add counts one event at the time of the last advance.
func (c *count) add() {
	c.buckets[c.newest%int64(len(c.buckets))]++
	c.sum++
}

// remove takes back one event at an earlier time, unless it has left the window.
func (c *count) remove(at time.Duration) {
	number := min(int64(at/c.bucket), c.newest)
	if c.newest-number >= int64(len(c.buckets)) {
		return
	}
	if slot := &c.buckets[number%int64(len(c.buckets))]; *slot > 0 {
		*slot--
		c.sum--
	}
}

// recent returns the number of events in the newest n buckets.
func (c *count) recent(n int) int {
	sum := 0
	for i := range int64(min(n, len(c.buckets))) {
		if c.newest-i < 0 {
			break
		}
		sum += int(c.buckets[(c.newest-i)%int64(len(c.buckets))])
	}
	return sum
}

// nextExpiry returns when the oldest event leaves the window; the count must not be empty.
func (c *count) nextExpiry() time.Duration {
	size := int64(len(c.buckets))
	for number := max(c.newest-size+1, 0); number <= c.newest; number++ {
		if c.buckets[number%size] > 0 {
			return time.Duration(number+size) * c.bucket
		}
	}
	return time.Duration(c.newest) * c.bucket
}
