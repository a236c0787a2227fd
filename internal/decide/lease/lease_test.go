package lease

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// runScript applies commands in text form, such as "join a", "acquire a export 1 5" or "expire a 3". A trailing "!word" names the
// expected error. It returns the table and the session IDs by name.
func runScript(t *testing.T, lines string) (*Table, map[string]uint64) {
	t.Helper()
	table := NewTable(Terms{Term: time.Second, Drift: 0.1})
	sessions, seqs, nonces := map[string]uint64{}, map[string]uint64{}, map[string]uint64{}
	errs := map[string]error{"session": ErrNoSession, "superseded": ErrSuperseded, "order": ErrOrder, "renewed": ErrStale, "slots": ErrSlotMismatch, "held": ErrNoLease, "bad": ErrInvalidCommand}
	index := uint64(0)
	for _, line := range strings.Split(strings.TrimSpace(lines), "\n") {
		line, want, _ := strings.Cut(strings.TrimSpace(line), " !")
		f := strings.Fields(line)
		index++
		name := f[1]
		c := Command{Session: sessions[name]}
		numbered := func() { seqs[name]++; c.Seq = seqs[name] }
		var n int
		if len(f) > 2 {
			fmt.Sscan(f[len(f)-1], &n)
		}
		switch f[0] {
		case "join": // "join a2" joins as another process of box a
			nonces[name] = index
			c = Command{Kind: Join, Box: name[:1], Nonce: index, JoinAttempt: 1}
			sessions[name], seqs[name] = index, 0
		case "rejoin": // another join of the same process
			c = Command{Kind: Join, Box: name[:1], Nonce: nonces[name], JoinAttempt: uint64(n)}
			if want == "" {
				sessions[name], seqs[name] = index, 0
			}
		case "renew":
			c.Kind = Renew
			numbered()
		case "again": // repeats the last sequence number
			c.Kind, c.Seq = Renew, seqs[name]
		case "acquire", "sticky":
			c.Kind, c.Task, c.Slots, c.Sticky = Acquire, f[2], 1, f[0] == "sticky"
			if len(f) > 3 {
				fmt.Sscan(f[3], &c.Slots)
			}
			if len(f) > 4 {
				c.Priority = n
			}
			numbered()
		case "release":
			c.Kind, c.AcquireSeq = Release, uint64(n)
			numbered()
		case "return":
			c.Kind, c.Token = Release, uint64(n)
			numbered()
		case "stop":
			c.Kind, c.Token = Stop, uint64(n)
			numbered()
		case "part":
			c.Kind = Leave
			numbered()
		case "expire":
			c.Kind, c.Seq = Expire, uint64(n)
		case "free":
			c = Command{Kind: Free, Token: uint64(n)}
		case "unknown":
			c.Kind = 99
			numbered()
		default:
			t.Fatal("unknown script line: ", line)
		}
		err := table.Apply(index, c)
		if !errors.Is(err, errs[want]) || (err == nil) != (want == "") {
			t.Fatalf("%q returned %v", line, err)
		}
		if err := table.Check(); err != nil {
			t.Fatalf("after %q: %v", line, err)
		}
	}
	return table, sessions
}

// formatTask formats a task as "holder/token ... | waiter ...".
func formatTask(t *Table, task string) string {
	k := t.Tasks[task]
	if k == nil {
		return "-"
	}
	var s []string
	for _, l := range k.Holders {
		text := fmt.Sprintf("%s/%d", l.Box, l.Token)
		if l.Orphan {
			text += " orphan"
		}
		if l.StopRequested {
			text += " stop"
		}
		s = append(s, text)
	}
	s = append(s, "|")
	for _, w := range k.Queue {
		s = append(s, w.Box)
	}
	return strings.Join(s, " ")
}

func TestTableApply(t *testing.T) {
	for name, c := range map[string]struct{ lines, want string }{
		"one holder, others wait in order":          {"join a\njoin b\njoin c\nacquire a x\nacquire b x\nacquire c x", "a/1 | b c"},
		"next holder gets a higher token":           {"join a\njoin b\nacquire a x\nacquire b x\nrelease a 1", "b/2 |"},
		"unused task is deleted":                    {"join a\nacquire a x\nrelease a 1", "-"},
		"several slots":                             {"join a\njoin b\njoin c\nacquire a x 2\nacquire b x 2\nacquire c x 2", "a/1 b/2 | c"},
		"different slot count is rejected":          {"join a\njoin b\nacquire a x 2\nacquire b x 3 !slots", "a/1 |"},
		"priority before arrival":                   {"join a\njoin b\njoin c\nacquire a x\nacquire b x\nacquire c x 1 5\nrelease a 1", "c/2 | b"},
		"request withdrawn from the queue":          {"join a\njoin b\nacquire a x\nacquire b x\nrelease b 1", "a/1 |"},
		"release of an unknown request":             {"join a\nrelease a 7 !held\nacquire a x", "a/1 |"},
		"repeated command has no effect":            {"join a\nacquire a x\nagain a !order\nrenew a", "a/1 |"},
		"expire with an old number":                 {"join a\nacquire a x\nrenew a\nexpire a 1 !renewed", "a/1 |"},
		"expire with the current number":            {"join a\njoin b\nacquire a x\nacquire b x\nexpire a 1\nrenew a !session", "b/2 |"},
		"expire twice":                              {"join a\nexpire a 0\nexpire a 0 !session\njoin b\nacquire b x", "b/1 |"},
		"expired session leaves the queue":          {"join a\njoin b\nacquire a x\nacquire b x\nexpire b 1", "a/1 |"},
		"second process has to wait":                {"join a\nacquire a x\njoin a2\nacquire a2 x\nrenew a !superseded", "a/1 | a"},
		"second process gets the slot after expiry": {"join a\nacquire a x\njoin a2\nacquire a2 x\nexpire a 1", "a/2 |"},
		"repeated join is rejected":                 {"join a\nacquire a x\nrejoin a 1 !order", "a/1 |"},
		"new join of the same process":              {"join a\nacquire a x\nrejoin a 2\nrenew a", "a/1 |"},
		"sticky slot survives its session":          {"join a\njoin b\nsticky a x\nsticky b x\nexpire a 1", "a/1 orphan | b"},
		"box takes over its sticky slot again":      {"join a\njoin b\nsticky a x\nsticky b x\nexpire a 1\njoin a", "a/2 | b"},
		"sticky slot released by token":             {"join a\njoin b\nsticky a x\nsticky b x\nexpire a 1\njoin a\nreturn a 2", "b/3 |"},
		"second process takes over a sticky slot":   {"join a\nsticky a x\njoin a2\nexpire a 1", "a/2 |"},
		"operator frees an orphaned slot":           {"join a\njoin b\nsticky a x\nsticky b x\nexpire a 1\nfree op 1", "b/2 |"},
		"free of an unknown token":                  {"join a\nacquire a x\nfree op 9 !held", "a/1 |"},
		"holder is requested to stop":               {"join a\njoin b\nacquire a x\nstop b 1", "a/1 stop |"},
		"part releases everything":                  {"join a\njoin b\nacquire a x\nacquire b x\npart a\nrenew a !session", "b/2 |"},
		"unknown command":                           {"join a\nacquire a x\nunknown a !bad\nrenew a", "a/1 |"},
		"zero slots":                                {"join a\nacquire a x 0 !bad\nacquire a x", "a/1 |"},
		"same box waits for its own slot":           {"join a\nacquire a x\nacquire a x", "a/1 | a"},
	} {
		table, _ := runScript(t, c.lines)
		if got := formatTask(table, "x"); strings.TrimSpace(got) != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

func TestWaiterIsNotStarvedByHigherPriority(t *testing.T) {
	lines := "join a\njoin b\njoin c\nacquire a x\nacquire b x\n"
	held, other := "a", "c"
	acquireSeqs := map[string]int{"a": 1}
	for range MaxPassed {
		acquireSeqs[other]++
		lines += fmt.Sprintf("acquire %s x 1 9\nrelease %s %d\n", other, held, acquireSeqs[held])
		acquireSeqs[held]++ // the release has a sequence number as well
		held, other = other, held
	}
	acquireSeqs[other]++
	lines += fmt.Sprintf("acquire %s x 1 9\nrelease %s %d\n", other, held, acquireSeqs[held])
	table, _ := runScript(t, lines)
	if k := table.Tasks["x"]; k.Holders[0].Box != "b" {
		t.Errorf("%s: b is not the holder although it was passed %d times", formatTask(table, "x"), MaxPassed)
	}
}

func TestSuspendedTableGrantsNothingForOneTerm(t *testing.T) {
	table, sessions := runScript(t, "join a\njoin b\nacquire a x\nacquire b x")
	table.SuspendGrants(100, 1<<40)
	var j ExpiryDetector
	j.Update(0, table)
	table.Apply(101, Command{Kind: Release, Session: sessions["a"], Seq: 2, AcquireSeq: 1})
	if got := formatTask(table, "x"); got != "| b" {
		t.Fatalf("granted immediately after SuspendGrants: %s", got)
	}
	if list, _ := j.Due(time.Second-1, table); len(list) != 0 {
		t.Fatalf("detector returned commands before a term has passed: %v", list)
	}
	list, _ := j.Due(time.Second, table)
	var open Command
	for _, c := range list {
		if c.Kind == ResumeGrants {
			open = c
		}
	}
	stale := open
	stale.Seq--
	if err := table.Apply(102, stale); err != ErrStale {
		t.Fatalf("stale ResumeGrants command returned %v", err)
	}
	if err := table.Apply(103, open); err != nil {
		t.Fatal(err)
	}
	if k := table.Tasks["x"]; k.Holders[0].Token != 1<<40+1 {
		t.Errorf("%s", formatTask(table, "x"))
	}
}

// TestStateTransitions checks the transition of every state on every event.
func TestStateTransitions(t *testing.T) {
	want := map[State][]State{ // next states, in the order of the event constants
		Requested: {Held, Uncertain, Requested, Requested, Lost, Rejected, Requested, Released},
		Held:      {Held, Uncertain, Renewing, Uncertain, Lost, Rejected, Lost, Released},
		Renewing:  {Held, Uncertain, Renewing, Uncertain, Lost, Rejected, Lost, Released},
		Uncertain: {Held, Uncertain, Uncertain, Uncertain, Lost, Rejected, Lost, Released},
		Lost:      {Lost, Lost, Lost, Lost, Lost, Lost, Lost, Lost},
		Released:  {Released, Released, Released, Released, Released, Released, Released, Released},
		Rejected:  {Rejected, Rejected, Rejected, Rejected, Rejected, Rejected, Rejected, Rejected},
	}
	for s, row := range want {
		for i, next := range row {
			if got := s.next(grantedFresh + event(i)); got != next {
				t.Errorf("%v and event %d: %v, want %v", s, i, got, next)
			}
		}
	}
}

func TestActingPeriodStartsAtCommandCreation(t *testing.T) {
	terms := Terms{Term: 11 * time.Second, Drift: 0.1} // acting: 9 s
	table := NewTable(terms)
	h := NewHolder("a", "", 1, terms)
	a, _ := h.Acquire(0, Request{Task: "x", Slots: 1})
	index := uint64(0)
	apply := func(list []Command) {
		for _, c := range list {
			index++
			table.Apply(index, c)
		}
	}
	list, _ := h.Due(time.Second)
	apply(list)
	h.Update(2*time.Second, table, nil)
	list, _ = h.Due(3 * time.Second)
	apply(list)
	h.Update(8*time.Second, table, nil) // the response is slow; the acquire was created at 2 s
	for at, want := range map[time.Duration]error{9 * time.Second: nil, 11*time.Second - 1: nil, 11 * time.Second: ErrMayBeExpired} {
		h2, a2 := *h, *a
		h2.requests = []*TrackedRequest{&a2}
		if err := h2.CheckPermit(at, &a2, 0); !errors.Is(err, want) {
			t.Errorf("at %v: %v, want %v", at, err, want)
		}
	}
	if err := h.CheckPermit(10*time.Second, a, 2*time.Second); !errors.Is(err, ErrTooShort) {
		t.Errorf("action longer than the remaining time: %v", err)
	}
	h.Release(10*time.Second, a)
	if err := h.CheckPermit(10*time.Second, a, 0); err == nil {
		t.Error("may act after Release")
	}
}

func TestMarksIncreaseWithinChainAndAreBounded(t *testing.T) {
	table, sessions := runScript(t, "join a")
	seq := uint64(0)
	report := func(chain string, n uint64) error {
		seq++
		return table.Apply(0, Command{Kind: Report, Session: sessions["a"], Seq: seq, Chain: chain, N: n, Sum: "00"})
	}
	for n := uint64(1); n <= 2*maxMarks; n++ {
		if err := report("one", n); err != nil {
			t.Fatal(err)
		}
	}
	if report("one", maxMarks) != ErrOrder || report("", 1) != ErrInvalidCommand || report("two", 1) != nil {
		t.Error("wrong result for a mark that does not increase, has no chain, or starts a new chain")
	}
	list := table.Marks["a"]
	if len(list) != maxMarks || list[maxMarks-1].Chain != "two" || list[maxMarks-2].N != 2*maxMarks {
		t.Errorf("%d marks, last mark %+v", len(list), list[len(list)-1])
	}
	before := table.Clone()
	report("two", 2)
	if before.Marks["a"][maxMarks-1].N != 1 {
		t.Error("clone was modified")
	}
}

// TestTableBounds exceeds each bound of the table.
func TestTableBounds(t *testing.T) {
	table := NewTable(Terms{Term: time.Second})
	index := uint64(0)
	var sessions []uint64
	for {
		index++
		if err := table.Apply(index, Command{Kind: Join, Box: fmt.Sprint("box", index), Nonce: index, JoinAttempt: 1}); err == ErrLimit {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		sessions = append(sessions, index)
	}
	seq := map[uint64]uint64{}
	acquire := func(i int, task string) error {
		s := sessions[i%len(sessions)]
		seq[s]++
		return table.Apply(0, Command{Kind: Acquire, Session: s, Seq: seq[s], Task: task, Slots: 1})
	}
	rejectedCount := 0
	for k := range MaxWaiters + 2 {
		if acquire(k, "task0") == ErrLimit {
			rejectedCount++
		}
	}
	// The remaining tasks are inserted directly, in the form that commands would have produced.
	for i := 1; table.placeCount() < MaxHoldersAndWaiters; i++ {
		full := table.Tasks["task0"]
		n := min(MaxWaiters, MaxHoldersAndWaiters-table.placeCount()-1)
		table.Token++
		lease := full.Holders[0]
		lease.Token = table.Token
		table.Tasks[fmt.Sprint("task", i)] = &Task{Slots: 1, Holders: []Lease{lease}, Queue: full.Queue[:n:n]}
	}
	if len(sessions) != MaxSessions || rejectedCount != 1 || acquire(0, "one more") != ErrLimit || acquire(0, "task63") != ErrLimit {
		t.Errorf("%d sessions, %d places, %d requests for one task rejected", len(sessions), table.placeCount(), rejectedCount)
	}
	if err := table.Check(); err != nil {
		t.Error(err)
	}
	small := NewTable(Terms{Term: time.Second})
	small.Apply(1, Command{Kind: Join, Box: "a", Nonce: 1, JoinAttempt: 1})
	rejectedCount = 0
	for i := range MaxTasks + 1 {
		if small.Apply(0, Command{Kind: Acquire, Session: 1, Seq: uint64(i + 1), Task: fmt.Sprint(i), Slots: 1}) == ErrLimit {
			rejectedCount++
		}
	}
	if rejectedCount != 1 {
		t.Errorf("%d tasks rejected, want 1", rejectedCount)
	}
}

func TestOneCommandRenewsAllTasks(t *testing.T) {
	terms := Terms{Term: 10 * time.Second}
	table := NewTable(terms)
	h := NewHolder("x", "", 1, terms)
	index, commands := uint64(0), 0
	exchange := func(now time.Duration) {
		for {
			list, _ := h.Due(now)
			if len(list) == 0 {
				return
			}
			for _, c := range list {
				index++
				commands++
				table.Apply(index, c)
			}
			h.Update(now, table, nil)
		}
	}
	exchange(0)
	for i := range 1000 {
		if _, err := h.Acquire(0, Request{Task: fmt.Sprint("task", i), Slots: 1}); err != nil {
			t.Fatal(err)
		}
	}
	exchange(0)
	commands = 0
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		exchange(now)
	}
	for _, a := range h.Requests() {
		if h.CheckPermit(time.Minute, a, time.Second) != nil {
			t.Fatalf("%s is %v", a.Task, a.State)
		}
	}
	if commands > 20 {
		t.Errorf("%d commands in one minute (six terms), want at most 20", commands)
	}
}

func TestDelayedJoinOfDeadProcessDoesNotBlockBox(t *testing.T) {
	terms := Terms{Term: time.Second}
	table := NewTable(terms)
	h := NewHolder("x", "", 2, terms)
	list, _ := h.Due(0)
	table.Apply(1, list[0])
	h.Update(1, table, nil)
	table.Apply(2, Command{Kind: Join, Box: "x", Nonce: 1, JoinAttempt: 7})
	h.Update(2, table, nil)
	if list, _ := h.Due(time.Minute); h.Phase() != Displaced || len(list) > 0 {
		t.Fatalf("phase %v sends %v, want displaced and no commands", h.Phase(), list)
	}
	table.Apply(3, Command{Kind: Expire, Session: 2})
	h.Update(time.Minute, table, nil)
	list, _ = h.Due(time.Minute)
	table.Apply(4, list[0])
	if h.Update(time.Minute, table, nil); h.Phase() != Joined {
		t.Errorf("%v", h.Phase())
	}
}

func TestSecondProcessSupersedesFirst(t *testing.T) {
	terms := Terms{Term: time.Second}
	table := NewTable(terms)
	a, b := NewHolder("x", "", 1, terms), NewHolder("x", "", 2, terms)
	index := uint64(0)
	step := func(h *Holder, now time.Duration) {
		list, _ := h.Due(now)
		for _, c := range list {
			index++
			table.Apply(index, c)
		}
		h.Update(now, table, nil)
	}
	step(a, 0)
	request, _ := a.Acquire(0, Request{Task: "t", Slots: 1})
	step(a, 1)
	if a.CheckPermit(2, request, 0) != nil {
		t.Fatal("lease not held")
	}
	step(b, 3)
	a.Update(4, table, nil)
	if a.Phase() != Displaced || a.CheckPermit(4, request, 0) == nil {
		t.Errorf("first process is %v or may act after the second one's join, want displaced", a.Phase())
	}
	step(b, terms.Term)
	a.Update(terms.Term, table, nil)
	if a.Phase() != Superseded || a.CheckPermit(5, request, 0) == nil || b.Phase() != Joined {
		t.Errorf("first process is %v, may act: %v; second process is %v", a.Phase(), a.CheckPermit(5, request, 0) == nil, b.Phase())
	}
	if list, _ := a.Due(time.Hour); len(list) != 0 {
		t.Errorf("superseded process still sends %v", list)
	}
	if _, err := a.Acquire(6, Request{Task: "t", Slots: 1}); err != ErrNotMember {
		t.Error(err)
	}
}

// TestBarredBox checks that a barred box is granted nothing and that its slots are granted to others only after its
// session has expired.
func TestBarredBox(t *testing.T) {
	table := NewTable(Terms{Term: time.Second})
	join := func(index uint64, box string, nonce, attempt uint64) {
		if err := table.Apply(index, Command{Kind: Join, Box: box, Nonce: nonce, JoinAttempt: attempt}); err != nil {
			t.Fatal(err)
		}
	}
	acquire := func(session, seq uint64) error {
		return table.Apply(90, Command{Kind: Acquire, Session: session, Seq: seq, Task: "x", Slots: 1})
	}
	holder := func() string {
		if task := table.Tasks["x"]; task != nil && len(task.Holders) == 1 {
			return task.Holders[0].Box
		}
		return ""
	}
	join(1, "a", 7, 1)
	join(2, "b", 8, 1)
	if err := errors.Join(acquire(1, 1), acquire(2, 1)); err != nil {
		t.Fatal(err)
	}
	table.Bar("a")
	if err := table.Apply(3, Command{Kind: Renew, Session: 1, Seq: 2}); err != ErrSuperseded || holder() != "a" || table.Check() != nil {
		t.Errorf("renewal of the barred session returned %v; holder %q, table check: %v", err, holder(), table.Check())
	}
	join(4, "a", 7, 2)
	if err := acquire(4, 1); err != ErrBarred {
		t.Errorf("acquire of the barred box returned %v", err)
	}
	if err := table.Apply(5, Command{Kind: Stop, Session: 4, Seq: 2}); err != ErrBarred {
		t.Errorf("stop command of the barred box returned %v", err)
	}
	if err := table.Apply(6, Command{Kind: CarryPayload, Session: 4, Seq: 3}); err != nil {
		t.Errorf("report of the barred box returned %v", err)
	}
	if err := table.Apply(7, Command{Kind: Expire, Session: 1, Seq: 1}); err != nil || holder() != "b" || table.Check() != nil {
		t.Errorf("expire returned %v; holder %q, table check: %v", err, holder(), table.Check())
	}
	table.Unbar("a")
	if err := acquire(4, 4); err != nil {
		t.Error(err)
	}
}

// TestDisconnectedBoxStopsActing checks that a box whose commands are not applied stops acting, however often it sends Renew.
func TestDisconnectedBoxStopsActing(t *testing.T) {
	table := NewTable(Terms{Term: 10 * time.Second, Drift: 0.01})
	h := NewHolder("a", "test", 7, table.Terms)
	apply := func(now time.Duration, list []Command) {
		for i, c := range list {
			table.Apply(uint64(now/time.Millisecond)+uint64(i)+1, c)
		}
		h.Update(now, table, nil)
	}
	list, _ := h.Due(0)
	apply(0, list)
	a, err := h.Acquire(time.Second, Request{Task: "x", Slots: 1})
	if err != nil {
		t.Fatal(err)
	}
	list, _ = h.Due(time.Second)
	apply(time.Second, list)
	if err := h.CheckPermit(time.Second, a, 0); err != nil {
		t.Fatal(err)
	}
	end := time.Second + table.Terms.HolderDuration()
	sent := 0
	for now := time.Second; now < end+20*time.Second; now += 100 * time.Millisecond {
		list, _ := h.Due(now) // the commands are lost
		sent += len(list)
		if err := h.CheckPermit(now, a, 0); (err == nil) != (now < end) {
			t.Fatalf("at %v, deadline %v: %v", now, end, err)
		}
	}
	if sent == 0 {
		t.Error("no command was sent")
	}
}
