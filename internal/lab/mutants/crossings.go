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
	{"a class by its place in one site's list", "internal/replica/replica.go", "class: &r.cfg.Policy.Classes[class], place: class,", "class: &r.cfg.Policy.Classes[class], place: min(class, 2),", "./internal/settings", "TestNamesAndOrderDecideNothing"},
	{"one site's figure in a package variable", "internal/settings/settings.go", "	c := policy.Config{Seed: seed, Cores: fam.Cores,", "	if _, ok := semantics[\"cores\"]; !ok {\n		semantics[\"cores\"] = policy.Semantics(fam.Cores)\n	}\n	c := policy.Config{Seed: seed, Cores: int(semantics[\"cores\"]),", "./internal/settings", "TestNothingOfOneSiteIsSeenInAnother"},
	{"a tenant's name in the program", "internal/replica/replica.go", "		q.Tenant = r.cfg.Tenants[tenant]\n", "		if q.Tenant = r.cfg.Tenants[tenant]; q.Tenant == \"hills-college\" {\n			q.Retry = false\n		}\n", "./internal/settings", "TestThePlatformsProgramNamesNoSite"},
	{"tenants of a new file", "internal/settings/replica.go", "\"tenants\": slices.Equal(next.Tenants, r.Tenants), ", "", "./internal/settings", "TestAReloadTakesTheAddressesOnly"},
	{"a name that is too long", "internal/front/thrift.go", "[]string{\"unique\", \"item\"}", "[]string{\"verb\", \"team\", \"unique\", \"item\"}", "./internal/front", "TestNamesAndWaitsAreBoundedByTheSettings"},
	{"a read that is shared for too long", "internal/replica/host.go", "			k.until = now + r.cfg.Policy.ShareFor\n", "", "./internal/replica", "TestAReadIsSharedForAsLongAsTheSettingsSay"},
	{"names held as they came", "internal/replica/replica.go", "		q.Tenant = r.cfg.Tenants[tenant]\n", "", "./internal/replica", "TestRequestsHoldTheSettingsNames"},
	{"accepts beside the poller", "internal/front/accept.go", "if !errors.Is(err, unix.EMFILE) && !errors.Is(err, unix.ENFILE) {", "if errors.Is(err, unix.EBADF) || true {", "./internal/front", "TestWithoutDescriptorsThePollerTurnsAway"},
	{"a panic that nobody counts", "internal/front/server.go", "if p := recover(); p != nil {", "if p := any(nil); p != nil {", "./internal/front", "TestAPanicEndsOneConnectionAndIsCounted"},
	{"a link that ends with the process", "internal/engine/link.go", "				open.Close()\n				<-open.broken\n", "", "./internal/engine", "TestALinkEndsBeforeItsProcess"},
	{"a lock that ends with the process", "internal/handover/link.go", "	l.lock.Close()\n", "", "./internal/handover", "TestAProcessTakesOverFromTheOneBeforeIt"},
	{"a silent link takes back what was told", "internal/handover/link.go", "if all, heard := l.run(ctx, c, true); heard {", "if all, heard := l.run(ctx, c, true); heard || true {", "./internal/handover", "TestALinkOnWhichNothingIsSaidTakesNothingBack"},
	{"part of what is owed counts as all", "internal/handover/link.go", "			if all, heard := l.run(ctx, c, true); heard {", "			if all, heard := l.run(ctx, c, true); heard && all {", "./internal/handover", "TestALinkOnWhichNothingIsSaidTakesNothingBack"},
}
