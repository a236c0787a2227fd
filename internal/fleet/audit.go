package fleet

import (
	"context"
	"encoding/hex"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet/ledger"
	"cairnlane/internal/state/audit"
)

// auditHeadInterval is the interval at which a changed head of the audit chain is reported to the ledger.
const auditHeadInterval = 5 * time.Second

// recordAudit writes an audit entry with this box's current ledger position. A failed write is logged and the entry dropped, so that the audit
// log never delays the caller. f.mu must not be held.
func (f *Fleet) recordAudit(e audit.Entry) (n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recordAuditLocked(e)
}

// recordAuditLocked is recordAudit for callers that hold f.mu, so that the entry's fields are consistent with the state when it is written.
func (f *Fleet) recordAuditLocked(e audit.Entry) uint64 {
	if f.cfg.Audit == nil {
		return 0
	}
	if f.node != nil {
		e.Index, e.Session = f.node.Ledger().State().Index, f.node.Holder().Session()
		if e.Kind == audit.Effect {
			e.Under = f.node.InForce()
		}
	}
	return f.writeAudit(e)
}

func (f *Fleet) writeAudit(e audit.Entry) uint64 {
	n, err := f.cfg.Audit.Append(e)
	if err != nil {
		f.cfg.Logf("%v", err)
	}
	return n
}

// RecordAudit writes an audit entry for an action outside of the fleet, such as a drain or an operator's command.
func (f *Fleet) RecordAudit(kind audit.Kind, ok bool, text string) {
	f.recordAudit(audit.Entry{Kind: kind, OK: ok, Text: text})
}

// auditStanding logs and audits a change of the box's phase, session or standing. f.mu is held.
func (f *Fleet) auditStanding() {
	h, standing := f.node.Holder(), f.node.Standing()
	if standing != f.auditedStanding {
		f.cfg.Logf("standing to the fleet's configuration is now %v: %d in force, lowest allowed %d", standing, f.node.InForce(), f.node.Lowest())
	}
	if h.Phase() == f.auditedPhase && h.Session() == f.auditedSession && standing == f.auditedStanding {
		return
	}
	f.auditedPhase, f.auditedSession, f.auditedStanding = h.Phase(), h.Session(), standing
	f.recordAuditLocked(audit.Entry{Kind: audit.FleetStatus, Text: f.auditedPhase.String() + ", " + standing.String()})
}

// reportAuditHeads reports the head of the audit chain to the ledger. It reports only synced entries: entries lost in a power failure must not
// look as if somebody had truncated the log.
func (f *Fleet) reportAuditHeads(ctx context.Context) {
	if f.cfg.Audit == nil {
		return
	}
	tick := time.NewTicker(auditHeadInterval)
	defer tick.Stop()
	reported := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		reported = f.reportAuditHead(reported)
	}
}

func (f *Fleet) reportAuditHead(reported uint64) uint64 {
	m, err := f.cfg.Audit.Sync()
	if err != nil {
		f.cfg.Logf("%v", err)
	}
	if m.N == reported || m.N == 0 {
		return reported
	}
	ok := false
	f.update(func(now time.Duration) {
		ok = f.node.ReportAuditHead(now, lease.Mark{Chain: m.Chain, N: m.N, Sum: hex.EncodeToString(m.Sum[:]), First: m.First})
	})
	if !ok {
		return reported
	}
	return m.N
}

// AuditHeads returns the heads of all boxes' audit chains, as recorded in the ledger.
func (f *Fleet) AuditHeads() map[string][]lease.Mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]lease.Mark{}
	for box, list := range f.node.Ledger().State().Table.Marks {
		out[box] = append(out[box], list...)
	}
	return out
}

// DecodeAuditHead decodes a chain head recorded in the ledger.
func DecodeAuditHead(m lease.Mark) (audit.ChainHead, error) {
	raw, err := hex.DecodeString(m.Sum)
	out := audit.ChainHead{Chain: m.Chain, N: m.N, Index: m.Index >> ledger.CommandBits, First: m.First}
	copy(out.Sum[:], raw)
	return out, err
}
