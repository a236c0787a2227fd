package mutants

// Overloads are those of overload handled as one, and of asking together.
var Overloads = []Mutant{
	{"share counted locally", "internal/fleet/view/load.go", "	was := l.shedder.Level()\n", "	was := l.shedder.Level()\n	l.Sums.Tenants = l.Own.Tenants\n", "./internal/fleet/view", "TestBoxesAgreeOnAdvice"},
	{"budget of tries per box", "internal/fleet/view/load.go", "	was := l.shedder.Level()\n", "	was := l.shedder.Level()\n	l.Sums.First, l.Sums.Further = l.Own.First, l.Own.Further\n", "./internal/fleet/view", "TestBoxesAgreeOnAdvice"},
	{"excess shed by every box", "internal/decide/shed/shed.go", "				a.Tenants[name] = a.Trust * (1 - shares[name]/o)\n", "				a.Tenants[name] = min(1, a.Trust*(1-shares[name]/o)*float64(v.Boxes))\n", "./internal/decide/shed", "TestShedLoadEqualsExcess"},
	{"later the same for all", "internal/decide/shed/shed.go", "math.Max(0, math.Min(1, u))*float64(a.RetryWindow[1]-a.RetryWindow[0])", "math.Max(0, math.Min(1, 0*u))*float64(a.RetryWindow[1]-a.RetryWindow[0])", "./internal/decide/shed", "TestRetryWindowMatchesFreeCapacity"},
	{"stale view believed", "internal/decide/shed/shed.go", "	return max(0, min(1, age, heard))\n", "	return max(0, min(1, 1+0*age, heard))\n", "./internal/decide/shed", "TestTrust"},
	{"level without hysteresis", "internal/decide/shed/shed.go", "	exitFor           = 30 * time.Second", "	exitFor           = 0 * time.Second", "./internal/decide/shed", "TestLevelChangesSeldom"},
	{"a level for each box", "internal/decide/shed/shed.go", "	if !v.IsLeader && trust > 0 {", "	if !v.IsLeader && trust > 9 {", "./internal/decide/shed", "TestLevelFollowsLeader"},
	{"one reading takes a box out", "internal/decide/probes/probes.go", "	case down >= 2:\n", "	case down >= 1:\n", "./internal/decide/probes", "TestVerdictNeedsTwoBoxesForDown"},
	{"reconnects in step", "internal/decide/probes/probes.go", "	return time.Duration(clampUnit(u) * float64(span))\n", "	return time.Duration(clampUnit(1+0*u) * float64(span))\n", "./internal/decide/probes", "TestReconnectsStayWithinDependencyCapacity"},
	{"all give the second opinion", "internal/decide/probes/pace.go", "	if verdict == Doubtful && p.doubtSince == 0 {", "	if false {", "./internal/decide/probes", "TestOutageRequestRateAndReturn"},
	{"a liar unclamped", "internal/fleet/view/view.go", "		capacity := min(h.Capacity, cap)\n", "		capacity := max(h.Capacity, 0*cap)\n", "./internal/fleet/view", "TestFalseSummaryMovesSumsWithinLimits"},
	{"an earlier incarnation believed", "internal/fleet/view/view.go", "known && (s.Session < was.Session || s.Session == was.Session", "known && (s.Session == was.Session", "./internal/fleet/view", "TestViewRejectsInvalidSummaries"},
	{"a box that is shut out believed", "internal/fleet/view/exchange.go", "	case p.Member != nil && !p.Member(from):\n", "	case false:\n", "./internal/fleet/view", "TestExchangeRejectsInvalidMessages"},
	{"fallback forgotten", "internal/decide/shed/shed.go", "	if a.Trust == 0 {\n		return w\n	}\n", "", "./internal/decide/shed", "TestAdviceForRequests"},
	{"what the fleet refuses taken for a full box", "internal/fleet/view/meter.go", "	own, served := rate(t.RejectedLocally, was.RejectedLocally), ", "	own, served := rate(t.RejectedLocally, was.RejectedLocally)+rate(t.Advised, was.Advised), ", "./internal/fleet/view", "TestCapacityMeasurement"},
	{"callers that heed nothing refused first", "internal/replica/replica.go", "	if r.compliance.Observe(req.Caller, req.Rank) {", "	if r.compliance.Observe(req.Caller, req.Rank) && false {", "./internal/lab/model", "TestFleetOutperformsBoxesAlone"},
	{"each box asks for its own", "policy/signals.go", "*(max(c.meanLevel, own-levelExcess)-own)", "*(max(c.meanLevel, own-levelExcess)-own)*0", "./policy", "TestSignalBlendsWithMeanOfServers"},
	{"judged by the newest version", "policy/rejection.go", "Version: r.Peers.Version}", "Version: r.Peers.Version + 1}", "./internal/replica", "TestRequestKeepsAdviceVersionItWasReadUnder"},
	{"give up though others have room", "policy/rejection.go", "		othersReject = others.Full\n", "		othersReject = true\n", "./policy", "TestPeerStateDecidesRejectionAdvice"},
}
