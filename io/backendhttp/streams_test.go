package backendhttp

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against calls with long bodies that take all slots, that lose their turn, or that wait for a place until their deadline.
func TestStreamPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var places streamPlaces
		results := make(chan int, 100)
		acquire := func(ctx context.Context, number int) {
			now := time.Now()
			if places.acquire(ctx, 8, now, now.Add(40*time.Second)) {
				results <- number
			} else {
				results <- -number
			}
		}
		for i := range 6 {
			acquire(context.Background(), i+1)
			c.Assert(<-results, qt.Equals, i+1)
		}
		ctx, cancel := context.WithCancel(context.Background())
		for i, each := range []context.Context{context.Background(), ctx, context.Background(), context.Background()} {
			go acquire(each, i+11)
			synctest.Wait()
		}
		places.release()
		c.Assert(<-results, qt.Equals, 11)
		cancel()
		c.Assert(<-results, qt.Equals, -12)
		places.release()
		c.Assert(<-results, qt.Equals, 13)
		time.Sleep(9 * time.Second)
		synctest.Wait()
		c.Assert(results, qt.HasLen, 0)
		time.Sleep(time.Second)
		c.Assert(<-results, qt.Equals, -14)
		for range 6 {
			places.release()
		}
		c.Assert(places.taken, qt.Equals, 0)
		for i := range 15 {
			go acquire(context.Background(), i+1)
		}
		synctest.Wait()
		c.Assert(results, qt.HasLen, 6+1) // six have places, eight wait, one is refused at once
		for range 6 + 8 {
			places.release()
		}
		synctest.Wait()
		c.Assert(places.taken, qt.Equals, 0)
	})
}
