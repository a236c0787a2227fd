package replica

import (
	"slices"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/decide/handover"
	"cairnlane/policy"
)

// PeerLink is the link to the other process of a replacement. Send never blocks. A message accepted by Send reaches
// the other process even if this process is killed immediately afterwards, or else the other process detects
// that it missed messages.
type PeerLink interface{ Send(m *handover.Message) }

// claimTimeout is how long an attempt waits for permission to run its key. The other process normally answers
// within milliseconds; otherwise the attempt fails, well before its caller stops waiting.
const claimTimeout = 200 * time.Millisecond

// peerState is what a replica keeps about the other process. It is guarded by the replica's lock.
type peerState struct {
	enabled bool // there may be another process
	claims  handover.Claims
	peer    PeerLink              // nil while there is no link
	waiting map[string][]*request // attempts whose key is claimed, by key; the module does not know them yet
}

func newPeerState(possible bool) peerState {
	return peerState{enabled: possible, waiting: map[string][]*request{}}
}

// alone reports whether there is no other process that may know a key or wait for one.
func (s *peerState) alone() bool { return s.peer == nil && s.claims.Role() == handover.Owner }

func (r *Replica) sendToPeer(m *handover.Message) {
	if p := r.peerState.peer; p != nil {
		p.Send(m)
	}
}

// sendEntry sends the state of a keyed entry of this process to the peer. It is called before RUN is written for
// the entry.
func (r *Replica) sendEntry(k *key) {
	if k == nil || k.remote || k.name[0] != 'u' || r.peerState.peer == nil {
		return
	}
	r.sendToPeer(entryMessage(k))
}

func entryMessage(k *key) *handover.Message {
	return &handover.Message{Kind: handover.Entry, Key: k.name, Seq: k.claimSeq, Digest: k.digest, Until: k.windowEnd,
		Ended: k.ended, OK: k.succeeded, Stored: k.stored != nil, Body: k.result}
}

// sendDrop informs the peer that a key is free again because its attempt never ran.
func (r *Replica) sendDrop(k *key) {
	if !k.remote && k.name[0] == 'u' {
		r.sendToPeer(&handover.Message{Kind: handover.Drop, Key: k.name, Seq: k.claimSeq, RetryAfter: k.rejection.RetryAfter, DoNotRetry: k.rejection.DoNotRetry})
	}
}

// claimKey handles a keyed attempt whose key is unknown here: the other process may have run it.
func (r *Replica) claimKey(now time.Duration, req *request) {
	attempt := handover.Attempt{Key: keyName(req), ArrivedAt: req.arrivedAt, First: r.cfg.Policy.RetriesMarked && !req.Retry}
	key := attempt.Key
	verdict, seq := r.peerState.claims.Attempt(now, attempt)
	switch verdict {
	case handover.RunHere:
		r.admit(now, req, nil)
		return
	case handover.InDoubt:
		r.failInDoubt(now, req)
		return
	case handover.SendClaim:
		r.sendToPeer(&handover.Message{Kind: handover.Claim, Key: key, Seq: seq, Digest: req.digest,
			Until: req.arrivedAt + req.class.DedupWindow + keyMargin, Number: int64(req.arrivedAt), OK: attempt.First})
	}
	r.peerState.waiting[key] = append(r.peerState.waiting[key], req)
	stop := r.clock.AfterFunc(min(claimTimeout, max(req.arrivedAt+r.callerWait(req)-now, 0)), func() {
		r.locked(func(now time.Duration) { r.claimTimedOut(now, key, req) })
	})
	req.stopTimers = append(req.stopTimers, stop)
}

// claimTimedOut ends the wait of one attempt, and the claim itself when the last attempt has stopped waiting.
func (r *Replica) claimTimedOut(now time.Duration, key string, req *request) {
	list := r.peerState.waiting[key]
	index := slices.Index(list, req)
	if index < 0 {
		return
	}
	if list = slices.Delete(list, index, index+1); len(list) == 0 {
		delete(r.peerState.waiting, key)
		r.peerState.claims.CancelClaim(key)
	} else {
		r.peerState.waiting[key] = list
	}
	r.failInDoubt(now, req)
}

// takeWaiting removes and returns the attempts that wait for permission to run a key.
func (r *Replica) takeWaiting(key string) []*request {
	list := r.peerState.waiting[key]
	delete(r.peerState.waiting, key)
	return list
}

// failInDoubt has the module end an attempt that may have run in the other process as a repeat of a request with
// an unknown outcome, so that it fails. A rejection would mean to its router that it never ran.
func (r *Replica) failInDoubt(now time.Duration, req *request) {
	k := r.enterRemote(keyName(req), req.digest, req.arrivedAt, req.class.Deadline)
	k.ended = true
	r.admit(now, req, k)
	r.keys.drop(k)
}

// retryWaiting decides again on attempts that waited for permission.
func (r *Replica) retryWaiting(now time.Duration, list []*request) {
	for _, req := range list {
		k := r.keys.find(req)
		switch {
		case k == nil:
			r.claimKey(now, req)
		case k.digest != req.digest: // as in Arrive, but the request was accepted and must be answered
			r.answer(req, Answer{Kind: Failed})
			r.remove(req)
		default:
			r.admit(now, req, k)
		}
	}
}

// enterRemote adds an entry for a key whose run belongs to the other process.
func (r *Replica) enterRemote(name string, d handover.Digest, until, deadline time.Duration) *key {
	r.nextID++
	k := &key{name: name, holder: r.nextID, digest: d, windowEnd: until, dropAt: until + deadline, ran: true, remote: true}
	r.keys.enter(k)
	return k
}

// remoteRetention returns how long an entry of the other process is kept after its window has ended.
func (r *Replica) remoteRetention() time.Duration { return r.maxAge / maxAgeDeadlines }

// Share sets the share of the replica's capacity that this process may use, while another process uses the rest.
func (r *Replica) Share(share float64) {
	r.locked(func(now time.Duration) { r.callModule(func() { r.ctl.SetServerShare(now, share) }) })
}

// StopAt sets the time at which this process ends while the replica continues in another one; all requests are
// answered by then.
func (r *Replica) StopAt(at time.Duration) {
	r.locked(func(now time.Duration) { r.callModule(func() { r.ctl.SetStopTime(now, at) }) })
}

// FollowPredecessor declares that this process succeeds another one. It is called before any request is accepted.
func (r *Replica) FollowPredecessor() {
	r.locked(func(time.Duration) { r.peerState.claims.FollowOwner() })
}

// PeerConnected handles a new link to the other process. Everything this process knows about keys is sent there first.
func (r *Replica) PeerConnected(p PeerLink) {
	r.locked(func(now time.Duration) {
		r.peerState.peer = p
		r.peerState.claims.LinkUp()
		owner := r.peerState.claims.Role() == handover.Owner
		for _, k := range r.keys.inOrder() {
			if k.name[0] == 'u' && (owner || !k.remote) {
				r.sendToPeer(entryMessage(k))
			}
		}
		if owner {
			doubt := r.peerState.claims.Doubt()
			r.sendToPeer(&handover.Message{Kind: handover.Synced, Until: doubt.Until, Number: int64(doubt.FirstFrom)})
		}
		r.retryAllWaiting(now)
	})
}

// OwnsClaims reports whether this process owns the claims on keys.
func (r *Replica) OwnsClaims() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerState.claims.Role() == handover.Owner
}

// PeerDisconnected handles the end of the link. The outcome of anything the guest may have run is then unknown.
func (r *Replica) PeerDisconnected() {
	r.locked(func(now time.Duration) {
		owner := r.peerState.claims.Role() == handover.Owner
		r.peerState.peer = nil
		r.peerState.claims.LinkDown()
		if owner {
			r.failRemoteRuns()
		}
		r.retryAllWaiting(now)
	})
}

// PredecessorEnded handles the end of the preceding process; complete reports whether every message of
// that process was received.
func (r *Replica) PredecessorEnded(complete bool) {
	r.locked(func(now time.Duration) {
		window := time.Duration(0)
		for _, c := range r.cfg.Policy.Classes {
			window = max(window, c.DedupWindow+c.Deadline)
		}
		r.peerState.peer = nil
		// A router sends a request that crossed the end of its connection once more, unmarked, well within the margin.
		r.peerState.claims.TookOver(complete, handover.Doubt{Until: now + window + keyMargin, FirstFrom: now + keyMargin})
		r.failRemoteRuns()
		r.retryAllWaiting(now)
	})
}

// failRemoteRuns ends the runs of the other process, which has gone. They may have run, so they fail.
func (r *Replica) failRemoteRuns() {
	for _, k := range r.keys.inOrder() {
		if k.remote && !k.ended {
			k.ended = true
			r.releaseWaiting(k, Answer{Kind: Failed}, policy.Failed)
		}
	}
}

// retryAllWaiting decides again on all attempts that wait for permission.
func (r *Replica) retryAllWaiting(now time.Duration) {
	waiting := r.peerState.waiting
	r.peerState.waiting = map[string][]*request{}
	for _, list := range waiting {
		r.retryWaiting(now, list)
	}
}

// ReceiveFromPeer handles a message about a key from the other process.
func (r *Replica) ReceiveFromPeer(m *handover.Message) {
	r.locked(func(now time.Duration) {
		if r.peerState.peer == nil {
			return
		}
		switch m.Kind {
		case handover.Entry:
			r.receiveEntry(now, m)
		case handover.Drop:
			r.receiveDrop(m)
		case handover.Claim:
			r.receiveClaim(now, m)
		case handover.Grant:
			r.receiveGrant(now, m)
		case handover.Synced:
			r.peerState.claims.ReceiveDoubt(handover.Doubt{Until: m.Until, FirstFrom: time.Duration(m.Number)})
			if now < m.Until {
				r.retryAllWaiting(now) // those whose key is in doubt fail at once
			}
		}
	})
}

func (r *Replica) receiveEntry(now time.Duration, m *handover.Message) {
	k := r.keys.byName[m.Key]
	if k != nil && !k.remote && !(k.ended && m.Until > k.windowEnd) {
		return // the entry belongs to this process, or the other process reports a run of this one
	}
	if k == nil || !k.remote {
		k = r.enterRemote(m.Key, m.Digest, m.Until, r.remoteRetention())
	}
	r.keys.extend(k, m.Until, m.Until+r.remoteRetention())
	if m.Ended && !(k.ended && k.succeeded) {
		r.peerState.claims.Ended(m.Key)
		k.ended, k.succeeded = true, m.OK
		a := Answer{Kind: Failed}
		if m.OK && m.Stored {
			r.keys.store(k, m.Body)
			a = Answer{Kind: Served, Body: m.Body}
		}
		outcome := policy.Failed
		if a.Kind == Served {
			outcome = policy.Succeeded
		}
		r.releaseWaiting(k, a, outcome)
	}
	r.peerState.claims.KeyReceived(m.Key)
	r.retryWaiting(now, r.takeWaiting(m.Key))
}

// receiveDrop frees a key. The owner rejects the attempts that waited for it, like the attempt itself, because it
// has granted the key to no other process. The guest fails them, because the owner may have run another attempt by now.
func (r *Replica) receiveDrop(m *handover.Message) {
	k := r.keys.byName[m.Key]
	owner := r.peerState.claims.Role() == handover.Owner
	if k == nil || !k.remote || owner && !r.peerState.claims.Returned(m.Key, m.Seq) {
		return
	}
	r.keys.drop(k)
	if owner {
		r.releaseWaiting(k, Answer{Kind: Rejected, RetryAfter: m.RetryAfter, DoNotRetry: m.DoNotRetry}, policy.Failed)
	} else {
		r.releaseWaiting(k, Answer{Kind: Failed}, policy.Failed)
	}
}

func (r *Replica) receiveClaim(now time.Duration, m *handover.Message) {
	k := r.keys.byName[m.Key]
	free := k == nil || k.ran && k.ended && time.Duration(m.Number) > k.windowEnd
	attempt := handover.Attempt{Key: m.Key, ArrivedAt: time.Duration(m.Number), First: m.OK}
	if !r.peerState.claims.Claimed(now, attempt, m.Seq, free) {
		inDoubt := now < r.peerState.claims.Doubt().Until
		if assert.That(k != nil || inDoubt, "a rejected claim refers to a known key, unless unknown ones are in doubt") && k != nil {
			r.sendToPeer(entryMessage(k))
		}
		return
	}
	if free {
		r.enterRemote(m.Key, m.Digest, m.Until, r.remoteRetention())
	}
	r.sendToPeer(&handover.Message{Kind: handover.Grant, Key: m.Key, Seq: m.Seq})
}

// receiveGrant has the module decide on the first of the waiting attempts; the others repeat it. If the first
// attempt was not kept, the key is given back.
func (r *Replica) receiveGrant(now time.Duration, m *handover.Message) {
	var first *request
	if r.peerState.claims.Granted(m.Key, m.Seq) {
		list := r.takeWaiting(m.Key)
		first, list = list[0], list[1:]
		first.claimSeq = m.Seq
		r.admit(now, first, nil)
		defer r.retryWaiting(now, list)
	}
	if first == nil || first.key == nil {
		r.sendToPeer(&handover.Message{Kind: handover.Drop, Key: m.Key, Seq: m.Seq})
	}
}
