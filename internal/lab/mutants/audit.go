package mutants

// Audits are those of versions, roll-outs, stragglers and the audit.
var Audits = []Mutant{
	{"version switched before it is stored", "internal/decide/rollout/box.go", "	if n == b.number && b.state == Waiting {\n", "	if n == b.number && b.state == Waiting {\n		b.inForce = n\n", "./internal/decide/rollout", "TestABoxChangesAtOnePoint"},
	{"effects do not name their version", "internal/fleet/audit.go", "			e.Under = f.node.InForce()\n", "			e.Under = 0\n", "./internal/fleet", "TestAConfigurationIsRolledOutAndActedUnder"},
	{"an effect is begun although its box is behind", "internal/fleet/node.go", "if s := n.Stands(); !s.MayBegin() {", "if s := n.Stands(); false {", "./internal/fleet", "TestABoxThatIsBehindBeginsNothing"},
	{"a step repeated by the next conductor", "internal/decide/rollout/rollout.go", "		case c.Wave != r.Wave:\n", "		case false:\n", "./internal/decide/rollout", "TestTheTable"},
	{"a step by who does not conduct", "internal/decide/rollout/rollout.go", "(c.Kind == Step || c.Kind == Halt) && !of.Conducts", "c.Kind == Halt && !of.Conducts", "./internal/decide/rollout", "TestTheTable"},
	{"done although a new incarnation has said nothing", "internal/decide/rollout/conductor.go", "s.Session != session || s.InForce", "session == 0 || s.InForce", "./internal/decide/rollout", "TestTheConductor"},
	{"one reading is enough to halt", "internal/decide/rollout/conductor.go", "	worseMost   = 3\n", "	worseMost   = 1\n", "./internal/decide/rollout", "TestTheConductor"},
	{"floor counted without the dead", "internal/decide/rollout/rollout.go", "float64(max(known, len(living)))", "float64(len(living))", "./internal/decide/rollout", "TestAPlanIsChecked"},
	{"straggler's lease renewed", "internal/decide/lease/lease.go", "		s.Past = true\n		delete(t.Names, box)\n", "		delete(t.Names, box)\n", "./internal/decide/lease", "TestABoxThatIsShutOut"},
	{"a straggler is granted leases", "internal/decide/lease/lease.go", "if t.Barred[s.Box] && (c.Kind == Acquire", "if t.Barred[s.Box] && (false", "./internal/decide/lease", "TestABoxThatIsShutOut"},
	{"head reported before the write", "internal/state/audit/log.go", "	if err := l.file.Sync(); err != nil {\n		l.file.Close()\n		l.file = nil\n		return l.synced,", "	if err := l.file.Sync(); err != nil {\n		l.file.Close()\n		l.file = nil\n		return Mark{Chain: l.chain, N: l.n, Sum: l.sum},", "./internal/state/audit", "TestHeadIsReportedOnlyAfterSync"},
	{"chain restarted silently", "internal/state/audit/log.go", "	if len(names) > 0 {\n		last", "	if len(names) > 0 && false {\n		last", "./internal/state/audit", "TestAnIndexNeverGoesBack"},
	{"index that goes back", "internal/state/audit/log.go", "	e.Index = l.index\n", "", "./internal/state/audit", "TestAnIndexNeverGoesBack"},
	{"a begin that is cut off", "internal/state/audit/verify.go", "points[0].n >= m.First", "false", "./internal/state/audit", "TestMissingFirstSegmentIsDetected"},
	{"a clone believed", "internal/decide/rollout/rollout.go", " || of.Living[of.Box] != of.Session {", " {", "./internal/decide/rollout", "TestTheTable"},
	{"downgrade unnoticed", "internal/decide/straggler/straggler.go", "	if t.Lowest == 0 || inForce >= t.Lowest {", "	if t.Lowest == 0 || inForce > 0 {", "./internal/decide/straggler", "TestHowABoxStands"},
	{"grace by the wall clock", "internal/decide/straggler/straggler.go", "s = seen{session, t.Lowest, now}", "s = seen{session, t.Lowest, time.Duration(time.Now().UnixNano())}", "./internal/decide", "TestDecisionsDoNoIO"},
	{"grace that a new judge does not wait for", "internal/decide/straggler/straggler.go", "	grace = max(grace, LeastGrace(term))\n", "", "./internal/decide/straggler", "TestTheLeastGraceIsLongerThanABoxActs"},
	{"back to a number that an old log still has", "internal/fleet/versions.go", "at.Fleet != n.ledger.State().Fleet || at.Index <= n.ledger.State().Index", "at.Fleet|1 != 0", "./internal/fleet", "TestABoxDoesNotGoBackWithItsLedger"},
	{"in force before it is on the disk", "internal/state/configs/configs.go", "	if err := s.write(inForceFile, encode(f)); err != nil {", "	s.inForce = f\n	if err := s.write(inForceFile, encode(f)); err != nil {", "./internal/state/configs", "TestFailedWriteIsNotInForce"},
}
