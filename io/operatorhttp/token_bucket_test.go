package operatorhttp

import (
	"net/http"
	"net/url"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a token bucket that admits more than its rate, never refills, or returns too short a wait.
func TestTokenBucketKeepsItsRate(t *testing.T) {
	bucket, now, admitted := newTokenBucket(Rate{PerSecond: 5, Burst: 20}), time.Unix(1_800_000_000, 0), 0
	for range 100 { // 10 s
		for range 3 {
			if bucket.take(now, 1) == 0 {
				admitted++
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	qt.Assert(t, admitted, qt.Equals, 20+5*99/10)
	wait := bucket.take(now, 20)
	qt.Assert(t, bucket.take(now.Add(wait-time.Millisecond), 20) > 0, qt.IsTrue)
	qt.Assert(t, bucket.take(now.Add(wait+time.Microsecond), 20), qt.Equals, time.Duration(0))
	cost := costOf(&http.Request{Method: http.MethodPost, URL: &url.URL{Path: submissionsPath}, ContentLength: -1})
	qt.Assert(t, cost, qt.Equals, float64(MaxCost)) // long refused commands would keep the leader's disk busy
}
