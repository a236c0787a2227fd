package mutants

// Admission are the mutants of the policy module: quotas of tenants and calls to a shared dependency.
var Admission = []Mutant{
	{"all tenants rejected in equal shares", "policy/policy.go", "c.quotas.reject(r.Tenant, c.dropProb)*", "c.dropProb*", "./policy", "TestArrivalsAreRejectedByTenant"},
	{"a short overload rejects all tenants", "policy/quotas.go", "	return min(q.rejectedShare(tenant, probability), bound)\n", "	return max(q.rejectedShare(tenant, probability), 0*bound)\n", "./policy", "TestShortOverloadDoesNotRejectTenantsWithinQuota"},
	{"level follows each change without a mean", "policy/quotas.go", "	return min(q.leastRejected(probability), levelMultiple*q.leastRejected(q.meanAdvisory))\n", "	return q.leastRejected(probability)\n", "./policy", "TestLevelIsRejectedShareOfLeastRejectedTenant"},
	{"tenant not passed to the module", "internal/replica/replica.go", "Tenant: req.tenant, ", "", "./internal/replica", "TestTenantIsPassedToModule"},
	{"call limit ignores the latency", "policy/call_limit.go", "	target := l.limit*l.gradient() + callAllowance\n", "	target := l.limit + callAllowance\n", "./policy", "TestCallLimitFollowsLatency"},
	{"optional calls never skipped", "policy/dependency_calls.go", "	return r.class.SkipWorth > 0 && (", "	return false && (", "./policy", "TestOptionalCallIsSkippedAfterWait"},
	{"rejected call not retried", "policy/dependency_calls.go", "		again = neverRan && r.class.SkipWorth == 0\n", "		again = false\n", "./policy", "TestRejectedCallIsRetriedWithBackoff"},
	{"mean run time includes the wait for a call", "policy/scheduling.go", "took-r.callWait.Seconds()", "took", "./policy", "TestMeanRunExcludesWaitForCall"},
	{"class with a stale mean run not probed", "policy/scheduling.go", "		weight = probeWeight\n", "		weight = meanWeight\n", "./policy", "TestClassWithStaleMeanRunIsProbed"},
	{"index client keeps its address after a move", "internal/index/link.go", "		if l.addr != c.addr {\n			continue\n		}\n", "", "./internal/index", "TestCallsAfterMoveUseNewAddress"},
}
