package mutants

// Admission are those of the module: quotas of tenants and calls to a shared dependency.
var Admission = []Mutant{
	{"tenants rejected alike", "policy/policy.go", "c.quotas.reject(r.Tenant, c.dropProb)*", "c.dropProb*", "./policy", "TestArrivalsAreRejectedByTheirTenants"},
	{"a moment of overload rejects all", "policy/quotas.go", "	return min(q.share(tenant, probability), bound)\n", "	return max(q.share(tenant, probability), 0*bound)\n", "./policy", "TestAMomentOfOverloadSparesTenantsWithinTheirQuotas"},
	{"a level that follows each swing", "policy/quotas.go", "	return min(q.least(probability), levelMultiple*q.least(q.meanAhead))\n", "	return q.least(probability)\n", "./policy", "TestTheLevelIsWhatTheTenantSparedMostIsRejected"},
	{"the tenant is not told", "internal/replica/replica.go", "Tenant: req.tenant, ", "", "./internal/replica", "TestTenantIsPassedToModule"},
	{"calls limited by the share alone", "policy/call_limit.go", "	target := l.limit*l.gradient() + callAllowance\n", "	target := l.limit + callAllowance\n", "./policy", "TestTheCallLimitFollowsTheLatency"},
	{"calls never skipped", "policy/calls.go", "	return r.class.SkipWorth > 0 && (", "	return false && (", "./policy", "TestARequestGoesOnWithoutACallThatItHasWaitedFor"},
	{"a call turned away is given up", "policy/calls.go", "		again = neverRan && r.class.SkipWorth == 0\n", "		again = false\n", "./policy", "TestACallThatIsTurnedAwayIsMadeAgainWithBackoff"},
	{"a run judged with its wait for a call", "policy/starts.go", "took-r.callWait.Seconds()", "took", "./policy", "TestARunIsJudgedWithoutItsWaitForACall"},
	{"a slow class relearned slowly", "policy/starts.go", "		weight = trialWeight\n", "		weight = meanWeight\n", "./policy", "TestAClassThatSeemsTooSlowIsTriedNowAndThen"},
	{"a move forgotten by the index's client", "internal/index/link.go", "		if l.addr != c.addr {\n			continue\n		}\n", "", "./internal/index", "TestCallsAfterMoveUseNewAddress"},
}
