package bodycredit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"parsleyport/core/bodycredit"
)

const linkBytesPerSecond = 1_375_000 // 11 Mbit/s

// upload is a call of the replayed load.
type upload struct {
	softDeadline time.Time
	bytes, left  int
}

// replay sends uploads over a link at twice its rate for six seconds. With pacing, the scheduler decides; otherwise all bodies share
// the link in the order of arrival. It returns the share of bytes that were answered on time, and the longest backlog of the link.
func replay(seed uint64, paced bool) (onTime float64, backlog time.Duration) {
	const step = time.Millisecond
	random := rand.New(rand.NewPCG(seed, 1))
	scheduler := bodycredit.New(linkBytesPerSecond)
	start := time.Unix(1_700_000_000, 0)
	uploads := make(map[bodycredit.Ticket]*upload)
	var link []bodycredit.Grant // bytes on their way, in order
	sent, served, linkBytes := 0, 0, 0
	unpaced := bodycredit.Ticket(1 << 32)
	for at, i := start, 0; at.Before(start.Add(10 * time.Second)); at, i = at.Add(step), i+1 {
		if at.Before(start.Add(6*time.Second)) && random.Float64() < 2*linkBytesPerSecond/60_000*step.Seconds() {
			u := &upload{
				softDeadline: at.Add(1500 * time.Millisecond),
				bytes:        20_000 + random.IntN(80_000),
			}
			u.left, sent = u.bytes, sent+u.bytes
			if paced {
				if ticket, accepted := scheduler.Arrive(at, bodycredit.Request{
					Bytes:        u.bytes,
					SoftDeadline: u.softDeadline,
					Deadline:     at.Add(4 * time.Second),
					Work:         150 * time.Millisecond,
				}); accepted {
					uploads[ticket] = u
				}
			} else {
				unpaced++
				uploads[unpaced] = u
				link, linkBytes = append(link, bodycredit.Grant{Ticket: unpaced, Bytes: u.bytes}), linkBytes+u.bytes
			}
		}
		for room := int(linkBytesPerSecond * step.Seconds()); room > 0 && len(link) > 0; {
			n := min(room, link[0].Bytes)
			room, linkBytes = room-n, linkBytes-n
			ticket := link[0].Ticket
			if link[0].Bytes -= n; link[0].Bytes == 0 {
				link = link[1:]
			}
			scheduler.Received(at, ticket, n)
			if u := uploads[ticket]; u != nil {
				if u.left -= n; u.left == 0 {
					scheduler.End(ticket)
					if !at.Add(150 * time.Millisecond).After(u.softDeadline) {
						served += u.bytes
					}
				}
			}
		}
		if i%50 == 0 {
			for _, ticket := range scheduler.Overdue(at) {
				scheduler.End(ticket)
				delete(uploads, ticket)
			}
		}
		for _, grant := range scheduler.Grants(at) {
			link, linkBytes = append(link, grant), linkBytes+grant.Bytes
		}
		backlog = max(backlog, time.Duration(float64(linkBytes)/linkBytesPerSecond*float64(time.Second)))
	}
	return float64(served) / float64(sent), backlog
}

// Guards against uploads at twice the rate of a link that all arrive late, and that delay every short message by their backlog. Half
// of the bytes can cross the link in time.
func TestUploadsBeyondTheRateOfALink(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(5) {
		onTime, backlog := replay(seed, true)
		c.Assert(onTime > 0.5, qt.IsTrue, qt.Commentf("seed %d: %.2f of the bytes on time", seed, onTime))
		c.Assert(backlog < 50*time.Millisecond, qt.IsTrue, qt.Commentf("seed %d: backlog %v", seed, backlog))
		unpaced, longest := replay(seed, false)
		c.Assert(unpaced < onTime && longest > time.Second, qt.IsTrue, qt.Commentf("seed %d: %.2f on time and backlog %v without pacing", seed, unpaced, longest))
	}
}

// Guards against credit that is lost when calls end early, which would stop all later bodies.
func TestCreditOfEndedCallsIsReturned(t *testing.T) {
	c := qt.New(t)
	scheduler := bodycredit.New(linkBytesPerSecond)
	now := time.Unix(1_700_000_000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	var open []bodycredit.Ticket
	left := make(map[bodycredit.Ticket]int)
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if ticket, accepted := scheduler.Arrive(now, bodycredit.Request{
			Bytes:    1 + random.IntN(100_000),
			Deadline: now.Add(time.Second),
		}); accepted {
			open = append(open, ticket)
		}
		inFlight := 0
		for _, grant := range scheduler.Grants(now) {
			left[grant.Ticket] += grant.Bytes
		}
		for _, bytes := range left {
			inFlight += bytes
		}
		c.Assert(inFlight <= linkBytesPerSecond/40+bodycredit.ChunkBytes, qt.IsTrue)
		if at := random.IntN(2 * len(open)); at < len(open) {
			scheduler.End(open[at])
			delete(left, open[at])
			open = append(open[:at], open[at+1:]...)
		}
	}
	for _, ticket := range open {
		scheduler.End(ticket)
	}
	c.Assert(scheduler.Waiting(), qt.Equals, 0)
	ticket, accepted := scheduler.Arrive(now, bodycredit.Request{Bytes: 1000, Deadline: now.Add(time.Second)})
	c.Assert(accepted, qt.IsTrue)
	c.Assert(scheduler.Grants(now), qt.DeepEquals, []bodycredit.Grant{{Ticket: ticket, Bytes: 1000}})
}

// Guards against senders that are lost with granted bytes and keep the link from all others, also when many bodies of theirs wait.
func TestGrantsOfLostSendersEnd(t *testing.T) {
	c := qt.New(t)
	for lost := range 6 {
		scheduler, now := bodycredit.New(linkBytesPerSecond), time.Unix(1_700_000_000, 0)
		arrive := func(sender bodycredit.SenderID) bodycredit.Ticket {
			ticket, accepted := scheduler.Arrive(now, bodycredit.Request{Sender: sender, Bytes: 20_000, Deadline: now.Add(time.Minute)})
			c.Assert(accepted, qt.IsTrue)
			return ticket
		}
		for range 10 {
			for sender := range lost {
				arrive(bodycredit.SenderID(100 + sender))
			}
		}
		start := now
		scheduler.Grants(now) // all of it to lost senders, if there are any
		ticket, left, waited := arrive(1), 20_000, time.Duration(0)
		for ; left > 0; now = now.Add(time.Millisecond) {
			for _, grant := range scheduler.Grants(now) {
				if grant.Ticket == ticket {
					scheduler.Received(now, ticket, grant.Bytes)
					left -= grant.Bytes
				}
			}
			waited = now.Sub(start)
			c.Assert(waited < time.Second, qt.IsTrue, qt.Commentf("%d lost senders", lost))
		}
		scheduler.End(ticket)
	}
}

// Guards against a slow sender whose body is given up, or counted twice, because its bytes come after the end of a lease.
func TestSlowSendersAreNotHarmed(t *testing.T) {
	c := qt.New(t)
	scheduler, now := bodycredit.New(linkBytesPerSecond), time.Unix(1_700_000_000, 0)
	const length = 200_000
	slow, accepted := scheduler.Arrive(now, bodycredit.Request{Sender: 1, Bytes: length, Deadline: now.Add(time.Minute)})
	c.Assert(accepted, qt.IsTrue)
	received, outstanding := 0, 0
	for received < length {
		for _, grant := range scheduler.Grants(now) {
			c.Assert(grant.Ticket, qt.Equals, slow)
			outstanding += grant.Bytes
		}
		c.Assert(outstanding > 0 && outstanding <= linkBytesPerSecond/40+bodycredit.ChunkBytes, qt.IsTrue, qt.Commentf("%d bytes outstanding", outstanding))
		now = now.Add(700 * time.Millisecond) // longer than a lease
		c.Assert(scheduler.Grants(now), qt.HasLen, 0)
		arrived := min(outstanding, 5_000)
		scheduler.Received(now, slow, arrived)
		received, outstanding = received+arrived, outstanding-arrived
	}
	scheduler.End(slow)
	c.Assert(scheduler.NextLeaseEnd().IsZero(), qt.IsTrue)
	other, accepted := scheduler.Arrive(now, bodycredit.Request{Sender: 2, Bytes: 1000, Deadline: now.Add(time.Second)})
	c.Assert(accepted, qt.IsTrue)
	c.Assert(scheduler.Grants(now), qt.DeepEquals, []bodycredit.Grant{{Ticket: other, Bytes: 1000}})
}

// Guards against a sender that gets no grants any more although it has cancelled its stalled body and is heard again.
func TestSilentSenderIsHeardAgain(t *testing.T) {
	c := qt.New(t)
	scheduler, now := bodycredit.New(linkBytesPerSecond), time.Unix(1_700_000_000, 0)
	request := bodycredit.Request{Sender: 1, Bytes: 100_000, Deadline: now.Add(time.Minute)}
	first, _ := scheduler.Arrive(now, request)
	second, _ := scheduler.Arrive(now, request)
	c.Assert(len(scheduler.Grants(now)) > 0, qt.IsTrue)
	now = scheduler.NextLeaseEnd()
	c.Assert(scheduler.Grants(now), qt.HasLen, 0)
	scheduler.End(first)
	c.Assert(scheduler.Grants(now), qt.HasLen, 0)
	c.Assert(scheduler.Heard(1), qt.IsTrue)
	c.Assert(scheduler.Heard(1), qt.IsFalse)
	grants := scheduler.Grants(now)
	c.Assert(len(grants) > 0 && grants[0].Ticket == second, qt.IsTrue)
}
