package mutants

// Crossings are those of docs/crossings.md: what holds when two events cross.
var Crossings = []Mutant{
	{"a save in doubt is sent again", "internal/replica/host.go", "lost && req.class.Semantics == policy.Safe {", "lost {", "./internal/replica", "TestAfterABreakOnlyWhatMayRunTwiceIsSentAgain"},
	{"a save in doubt is sent again, at random", "internal/replica/host.go", "lost && req.class.Semantics == policy.Safe {", "lost {", "./internal/replica", "TestRulesHoldOverRandomSteps"},
	{"a run in doubt that never ends", "internal/replica/host.go", "	case req.doubt: // nobody", "	case false: // nobody", "./internal/replica", "TestAfterABreakOnlyWhatMayRunTwiceIsSentAgain"},
	{"a run that is owed counts as written", "internal/replica/host.go", "				req.pending = true\n			} else if lost", "				r.send(req)\n			} else if lost", "./internal/replica", "TestARunThatIsOwedToANewLinkIsNotForgotten"},
	{"read because the engine talks", "internal/engine/session.go", "max(s.memory.reached, written)", "max(written, s.now())", "./internal/engine", "TestWhatStandsBeforeAnAnsweredQuestionHasReachedTheEngine"},
	{"a move without its last question", "internal/engine/link.go", "	c.sess.stat()\n", "", "./internal/engine", "TestAMoveLosesAndDoublesNothing"},
	{"a HELLO without end", "internal/engine/session.go", "	s.quiet.Store(int64(s.now()))\n	s.send", "	s.send", "./internal/engine", "TestALinkWithoutHelloIsGivenUpLaterEachTime"},
	{"a missing notice is passed over", "internal/engine/session.go", "n.number > next && s.memory.gap != next", "false && s.memory.gap != next", "./internal/engine", "TestANoticeThatIsMissingIsAskedForOnce"},
	{"the end of a link hits another", "internal/engine/link.go", "if !ok || c.ended {", "if !ok {", "./internal/engine", "TestTheEndOfALinkHitsNoOtherConnection"},
}
