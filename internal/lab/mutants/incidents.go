package mutants

// Incidents are the mutants of the fixes that docs/incidents describes.
var Incidents = []Mutant{
	{"messages counted as calls", "internal/front/thrift.go", "		case h.Type == thrift.Call && h.Name == serveMethod:\n", "		case true:\n", "./internal/front", "TestCallsAfterForgetsInOneInputAreAccepted"},
	{"calls given up counted as awaited", "internal/decide/conns/calls.go", "	c.awaited--\n	return call.id, true\n", "	return call.id, true\n", "./internal/front", "TestCallsThatWereGivenUpDoNotCountAsAwaited"},
	{"calls over the limit accepted", "internal/decide/conns/calls.go", "	rejection.all = awaited > MaxAwaited\n", "	rejection.all = false\n", "./internal/front", "TestCallsOverLimitAreRejected"},
	{"unanswered calls not bounded", "internal/front/session.go", "	case full || rejection.Rejects(h.Seq):\n", "	case full && false || rejection.Rejects(h.Seq):\n", "./internal/front", "TestUnansweredCallsAreBounded"},
	{"place freed before the close", "internal/front/closing.go", "			s.table.StartClosing(f)\n", "			s.table.Remove(f)\n", "./internal/front", "TestConnectionBeingClosedKeepsItsPlace"},
	{"repeat of a caller that has gone waits", "internal/replica/replica.go", "		r.answer(req, Answer{Kind: Failed})\n		r.remove(req)\n		return\n", "		return\n", "./internal/replica", "TestRepeatOfRunningAttemptEndsWhenItsCallerIsGone"},
	{"run in doubt ended with its answer only", "internal/replica/policy_host.go", "r.clock.AfterFunc(wait, func()", "r.clock.AfterFunc(wait+time.Hour, func()", "./internal/replica", "TestRunInDoubtEndsWhenItsCallerIsGone"},
	{"run in doubt ended at the forget", "internal/replica/policy_host.go", "r.clock.AfterFunc(wait, func()", "r.clock.AfterFunc(0*wait, func()", "./internal/replica", "TestRunInDoubtServesRepeatsWhenItEnds"},
	{"reply written again on a new link", "internal/replica/index_calls.go", "	case c.unsent, mayBeLost && c.skip:\n", "	case c.unsent, mayBeLost:\n", "./internal/replica", "TestReplyThatMayBeReadIsNotSentAgain"},
}
