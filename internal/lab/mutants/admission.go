package mutants

// Admission are those of the module: quotas of tenants and calls to a shared dependency.
var Admission = []Mutant{
	{"tenants rejected alike", "policy/policy.go", "c.quotas.reject(r.Tenant, c.dropProb)*", "c.dropProb*", "./policy", "TestArrivalsAreRejectedByTenant"},
	{"a moment of overload rejects all", "policy/quotas.go", "	return min(q.rejectedShare(tenant, probability), bound)\n", "	return max(q.rejectedShare(tenant, probability), 0*bound)\n", "./policy", "TestShortOverloadSparesTenantsWithinQuota"},
	{"a level that follows each swing", "policy/quotas.go", "	return min(q.leastRejected(probability), levelMultiple*q.leastRejected(q.meanAdvisory))\n", "	return q.leastRejected(probability)\n", "./policy", "TestLevelIsRejectedShareOfLeastRejectedTenant"},
	{"the tenant is not told", "internal/replica/replica.go", "Tenant: req.tenant, ", "", "./internal/replica", "TestTenantIsPassedToModule"},
	{"calls limited by the share alone", "policy/call_limit.go", "	target := l.limit*l.gradient() + callAllowance\n", "	target := l.limit + callAllowance\n", "./policy", "TestCallLimitFollowsLatency"},
	{"calls never skipped", "policy/dependency_calls.go", "	return r.class.SkipWorth > 0 && (", "	return false && (", "./policy", "TestOptionalCallIsSkippedAfterWait"},
	{"a call turned away is given up", "policy/dependency_calls.go", "		again = neverRan && r.class.SkipWorth == 0\n", "		again = false\n", "./policy", "TestRejectedCallIsRetriedWithBackoff"},
	{"a run judged with its wait for a call", "policy/scheduling.go", "took-r.callWait.Seconds()", "took", "./policy", "TestMeanRunExcludesWaitForCall"},
	{"a slow class relearned slowly", "policy/scheduling.go", "		weight = probeWeight\n", "		weight = meanWeight\n", "./policy", "TestClassWithStaleMeanRunIsProbed"},
	{"a move forgotten by the index's client", "internal/index/link.go", "		if l.addr != c.addr {\n			continue\n		}\n", "", "./internal/index", "TestCallsAfterMoveUseNewAddress"},
}
