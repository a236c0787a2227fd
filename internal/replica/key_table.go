package replica

import (
	"crypto/sha256"
	"time"

	"cairnlane/internal/decide/handover"
	"cairnlane/policy"
)

// key is an entry of the key table: it links the attempts of one keyed request, or the reads that share one
// result, from the moment the first of them is queued until the window of the one that ran has ended.
type key struct {
	name      string
	holder    policy.RequestID
	digest    handover.Digest // of class and body, which all attempts of a keyed request share
	windowEnd time.Duration   // attempts that arrived at the machine by then are linked
	dropAt    time.Duration   // after windowEnd: an attempt that arrived inside the window may be read long after it
	ran       bool            // the module decided to run the holder
	ended     bool            // the run has ended
	succeeded bool            // the run succeeded
	result    []byte          // nil once evicted
	stored    bool            // result is stored
	waiting   []*request
	remote    bool   // the run belongs to the peer process
	claimSeq  uint64 // number of the claim by which the peer process granted the key
	rejection Answer // the answer with which the holder was rejected
}

func (k *key) removeWaiting(req *request) {
	for i, w := range k.waiting {
		if w == req {
			k.waiting = append(k.waiting[:i], k.waiting[i+1:]...)
			return
		}
	}
}

// maxExpirePerTick limits the number of entries that one tick examines.
const maxExpirePerTick = 64

type keyTable struct {
	byName         map[string]*key
	byHolder       map[policy.RequestID]*key
	byAge          []*key // in order of creation
	results        []*key // entries with a stored result, oldest first
	resultBytes    int    // total size of the stored results
	maxResultBytes int
}

// keyName returns the name of a request's entry in the key table, or "" if it has none.
func keyName(req *request) string {
	switch {
	case req.class.Semantics == policy.Keyed:
		return "u " + req.IdempotencyKey
	case req.class.Semantics == policy.Safe && req.Item != "":
		return "i " + req.Class + " " + req.Item
	}
	return ""
}

// contentDigest returns the digest of what all attempts of one keyed request have in common. It is collision
// resistant and the same in both processes of a replacement.
func contentDigest(q *Request) (d handover.Digest) {
	h := sha256.New()
	h.Write([]byte(q.Class))
	h.Write([]byte{0})
	h.Write(q.Body)
	copy(d[:], h.Sum(nil))
	return d
}

// find returns the entry that a new attempt repeats. The arrival time of the attempt counts, however late it is
// read.
func (t *keyTable) find(req *request) *key {
	k := t.byName[keyName(req)]
	if k == nil || k.ran && k.ended && req.arrivedAt > k.windowEnd {
		return nil
	}
	if k.ended && !k.succeeded && req.class.Semantics != policy.Keyed {
		return nil // the result of a failed read is not shared
	}
	return k
}

// keep adds an entry for a request; it replaces one whose window has ended.
func (t *keyTable) keep(req *request, until time.Duration) *key {
	k := &key{name: keyName(req), holder: req.id, digest: req.digest, windowEnd: until, dropAt: until + req.class.Deadline, claimSeq: req.claimSeq}
	if k.name == "" {
		return nil
	}
	t.enter(k)
	return k
}

// enter adds an entry and replaces the one of the same name.
func (t *keyTable) enter(k *key) {
	if old := t.byName[k.name]; old != nil {
		t.drop(old)
	}
	t.byName[k.name], t.byHolder[k.holder] = k, k
	t.byAge = append(t.byAge, k)
}

func (t *keyTable) drop(k *key) {
	if t.byName[k.name] == k {
		delete(t.byName, k.name)
	}
	delete(t.byHolder, k.holder)
	t.unstore(k)
}

func (t *keyTable) unstore(k *key) {
	t.resultBytes -= len(k.result)
	k.result, k.stored = nil, false
}

// store keeps the result for repeats. If the stored results exceed maxResultBytes, the oldest are evicted.
func (t *keyTable) store(k *key, result []byte) {
	k.result, k.stored = append([]byte{}, result...), true
	t.resultBytes += len(result)
	t.results = append(t.results, k)
	for len(t.results) > 0 && (t.resultBytes > t.maxResultBytes || !t.results[0].stored) {
		t.unstore(t.results[0])
		t.results = t.results[1:]
	}
}

// expire drops entries whose window has ended. An entry whose run has not ended stays, because a repeat may wait
// for it, but moves to the end of the list: at the head it would block the expiry of all later entries. An entry
// that has not run is dropped when the module forgets it.
func (t *keyTable) expire(now time.Duration) {
	for n := min(len(t.byAge), maxExpirePerTick); n > 0; n-- {
		k := t.byAge[0]
		kept := t.byHolder[k.holder] == k
		if kept && now <= k.dropAt {
			return
		}
		t.byAge[0] = nil
		t.byAge = t.byAge[1:]
		switch {
		case !kept: // dropped before
		case k.ended:
			t.drop(k)
		default:
			k.dropAt = now + keyMargin
			t.byAge = append(t.byAge, k)
		}
	}
}
