package mutants

// Overloads are the mutants of fleet-wide load shedding and of probes shared by the fleet.
var Overloads = []Mutant{
	{"tenant shares counted per box", "internal/fleet/view/load.go", "	was := l.shedder.Level()\n", "	was := l.shedder.Level()\n	l.Sums.Tenants = l.Own.Tenants\n", "./internal/fleet/view", "TestBoxesAgreeOnAdvice"},
	{"retry budget counted per box", "internal/fleet/view/load.go", "	was := l.shedder.Level()\n", "	was := l.shedder.Level()\n	l.Sums.First, l.Sums.Further = l.Own.First, l.Own.Further\n", "./internal/fleet/view", "TestBoxesAgreeOnAdvice"},
	{"every box sheds the whole excess", "internal/decide/shed/shed.go", "				a.Tenants[name] = a.Trust * (1 - shares[name]/o)\n", "				a.Tenants[name] = min(1, a.Trust*(1-shares[name]/o)*float64(v.Boxes))\n", "./internal/decide/shed", "TestShedLoadEqualsExcess"},
	{"retry-after delay the same for all", "internal/decide/shed/shed.go", "math.Max(0, math.Min(1, u))*float64(a.RetryWindow[1]-a.RetryWindow[0])", "math.Max(0, math.Min(1, 0*u))*float64(a.RetryWindow[1]-a.RetryWindow[0])", "./internal/decide/shed", "TestRetryWindowMatchesFreeCapacity"},
	{"stale view trusted", "internal/decide/shed/shed.go", "	return max(0, min(1, age, coverage))\n", "	return max(0, min(1, 1+0*age, coverage))\n", "./internal/decide/shed", "TestTrust"},
	{"level without hysteresis", "internal/decide/shed/shed.go", "	exitFor           = 30 * time.Second", "	exitFor           = 0 * time.Second", "./internal/decide/shed", "TestLevelChangesSeldom"},
	{"level set by each box", "internal/decide/shed/shed.go", "	if !v.IsLeader && trust > 0 {", "	if !v.IsLeader && trust > 9 {", "./internal/decide/shed", "TestLevelFollowsLeader"},
	{"one probe result takes a box out", "internal/decide/probes/probes.go", "	case down >= 2:\n", "	case down >= 1:\n", "./internal/decide/probes", "TestVerdictNeedsTwoBoxesForDown"},
	{"reconnects at the same time", "internal/decide/probes/probes.go", "	return time.Duration(clampUnit(u) * float64(span))\n", "	return time.Duration(clampUnit(1+0*u) * float64(span))\n", "./internal/decide/probes", "TestReconnectsStayWithinDependencyCapacity"},
	{"all boxes send the second probe", "internal/decide/probes/pace.go", "	if verdict == Doubtful && p.doubtSince == 0 {", "	if false {", "./internal/decide/probes", "TestOutageRequestRateAndReturn"},
	{"reported capacity not limited", "internal/fleet/view/view.go", "		capacity := min(h.Capacity, cap)\n", "		capacity := max(h.Capacity, 0*cap)\n", "./internal/fleet/view", "TestFalseSummaryMovesSumsWithinLimits"},
	{"summary of an earlier session accepted", "internal/fleet/view/view.go", "known && (s.Session < was.Session || s.Session == was.Session", "known && (s.Session == was.Session", "./internal/fleet/view", "TestViewRejectsInvalidSummaries"},
	{"summary of a shut-out box accepted", "internal/fleet/view/exchange.go", "	case p.Member != nil && !p.Member(from):\n", "	case false:\n", "./internal/fleet/view", "TestExchangeRejectsInvalidMessages"},
	{"advice applied without trust", "internal/decide/shed/shed.go", "	if a.Trust == 0 {\n		return w\n	}\n", "", "./internal/decide/shed", "TestAdviceForRequests"},
	{"fleet rejections counted as a full box", "internal/fleet/view/meter.go", "	own, served := rate(t.RejectedLocally, was.RejectedLocally), ", "	own, served := rate(t.RejectedLocally, was.RejectedLocally)+rate(t.RejectedByFleet, was.RejectedByFleet), ", "./internal/fleet/view", "TestCapacityMeasurement"},
	{"non-compliant callers rejected first", "internal/replica/replica.go", "	if r.compliance.Observe(req.Caller, req.Rank) {", "	if r.compliance.Observe(req.Caller, req.Rank) && false {", "./internal/lab/model", "TestFleetOutperformsBoxesAlone"},
	{"signal ignores the mean of all boxes", "policy/signals.go", "*(max(c.meanLevel, own-levelExcess)-own)", "*(max(c.meanLevel, own-levelExcess)-own)*0", "./policy", "TestSignalBlendsWithMeanOfServers"},
	{"request handled under a later advice version", "policy/rejection.go", "Version: r.Peers.Version}", "Version: r.Peers.Version + 1}", "./internal/replica", "TestRequestKeepsAdviceVersionItWasReadUnder"},
	{"no retry advised though peers have room", "policy/rejection.go", "		othersReject = others.Full\n", "		othersReject = true\n", "./policy", "TestPeerStateDecidesRejectionAdvice"},
}
