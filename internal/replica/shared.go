package replica

import (
	"slices"
	"time"

	"cairnlane/internal/assert"
	"cairnlane/internal/decide/handover"
	"cairnlane/policy"
)

// Peer is the other process of a replacement. Send never blocks, and a message that it has taken reaches the other
// process also if this one is killed in the next moment, or else the other process will know that it missed some.
type Peer interface{ Send(m *handover.Message) }

// claimTime is how long a try waits for leave to run its key. The other process answers within milliseconds; the try
// ends as failed then, well within its time.
const claimTime = 200 * time.Millisecond

// shared is what a replica keeps about the other process. All of it is guarded by the replica's lock.
type shared struct {
	possible bool // there may be another process
	book     handover.Book
	peer     Peer                  // nil while there is none
	waiting  map[string][]*request // tries whose key is claimed, not yet known to the module
}

func newShared(possible bool) shared {
	return shared{possible: possible, waiting: map[string][]*request{}}
}

func (r *Replica) tell(m *handover.Message) {
	if p := r.shared.peer; p != nil {
		p.Send(m)
	}
}

// tellEntry tells how a keyed entry of ours stands. It is called before RUN is written for it.
func (r *Replica) tellEntry(k *key) {
	if k == nil || k.remote || k.name[0] != 'u' || r.shared.peer == nil {
		return
	}
	r.tell(entryMessage(k))
}

func entryMessage(k *key) *handover.Message {
	return &handover.Message{Kind: handover.Entry, Key: k.name, Seq: k.claim, Digest: k.content, Until: k.until,
		Over: k.over, OK: k.ok, Stored: k.stored, Body: k.result}
}

// tellDrop tells that a key is free again, as its try never ran.
func (r *Replica) tellDrop(k *key) {
	if !k.remote && k.name[0] == 'u' {
		r.tell(&handover.Message{Kind: handover.Drop, Key: k.name, Seq: k.claim, Later: k.refusal.Later, GiveUp: k.refusal.GiveUp})
	}
}

// ask decides on a keyed try whose key is not known here: the other process may have run it.
func (r *Replica) ask(now time.Duration, req *request) {
	key := name(req)
	verdict, seq := r.shared.book.Try(now, key)
	switch verdict {
	case handover.Take:
		r.admit(now, req, nil)
		return
	case handover.Doubt:
		r.doubt(now, req)
		return
	case handover.Ask:
		r.tell(&handover.Message{Kind: handover.Claim, Key: key, Seq: seq, Digest: req.content,
			Until: req.door + req.class.Window + keyMargin, N: int64(req.door)})
	}
	r.shared.waiting[key] = append(r.shared.waiting[key], req)
	r.clock.AfterFunc(min(claimTime, max(req.door+r.patience(req)-now, 0)), func() {
		r.enter(func(now time.Duration) { r.waitedTooLong(now, key, req) })
	})
}

// waitedTooLong ends the wait of one try, and the claim with that of the last.
func (r *Replica) waitedTooLong(now time.Duration, key string, req *request) {
	list := r.shared.waiting[key]
	at := slices.Index(list, req)
	if at < 0 {
		return
	}
	if list = slices.Delete(list, at, at+1); len(list) == 0 {
		delete(r.shared.waiting, key)
		r.shared.book.GaveUp(key)
	} else {
		r.shared.waiting[key] = list
	}
	r.doubt(now, req)
}

// waited takes out the tries that wait for leave to run a key.
func (r *Replica) waited(key string) []*request {
	list := r.shared.waiting[key]
	delete(r.shared.waiting, key)
	return list
}

// doubt has the module end a try that may have run in the other process: it repeats a request whose outcome is not
// known, so that it fails. To refuse it would tell its router that it never ran.
func (r *Replica) doubt(now time.Duration, req *request) {
	k := r.foreign(name(req), req.content, req.door, req.class.Deadline)
	k.over = true
	r.admit(now, req, k)
	r.keys.drop(k)
}

// again decides once more on tries that waited for leave.
func (r *Replica) again(now time.Duration, list []*request) {
	for _, req := range list {
		k := r.keys.find(req)
		switch {
		case k == nil:
			r.ask(now, req)
		case k.content != req.content: // as in Arrive; by now it can only be answered
			r.answer(req, Answer{Kind: Failed})
			r.forget(req)
		default:
			r.admit(now, req, k)
		}
	}
}

// foreign enters a key whose run is the other process's.
func (r *Replica) foreign(called string, d handover.Digest, until, deadline time.Duration) *key {
	r.nextID++
	k := &key{name: called, holder: r.nextID, content: d, until: until, dropAt: until + deadline, ran: true, remote: true}
	r.keys.enter(k)
	return k
}

// lapse is how long an entry of the other process is kept beyond its window.
func (r *Replica) lapse() time.Duration { return r.oldest / oldestDeadlines }

// Share gives this process a part of what the replica may hold and run, while another one has the rest.
func (r *Replica) Share(share float64) {
	r.enter(func(now time.Duration) { r.call(func() { r.ctl.Share(now, share) }) })
}

// StopAt says when this process ends, though the replica goes on: all is answered by then.
func (r *Replica) StopAt(at time.Duration) {
	r.enter(func(now time.Duration) { r.call(func() { r.ctl.StopAt(now, at) }) })
}

// Follow says, before anything is taken, that there is a process before this one.
func (r *Replica) Follow() { r.enter(func(time.Duration) { r.shared.book.Follow() }) }

// Joined takes the link to the other process: all that this one knows of keys is told there first.
func (r *Replica) Joined(p Peer) {
	r.enter(func(now time.Duration) {
		r.shared.peer = p
		r.shared.book.Joined()
		owner := r.shared.book.Role() == handover.Owner
		for _, k := range r.keys.order {
			if r.keys.byName[k.name] == k && k.name[0] == 'u' && (owner || !k.remote) {
				r.tell(entryMessage(k))
			}
		}
		if owner {
			r.tell(&handover.Message{Kind: handover.Synced})
		}
		r.restart(now)
	})
}

// Owner tells whether this process owns the claims on keys.
func (r *Replica) Owner() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shared.book.Role() == handover.Owner
}

// Parted says that the link has ended. What the guest may run has an outcome that nobody knows.
func (r *Replica) Parted() {
	r.enter(func(now time.Duration) {
		owner := r.shared.book.Role() == handover.Owner
		r.shared.peer = nil
		r.shared.book.Lost()
		if owner {
			r.unknown()
		}
		r.restart(now)
	})
}

// TookOver says that the process before this one has ended, and whether all that it ran was told.
func (r *Replica) TookOver(all bool) {
	r.enter(func(now time.Duration) {
		window := time.Duration(0)
		for _, c := range r.cfg.Policy.Classes {
			window = max(window, c.Window+c.Deadline)
		}
		r.shared.peer = nil
		r.shared.book.TookOver(all, now+window+keyMargin)
		r.unknown()
		r.restart(now)
	})
}

// unknown ends the runs of the other process that has gone: they may have run, so that they fail.
func (r *Replica) unknown() {
	for _, k := range r.keys.order {
		if k.remote && !k.over && r.keys.byName[k.name] == k {
			k.over = true
			r.release(k, Answer{Kind: Failed}, policy.Failed)
		}
	}
}

// restart decides anew on all tries that wait for leave.
func (r *Replica) restart(now time.Duration) {
	waiting := r.shared.waiting
	r.shared.waiting = map[string][]*request{}
	for _, list := range waiting {
		r.again(now, list)
	}
}

// Told takes a message about a key.
func (r *Replica) Told(m *handover.Message) {
	r.enter(func(now time.Duration) {
		if r.shared.peer == nil {
			return
		}
		switch m.Kind {
		case handover.Entry:
			r.entryTold(now, m)
		case handover.Drop:
			r.dropTold(m)
		case handover.Claim:
			r.claimTold(m)
		case handover.Grant:
			r.grantTold(now, m)
		}
	})
}

func (r *Replica) entryTold(now time.Duration, m *handover.Message) {
	k := r.keys.byName[m.Key]
	if k != nil && !k.remote && !(k.over && m.Until > k.until) {
		return // it is ours; or the other process tells of what we ran
	}
	if k == nil || !k.remote {
		k = r.foreign(m.Key, m.Digest, m.Until, r.lapse())
	}
	k.until, k.dropAt = m.Until, m.Until+r.lapse()
	if m.Over && !(k.over && k.ok) {
		r.shared.book.Ended(m.Key)
		k.over, k.ok = true, m.OK
		a := Answer{Kind: Failed}
		if m.OK && m.Stored {
			r.keys.store(k, m.Body)
			a = Answer{Kind: Served, Body: k.result}
		}
		outcome := policy.Failed
		if a.Kind == Served {
			outcome = policy.Succeeded
		}
		r.release(k, a, outcome)
	}
	r.shared.book.Told(m.Key)
	r.again(now, r.waited(m.Key))
}

// dropTold frees a key. Those who waited for its try are refused like it by the owner, who has let nobody else run
// the key. At the guest they fail: the owner may have run another try of it by now.
func (r *Replica) dropTold(m *handover.Message) {
	k := r.keys.byName[m.Key]
	owner := r.shared.book.Role() == handover.Owner
	if k == nil || !k.remote || owner && !r.shared.book.Returned(m.Key, m.Seq) {
		return
	}
	r.keys.drop(k)
	if owner {
		r.release(k, Answer{Kind: Refused, Later: m.Later, GiveUp: m.GiveUp}, policy.Failed)
	} else {
		r.release(k, Answer{Kind: Failed}, policy.Failed)
	}
}

func (r *Replica) claimTold(m *handover.Message) {
	k := r.keys.byName[m.Key]
	free := k == nil || k.ran && k.over && time.Duration(m.N) > k.until
	if !r.shared.book.Claimed(m.Key, m.Seq, free) {
		if assert.That(k != nil, "a claim that is not granted is on a known key") {
			r.tell(entryMessage(k))
		}
		return
	}
	if free {
		r.foreign(m.Key, m.Digest, m.Until, r.lapse())
	}
	r.tell(&handover.Message{Kind: handover.Grant, Key: m.Key, Seq: m.Seq})
}

// grantTold has the module decide on the first of those that waited; the others repeat it. If it was not kept, the
// key goes back.
func (r *Replica) grantTold(now time.Duration, m *handover.Message) {
	var first *request
	if r.shared.book.Granted(m.Key, m.Seq) {
		list := r.waited(m.Key)
		first, list = list[0], list[1:]
		first.claim = m.Seq
		r.admit(now, first, nil)
		defer r.again(now, list)
	}
	if first == nil || first.key == nil {
		r.tell(&handover.Message{Kind: handover.Drop, Key: m.Key, Seq: m.Seq})
	}
}
