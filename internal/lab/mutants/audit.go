package mutants

// Audits are the mutants of versions, rollouts, stragglers and the audit.
var Audits = []Mutant{
	{"version in force before it is stored", "internal/decide/rollout/box.go", "	if n == b.number && b.state == Waiting {\n", "	if n == b.number && b.state == Waiting {\n		b.inForce = n\n", "./internal/decide/rollout", "TestBoxSwitchesOnlyWhenStored"},
	{"effects recorded without their version", "internal/fleet/audit.go", "			e.Under = f.node.InForce()\n", "			e.Under = 0\n", "./internal/fleet", "TestConfigRolloutReachesPermitsAndAudit"},
	{"box below the lowest version begins effects", "internal/fleet/node.go", "if s := n.Standing(); !s.MayAct() {", "if s := n.Standing(); false {", "./internal/fleet", "TestBoxBehindLowestVersionBeginsNoEffects"},
	{"next conductor repeats a step", "internal/decide/rollout/rollout.go", "		case c.Wave != r.Wave:\n", "		case false:\n", "./internal/decide/rollout", "TestTableApply"},
	{"step accepted from a non-conductor", "internal/decide/rollout/rollout.go", "(c.Kind == Step || c.Kind == Halt) && !of.IsConductor", "c.Kind == Halt && !of.IsConductor", "./internal/decide/rollout", "TestTableApply"},
	{"done without a report of the new session", "internal/decide/rollout/conductor.go", "s.Session != session || s.InForce", "session == 0 || s.InForce", "./internal/decide/rollout", "TestConductorDue"},
	{"rollout halted after one bad sample", "internal/decide/rollout/conductor.go", "	worseThreshold  = 3\n", "	worseThreshold  = 1\n", "./internal/decide/rollout", "TestConductorDue"},
	{"floor ignores dead boxes", "internal/decide/rollout/rollout.go", "float64(max(known, len(living)))", "float64(len(living))", "./internal/decide/rollout", "TestPlanValidateAndMayShutOutOne"},
	{"straggler's lease renewed", "internal/decide/lease/lease.go", "		s.NotRenewable = true\n		delete(t.CurrentSessions, box)\n", "		delete(t.CurrentSessions, box)\n", "./internal/decide/lease", "TestBarredBox"},
	{"straggler granted leases", "internal/decide/lease/lease.go", "if t.Barred[s.Box] && (c.Kind == Acquire", "if t.Barred[s.Box] && (false", "./internal/decide/lease", "TestBarredBox"},
	{"audit head reported before the write", "internal/state/audit/log.go", "	if err := l.file.Sync(); err != nil {\n		l.file.Close()\n		l.file = nil\n		return l.synced,", "	if err := l.file.Sync(); err != nil {\n		l.file.Close()\n		l.file = nil\n		return ChainHead{Chain: l.chain, N: l.n, Sum: l.sum},", "./internal/state/audit", "TestHeadIsReportedOnlyAfterSync"},
	{"audit chain restarted over existing segments", "internal/state/audit/log.go", "	if len(names) > 0 {\n		last", "	if len(names) > 0 && false {\n		last", "./internal/state/audit", "TestAnIndexNeverGoesBack"},
	{"audit index decreases", "internal/state/audit/log.go", "	e.Index = l.index\n", "", "./internal/state/audit", "TestAnIndexNeverGoesBack"},
	{"truncated begin of an audit not detected", "internal/state/audit/verify.go", "points[0].n >= m.First", "false", "./internal/state/audit", "TestMissingFirstSegmentIsDetected"},
	{"report of another session accepted", "internal/decide/rollout/rollout.go", " || of.Living[of.Box] != of.Session {", " {", "./internal/decide/rollout", "TestTableApply"},
	{"downgrade not detected", "internal/decide/straggler/straggler.go", "	if t.Lowest == 0 || inForce >= t.Lowest {", "	if t.Lowest == 0 || inForce > 0 {", "./internal/decide/straggler", "TestStateOf"},
	{"grace period counted by the wall clock", "internal/decide/straggler/straggler.go", "observed = observation{session, t.Lowest, now}", "observed = observation{session, t.Lowest, time.Duration(time.Now().UnixNano())}", "./internal/decide", "TestDecisionsDoNoIO"},
	{"grace period below its minimum", "internal/decide/straggler/straggler.go", "	grace = max(grace, MinGrace(term))\n", "", "./internal/decide/straggler", "TestMinGraceOverridesConfiguredGrace"},
	{"replayed version reverts the one in force", "internal/fleet/versions.go", "at.Fleet != n.ledger.State().Fleet || at.Index <= n.ledger.State().Index", "at.Fleet|1 != 0", "./internal/fleet", "TestBoxDoesNotRevertDuringLedgerReplay"},
	{"configuration in force before it is on disk", "internal/state/configs/configs.go", "	if err := s.write(inForceFile, encode(f)); err != nil {", "	s.inForce = f\n	if err := s.write(inForceFile, encode(f)); err != nil {", "./internal/state/configs", "TestFailedWriteIsNotInForce"},
}
