package idempotency

import "time"

// HolderCount is the number of nodes that hold each key. A claim needs a majority of them.
const HolderCount = 3

// JoinLag is the maximum time for which a node that joins a service may be unknown to an entry node.
const JoinLag = 10 * time.Second

// Reply is one holder's reply to a claim.
type Reply struct {
	Reached          bool
	CompleteMemory   bool // the holder has all claims that it granted within the window
	ContinuousMemory bool // and has been running for the whole window
	RecentlyJoined   bool // the holder is known to have joined the service for the first time within the window
	Restarted        bool // the holder was known before it announced the service, so it has restarted
	Verdict          Verdict
	Answer           *RecordedAnswer
}

// countsAsHolder reports whether the node must be counted among the key's holders. A node that has recently joined is not; it is
// asked only so that it stores the claim. A restarted node is, because it may have granted the key before, and so is any
// unreachable node.
func (r Reply) countsAsHolder() bool {
	return !r.Reached || r.CompleteMemory || !r.RecentlyJoined
}

// canVote reports whether the node is certainly a holder. Without a complete memory, it may have joined after an earlier claim,
// unless it is known to have restarted.
func (r Reply) canVote() bool {
	return r.Reached && r.countsAsHolder() && (r.CompleteMemory || r.Restarted)
}

// IsDecided reports whether the replies so far, in the order of Holders.Choose, decide a claim: either a reached node has not granted
// it, or HolderCount nodes that can vote have stored it. Others do not count, since perhaps only this entry node ranks them so high.
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

// DecideClaim combines the replies to a claim, in the order of Holders.Choose. The claim is granted if every reached node has
// granted it, a majority of the key's holders (the first HolderCount nodes that count as holders) can vote, and either one of them
// has a continuous memory, or so many have a complete one that every majority includes one of these.
//
// At most one of two claims for a key gets the majority, even if the entry nodes reach different nodes. A node with a continuous
// memory has the claims that others have lost in a crash; a node that restored its memory after a planned stop lacks the claims
// that the others granted meanwhile. Always requiring several complete memories would also tolerate a crash between two claims that
// miss different holders, but two crashes within 10 min would then refuse many keys.
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
	memorySuffices := continuous || completeMemories > 0 && 2*completeMemories >= holders
	if verdict == VerdictGranted && (!memorySuffices || votes <= holders/2) {
		return VerdictUnknown, nil
	}
	return verdict, answer
}

// precedence orders verdicts by how conclusive they are, from a grant up to a recorded answer.
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
