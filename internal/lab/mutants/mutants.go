// Package mutants checks the tests by mutation: it applies one mutation after the other to a copy of the source and runs the test that
// must fail because of it.
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

// Mutant is one mutation of the source and the test that must detect it.
type Mutant struct {
	Name     string
	File     string
	From, To string // From occurs in the file exactly once
	Package  string
	Test     string // the test that must fail
}

// Leases are the mutants of the leases and the ledger.
var Leases = []Mutant{
	{"lease counted from the answer", "internal/decide/lease/holder.go", "h.actUntil = max(h.actUntil, h.pending[0].createdAt+h.terms.HolderDuration())", "h.actUntil = max(h.actUntil, now+h.terms.HolderDuration())", "./internal/decide/lease", "TestActingPeriodStartsAtCommandCreation"},
	{"no drift margin", "internal/decide/lease/lease.go", "return time.Duration(float64(t.Term) * (1 - t.Drift) / (1 + t.Drift))", "return t.Term", "./internal/decide/lease", "TestRandomStepsNeverExceedSlots"},
	{"token not raised at a takeover", "internal/decide/lease/lease.go", "		t.Token++\n		task.Holders = append", "		t.Token = max(t.Token, 1)\n		task.Holders = append", "./internal/decide/lease", "TestTableApply"},
	{"token checked after the effect", "internal/fleet/task.go", "		return err\n	}\n	err = effect(p)\n", "	}\n	if e := effect(p); err == nil {\n		err = e\n	}\n", "./internal/fleet", "TestEffectRequiresValidPermit"},
	{"lease extended without a quorum", "internal/decide/lease/holder.go", "		h.enqueue(now, Command{Kind: Renew})\n", "		h.enqueue(now, Command{Kind: Renew})\n		h.actUntil = now + h.terms.HolderDuration()\n", "./internal/decide/lease", "TestDisconnectedBoxStopsActing"},
	{"expiry by the wall clock", "internal/clock/boot.go", "return applyRate(time.Duration(ts.Nano()))", "return applyRate(time.Duration(time.Now().UnixNano()))", "./internal/clock", "TestBootMatchesUptime"},
	{"vote sent that is not stored", "internal/fleet/ledger/core.go", "		w := Write{Hard: rd.HardState, Entries: rd.Entries}\n", "		w := Write{Entries: rd.Entries}\n", "./internal/fleet/ledger", "TestVoteSurvivesRestart"},
	{"goes on after a failed write", "internal/fleet/ledger/core.go", "if err := c.disk.Save(w); err != nil {\n				return err\n			}\n		}\n		if w.Snapshot", "if err := c.disk.Save(w); err != nil {\n			}\n		}\n		if w.Snapshot", "./internal/fleet/ledger", "TestNoMessageAfterFailedSave"},
	{"slot of a dead box granted at once", "internal/decide/lease/lease.go", "			case !l.Sticky:\n", "			case true:\n", "./internal/decide/lease", "TestTableApply"},
	{"copied store keeps its voting identity", "internal/fleet/ledger/store.go", "copied := string(meta.Get(placeKey)) != s.fileID", "copied := false", "./internal/fleet/ledger", "TestCopiedStoreLosesVotingIdentity"},
	{"removed voter keeps voting", "internal/fleet/ledger/ledger.go", "	l.cfg.Logf(\"this box is no longer a voter\")\n", "	if l.id != 0 {\n		return\n	}\n", "./internal/lab/fleetsim", "TestRemovedVoterDoesNotVoteAfterRestart"},
	{"other sessions removed from the queue", "internal/decide/lease/lease.go", "func(w Waiter) bool { return w.Session == s.ID })\n		kept", "func(w Waiter) bool { return true })\n		kept", "./internal/decide/lease", "TestTableApply"},
	{"permit valid after the process was stopped", "internal/decide/lease/holder.go", "		if now >= h.actUntil {\n			h.checkDeadline(now)\n		} else if", "		if false {\n			h.checkDeadline(now)\n		} else if now < h.actUntil &&", "./internal/decide/lease", "TestRandomStepsNeverExceedSlots"},
	{"command's children left running", "internal/fleet/command/command.go", "			for (fleet.SystemProcessGroups{}).Alive(pgid) {", "			for false && (fleet.SystemProcessGroups{}).Alive(pgid) {", "./internal/fleet/command", "TestRemainingChildrenAreKilled"},
	{"command starts before it is supervised", "internal/fleet/command/command.go", "`read -r -n1 go <&3 || exit 125; exec", "`exec", "./internal/fleet/command", "TestCommandStartsAfterGroupIsRegistered"},
	{"run of an absent caller not ended", "internal/fleet/process_supervisor.go", "	absent := !r.detached && ", "	absent := false && !r.detached && ", "./internal/fleet", "TestProcessSupervisorEndsRunsOfAbsentCallers"},
	{"renewed session ended", "internal/decide/lease/lease.go", "		if s.Seq != c.Seq {\n			return ErrStale\n		}\n", "", "./internal/decide/lease", "TestTableApply"},
	{"expiry detector waits half a term", "internal/decide/lease/judge.go", "j.observed[id] = observation{seq: s.Seq, seenAt: now, sendAt: now + t.Terms.Term}", "j.observed[id] = observation{seq: s.Seq, seenAt: now, sendAt: now + t.Terms.Term/2}", "./internal/decide/lease", "TestRandomStepsNeverExceedSlots"},
	{"new process takes over the lease at once", "internal/decide/lease/lease.go", "		old.NotRenewable = true\n", "		t.end(old, false)\n", "./internal/decide/lease", "TestTableApply"},
	{"new era grants leases at once", "internal/decide/lease/lease.go", "t.Token, t.SuspendedAt = max(t.Token, token), index", "t.Token = max(t.Token, token)", "./internal/lab/fleetsim", "TestRecoveredEraUsesHigherTokensAndDelaysGrants"},
	{"numbers restart in a new era", "internal/fleet/ledger/state.go", "	n.Era++\n", "", "./internal/fleet/ledger", "TestNewEraStartsAboveAllIssuedNumbers"},
	{"message accepted without checking its MAC", "internal/fleet/peer/session.go", "	if !hmac.Equal(sum, messageMAC(s.receiveMAC, s.receivedCount, body)) {", "	if false && !hmac.Equal(sum, messageMAC(s.receiveMAC, s.receivedCount, body)) {", "./internal/fleet/peer", "TestAlteredMessageEndsSession"},
}

// testTimeout bounds the time in which one mutant is vetted and tested.
const testTimeout = 3 * time.Minute

// Run applies the mutants to copies of the tree at root, with the given number of workers. It reports each result to w and returns how
// many mutants were caught and the names of the others.
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
			return 0, nil, fmt.Errorf("mutants: copying the source tree failed: %w: %s", err, out)
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
				why, killed := m.run(dir)
				mu.Lock()
				if killed {
					caught++
				} else {
					alive = append(alive, m.Name)
				}
				fmt.Fprintf(w, "%-8v %-45s %s: %s\n", map[bool]string{true: "caught", false: "LIVES"}[killed], m.Name, m.Test, why)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return caught, alive, nil
}

// tenantPlaceholder in Mutant.To is replaced by the name of a tenant in the example's settings.
const tenantPlaceholder = "{tenant}"

// replacement returns the text that replaces m.From in the copy of the tree at dir.
func (m Mutant) replacement(dir string) (string, error) {
	if !strings.Contains(m.To, tenantPlaceholder) {
		return m.To, nil
	}
	s, err := settings.Read(filepath.Join(dir, "examples/config.json"))
	if err != nil {
		return "", err
	}
	if len(s.Tenants) == 0 {
		return "", errors.New("examples/config.json has no tenants")
	}
	return strings.ReplaceAll(m.To, tenantPlaceholder, s.Tenants[0].Name), nil
}

// run applies a mutant to the copy at dir, runs its test and restores the file.
func (m Mutant) run(dir string) (why string, caught bool) {
	path := filepath.Join(dir, m.File)
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error(), false
	}
	if n := strings.Count(string(raw), m.From); n != 1 {
		return fmt.Sprintf("the text to replace occurs %d times in %s, want 1", n, m.File), false
	}
	replacement, err := m.replacement(dir)
	if err != nil {
		return err.Error(), false
	}
	defer os.WriteFile(path, raw, 0o644)
	if err := os.WriteFile(path, []byte(strings.Replace(string(raw), m.From, replacement, 1)), 0o644); err != nil {
		return err.Error(), false
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
		return "the test timed out", true
	case err == nil && strings.Contains(string(out), "no tests to run"):
		return "no such test", false
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
