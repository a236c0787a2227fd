// Package mutants shows that the tests bite: it breaks a copy of the source in one place after the other and runs the test that
// is to find it.
package mutants

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cairnlane/internal/settings"
)

// Mutant is one thing that is broken.
type Mutant struct {
	Name     string
	File     string
	From, To string // the first is in the file once
	Package  string
	Test     string // finds it
}

// Leases are those of the leases.
var Leases = []Mutant{
	{"lease counted from the answer", "internal/decide/lease/holder.go", "h.actUntil = max(h.actUntil, h.pending[0].createdAt+h.terms.HolderDuration())", "h.actUntil = max(h.actUntil, now+h.terms.HolderDuration())", "./internal/decide/lease", "TestActingPeriodStartsAtCommandCreation"},
	{"no drift margin", "internal/decide/lease/lease.go", "return time.Duration(float64(t.Term) * (1 - t.Drift) / (1 + t.Drift))", "return t.Term", "./internal/decide/lease", "TestRandomStepsNeverExceedSlots"},
	{"token not raised at a takeover", "internal/decide/lease/lease.go", "		t.Token++\n		task.Holders = append", "		t.Token = max(t.Token, 1)\n		task.Holders = append", "./internal/decide/lease", "TestTableApply"},
	{"token checked after the effect", "internal/fleet/task.go", "		return err\n	}\n	err = effect(p)\n", "	}\n	if e := effect(p); err == nil {\n		err = e\n	}\n", "./internal/fleet", "TestEffectRequiresValidPermit"},
	{"extended without a majority", "internal/decide/lease/holder.go", "		h.enqueue(now, Command{Kind: Renew})\n", "		h.enqueue(now, Command{Kind: Renew})\n		h.actUntil = now + h.terms.Acting()\n", "./internal/decide/lease", "TestDisconnectedBoxStopsActing"},
	{"expiry by the wall clock", "internal/clock/boot.go", "return skew(time.Duration(ts.Nano()))", "return skew(time.Duration(time.Now().UnixNano()))", "./internal/clock", "TestBootCountsFromTheStart"},
	{"vote sent that is not stored", "internal/fleet/ledger/core.go", "		w := Write{Hard: rd.HardState, Entries: rd.Entries}\n", "		w := Write{Entries: rd.Entries}\n", "./internal/fleet/ledger", "TestVoteSurvivesRestart"},
	{"goes on although the disk is full", "internal/fleet/ledger/core.go", "if err := c.disk.Save(w); err != nil {\n				return err\n			}\n		}\n		if w.Snapshot", "if err := c.disk.Save(w); err != nil {\n			}\n		}\n		if w.Snapshot", "./internal/fleet/ledger", "TestNoMessageAfterFailedSave"},
	{"slot of a dead box given out at once", "internal/decide/lease/lease.go", "			case !l.Sticky:\n", "			case true:\n", "./internal/decide/lease", "TestTableApply"},
	{"old voter let back in by a copy", "internal/fleet/ledger/store.go", "copied := string(meta.Get(placeKey)) != s.fileID", "copied := false", "./internal/fleet/ledger", "TestCopiedStoreLosesVotingIdentity"},
	{"removed voter goes on", "internal/fleet/ledger/ledger.go", "	l.cfg.Logf(\"this box is no longer a voter\")\n", "	if l.id != 0 {\n		return\n	}\n", "./internal/lab/fleetsim", "TestRemovedVoterDoesNotVoteAfterRestart"},
	{"queue that forgets", "internal/decide/lease/lease.go", "func(w Waiter) bool { return w.Session == s.ID })\n		kept", "func(w Waiter) bool { return true })\n		kept", "./internal/decide/lease", "TestTableApply"},
	{"permit cached over a stop", "internal/decide/lease/holder.go", "		if now >= h.actUntil {\n			h.checkDeadline(now)\n		} else if", "		if false {\n			h.checkDeadline(now)\n		} else if now < h.actUntil &&", "./internal/decide/lease", "TestRandomStepsNeverExceedSlots"},
	{"command's children left alive", "internal/fleet/command/command.go", "			for (fleet.SystemProcessGroups{}).Alive(pgid) {", "			for false && (fleet.SystemProcessGroups{}).Alive(pgid) {", "./internal/fleet/command", "TestRemainingChildrenAreKilled"},
	{"command begins before its guard knows", "internal/fleet/command/command.go", "`read -r -n1 go <&3 || exit 125; exec", "`exec", "./internal/fleet/command", "TestCommandStartsAfterDeskKnowsIt"},
	{"desk does not end who is not looked after", "internal/fleet/process_supervisor.go", "	absent := !r.detached && ", "	absent := false && !r.detached && ", "./internal/fleet", "TestDeskEndsRunsOfAbsentCallers"},
	{"end of a session that was renewed", "internal/decide/lease/lease.go", "		if s.Seq != c.Seq {\n			return ErrStale\n		}\n", "", "./internal/decide/lease", "TestTableApply"},
	{"judge in a hurry", "internal/decide/lease/judge.go", "j.observed[id] = observation{seq: s.Seq, seenAt: now, sendAt: now + t.Terms.Term}", "j.observed[id] = observation{seq: s.Seq, seenAt: now, sendAt: now + t.Terms.Term/2}", "./internal/decide/lease", "TestRandomStepsNeverExceedSlots"},
	{"a new process takes over at once", "internal/decide/lease/lease.go", "		old.NotRenewable = true\n", "		t.end(old, false)\n", "./internal/decide/lease", "TestTableApply"},
	{"a new era grants at once", "internal/decide/lease/lease.go", "t.Token, t.SuspendedAt = max(t.Token, token), index", "t.Token = max(t.Token, token)", "./internal/lab/fleetsim", "TestRecoveredEraUsesHigherTokensAndDelaysGrants"},
	{"numbers begin again in a new era", "internal/fleet/ledger/state.go", "	n.Era++\n", "", "./internal/fleet/ledger", "TestNewEraStartsAboveAllIssuedNumbers"},
	{"message taken without its MAC", "internal/fleet/peer/session.go", "	if !hmac.Equal(sum, messageMAC(s.receiveMAC, s.receivedCount, body)) {", "	if false && !hmac.Equal(sum, messageMAC(s.receiveMAC, s.receivedCount, body)) {", "./internal/fleet/peer", "TestAlteredMessageEndsSession"},
}

// testTime bounds one test.
const testTime = 3 * time.Minute

// Run breaks copies of the tree at root and returns the names of the mutants that live.
func Run(root string, list []Mutant, workers int, w io.Writer) (caught int, alive []string, err error) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := 0
	for range workers {
		dir, err := os.MkdirTemp("", "mutant")
		if err != nil {
			return 0, nil, err
		}
		defer os.RemoveAll(dir)
		if out, err := exec.Command("sh", "-c", fmt.Sprintf("cd %q && git ls-files -co --exclude-standard -- go.mod go.sum '*.go' examples deploy | tar cf - -T - | tar xf - -C %q", root, dir)).CombinedOutput(); err != nil {
			return 0, nil, fmt.Errorf("copy: %w: %s", err, out)
		}
		wait.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= len(list) {
					return
				}
				m := list[i]
				why, dead := m.try(dir)
				mu.Lock()
				if dead {
					caught++
				} else {
					alive = append(alive, m.Name)
				}
				fmt.Fprintf(w, "%-8v %-45s %s: %s\n", map[bool]string{true: "caught", false: "LIVES"}[dead], m.Name, m.Test, why)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return caught, alive, nil
}

// tenantMark in what a mutant puts in stands for a tenant of the example's settings.
const tenantMark = "{tenant}"

// put is what takes the place of m.From in a copy of the tree.
func (m Mutant) put(dir string) (string, error) {
	if !strings.Contains(m.To, tenantMark) {
		return m.To, nil
	}
	s, err := settings.Read(filepath.Join(dir, "examples/config.json"))
	if err != nil {
		return "", err
	}
	if len(s.Tenants) == 0 {
		return "", errors.New("the example has no tenants")
	}
	return strings.ReplaceAll(m.To, tenantMark, s.Tenants[0].Name), nil
}

// try breaks one thing, runs its test and mends it again.
func (m Mutant) try(dir string) (why string, dead bool) {
	path := filepath.Join(dir, m.File)
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error(), false
	}
	if n := strings.Count(string(raw), m.From); n != 1 {
		return fmt.Sprintf("the place is there %d times in %s", n, m.File), false
	}
	to, err := m.put(dir)
	if err != nil {
		return err.Error(), false
	}
	defer os.WriteFile(path, raw, 0o644)
	if err := os.WriteFile(path, []byte(strings.Replace(string(raw), m.From, to, 1)), 0o644); err != nil {
		return err.Error(), false
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	defer cancel()
	build := exec.CommandContext(ctx, "go", "vet", m.Package)
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return "does not build: " + lastLine(out), false
	}
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-run", m.Test, m.Package)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	switch {
	case ctx.Err() != nil:
		return "the test does not end", true
	case err == nil && strings.Contains(string(out), "no tests to run"):
		return "there is no such test", false
	case err == nil:
		return "the test passes", false
	}
	return firstFailure(out), true
}

func lastLine(out []byte) string {
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	return lines[len(lines)-1]
}

func firstFailure(out []byte) string {
	for _, l := range strings.Split(string(out), "\n") {
		if strings.Contains(l, "_test.go:") || strings.Contains(l, "[rapid] failed") {
			return strings.TrimSpace(l)[:min(100, len(strings.TrimSpace(l)))]
		}
	}
	return lastLine(out)
}
