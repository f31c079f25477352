package idempotency

import "time"

// HolderCount is the number of nodes that hold each key. A claim needs a majority of them.
const HolderCount = 3

// JoinLag is how long a node that joins a service may be unknown to an entry node.
const JoinLag = 10 * time.Second

// Reply is what one holder said about a claim.
type Reply struct {
	Reached          bool
	CompleteMemory   bool // the holder remembers all claims of the window that it has granted
	ContinuousMemory bool // and it could be asked for the whole window, so that it was not restarted in it
	RecentlyJoined   bool // the holder is known to have joined the service within the window for the first time
	Restarted        bool // the holder was known before it announced the service, so that it has been restarted
	Verdict          Verdict
	Answer           *RecordedAnswer
}

// fixed reports whether the node is one of the key's holders as far as can be told. A node that has just joined is not, and
// is asked only so that it remembers. One that was restarted is, because it may have granted the key before; so is one
// that is out of reach, whatever it is.
func (r Reply) countsAsHolder() bool {
	return !r.Reached || r.CompleteMemory || !r.RecentlyJoined
}

// votes reports whether the node is certainly a holder. One without a whole memory may have joined after an earlier claim,
// unless it is known to have been restarted.
func (r Reply) canVote() bool {
	return r.Reached && r.countsAsHolder() && (r.CompleteMemory || r.Restarted)
}

// Enough reports whether the replies so far, in the order of Holders.Choose, decide a claim: someone else has the key, or
// HolderCount nodes that certainly hold it know of the claim. Others may stand before these for this entry node alone.
func IsDecided(replies []Reply) bool {
	voters := 0
	for _, reply := range replies {
		if reply.Reached && reply.Verdict != VerdictGranted {
			return true
		}
		if reply.canVote() {
			voters++
		}
	}
	return voters >= HolderCount
}

// Combine decides a claim from the replies in the order of Holders.Choose: it must have won at each node that was reached.
// Among the key's holders, which are the first HolderCount that are fixed, a majority must vote for it, and either one
// must have an unbroken memory or so many whole ones that each majority has one of them.
//
// Of two claims for one key at most one has the majority, also if the entry nodes reach different nodes. A node with an
// unbroken memory knows the claims that others have forgotten in a crash; one that took its memory back after a planned
// stop lacks the claims that the others granted meanwhile. To ask for several whole memories always would also withstand
// a crash between two claims that miss different holders, but two crashes in 10 min would then refuse many keys.
func DecideClaim(replies []Reply) (Verdict, *RecordedAnswer) {
	holders, votes, completeMemories, continuous := 0, 0, 0, false
	verdict, answer := VerdictGranted, (*RecordedAnswer)(nil)
	for _, reply := range replies {
		if reply.Reached && precedence(reply.Verdict) > precedence(verdict) {
			verdict, answer = reply.Verdict, reply.Answer
		}
		if holders == HolderCount || !reply.countsAsHolder() {
			continue
		}
		holders++
		if reply.canVote() {
			votes++
		}
		if reply.CompleteMemory {
			completeMemories++
		}
		continuous = continuous || reply.ContinuousMemory
	}
	remembered := continuous || completeMemories > 0 && 2*completeMemories >= holders
	if verdict == VerdictGranted && (!remembered || votes <= holders/2) {
		return VerdictUnknown, nil
	}
	return verdict, answer
}

// rank orders verdicts by how much they say: a recorded answer settles everything, a grant only what is left.
func precedence(verdict Verdict) int {
	switch verdict {
	case VerdictAnswered:
		return 5
	case VerdictConflict:
		return 4
	case VerdictRunning:
		return 3
	case VerdictUnknown:
		return 2
	case VerdictFull:
		return 1
	}
	return 0
}
