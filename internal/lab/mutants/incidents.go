package mutants

// Incidents are the mutants of the fixes that docs/incidents describes.
var Incidents = []Mutant{
	{"messages counted as calls", "internal/front/session.go", "s.calls.Check(s.now(), listCalls(buf))", "s.calls.Check(s.now(), conns.Input{Opened: make([]conns.Call, countMessages(buf))})", "./internal/front", "TestCallsAfterForgetsInOneInputAreAccepted"},
	{"calls given up counted as awaited", "internal/decide/conns/calls.go", "	c.unanswered[seq] = openCall{Call: call.Call, givenUp: true}\n	c.givenUp++\n", "", "./internal/front", "TestCallsThatWereGivenUpDoNotCountAsAwaited"},
	{"calls counted as awaited beyond their limit", "internal/decide/conns/calls.go", "return c.Until != 0 && now >= c.Until", "return false && now >= c.Until", "./internal/front", "TestCallsWhoseWaitIsOverDoNotCountAsAwaited"},
	{"calls over the limit accepted", "internal/decide/conns/calls.go", "	rejection.all = awaited > MaxAwaited\n", "	rejection.all = false\n", "./internal/front", "TestCallsOverLimitAreRejected"},
	{"unanswered calls not bounded", "internal/front/session.go", "	case full || rejection.Rejects(h.Seq):\n", "	case full && false || rejection.Rejects(h.Seq):\n", "./internal/front", "TestUnansweredCallsAreBounded"},
	{"entries of ended requests kept", "policy/policy.go", "	c.pruneQueues()\n", "", "./policy", "TestQueuesAreBoundedByWhatIsHeld"},
	{"expired keys dropped one a tick", "internal/replica/key_table.go", "	for len(t.expiries) > 0 && t.expiries[0].dropAt < now {", "	if len(t.expiries) > 0 && t.expiries[0].dropAt < now {", "./internal/replica", "TestExpiredKeysAreDroppedAtOnce"},
	{"timers of ended requests kept", "internal/replica/replica.go", "	for _, stop := range req.stopTimers {", "	for _, stop := range req.stopTimers[:0] {", "./internal/replica", "TestTimersEndWithTheirRequests"},
	{"doubt not handed on", "internal/decide/handover/claims.go", "func (b *Claims) ReceiveDoubt(d Doubt) { b.doubt = b.doubt.join(d) }", "func (b *Claims) ReceiveDoubt(d Doubt) { b.doubt = b.doubt.join(Doubt{}) }", "./internal/replica", "TestDoubtIsHandedOn"},
	{"calls of ended connections kept", "internal/front/session.go", "	for _, txn := range gone {", "	for _, txn := range gone[:0] {", "./internal/front", "TestOpenCallsOfAClientThatLeftAreGivenUp"},
	{"unread input processed after the close", "internal/front/server.go", "	if w.peerClosed() { // while", "	if false && w.peerClosed() { // while", "./internal/front", "TestUnreadRequestsOfAClientThatLeftAreDropped"},
	{"place freed before the close", "internal/front/closing.go", "			s.table.StartClosing(f)\n", "			s.table.Remove(f)\n", "./internal/front", "TestConnectionBeingClosedKeepsItsPlace"},
	{"repeat of a caller that has gone waits", "internal/replica/replica.go", "		r.answer(req, Answer{Kind: Failed})\n		r.remove(req)\n		return\n", "		return\n", "./internal/replica", "TestRepeatOfRunningAttemptEndsWhenItsCallerIsGone"},
	{"run in doubt ended with its answer only", "internal/replica/policy_host.go", "r.clock.AfterFunc(wait, func()", "r.clock.AfterFunc(wait+time.Hour, func()", "./internal/replica", "TestRunInDoubtEndsWhenItsCallerIsGone"},
	{"run in doubt ended at the forget", "internal/replica/policy_host.go", "r.clock.AfterFunc(wait, func()", "r.clock.AfterFunc(0*wait, func()", "./internal/replica", "TestRunInDoubtServesRepeatsWhenItEnds"},
	{"reply written again on a new link", "internal/replica/index_calls.go", "	case c.unsent, mayBeLost && c.skip:\n", "	case c.unsent, mayBeLost:\n", "./internal/replica", "TestReplyThatMayBeReadIsNotSentAgain"},
}
