package replica

import (
	"cmp"
	"container/heap"
	"container/list"
	"crypto/sha256"
	"maps"
	"slices"
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
	stored    *list.Element   // its element in keyTable.results; nil if no result is stored
	expiry    int             // its index in keyTable.expiries
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

// keyTable holds the entries of keys. Nothing of an entry stays behind once it is dropped, so the memory of the table follows the
// entries inside their windows. The module limits their number by their cost.
type keyTable struct {
	byName         map[string]*key
	byHolder       map[policy.RequestID]*key
	expiries       keyExpiries
	results        list.List // of *key: entries with a stored result, oldest first
	resultBytes    int       // total size of the stored results
	maxResultBytes int
}

func newKeyTable(maxResultBytes int) keyTable {
	return keyTable{byName: map[string]*key{}, byHolder: map[policy.RequestID]*key{}, maxResultBytes: maxResultBytes}
}

// keyExpiries is a min-heap of all entries by dropAt; it implements heap.Interface.
type keyExpiries []*key

func (e keyExpiries) Len() int           { return len(e) }
func (e keyExpiries) Less(i, j int) bool { return e[i].dropAt < e[j].dropAt }

func (e keyExpiries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].expiry, e[j].expiry = i, j
}

func (e *keyExpiries) Push(x any) {
	k := x.(*key)
	k.expiry = len(*e)
	*e = append(*e, k)
}

func (e *keyExpiries) Pop() any {
	last := len(*e) - 1
	k := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return k
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
	heap.Push(&t.expiries, k)
}

// drop removes an entry. An entry that was dropped before is left as it is.
func (t *keyTable) drop(k *key) {
	if t.byHolder[k.holder] != k {
		return
	}
	if t.byName[k.name] == k {
		delete(t.byName, k.name)
	}
	delete(t.byHolder, k.holder)
	heap.Remove(&t.expiries, k.expiry)
	t.unstore(k)
}

// extend moves the window of an entry.
func (t *keyTable) extend(k *key, windowEnd, dropAt time.Duration) {
	k.windowEnd, k.dropAt = windowEnd, dropAt
	heap.Fix(&t.expiries, k.expiry)
}

// inOrder returns all entries in order of creation.
func (t *keyTable) inOrder() []*key {
	return slices.SortedFunc(maps.Values(t.byHolder), func(a, b *key) int { return cmp.Compare(a.holder, b.holder) })
}

// unstore drops the stored result of an entry, if there is one.
func (t *keyTable) unstore(k *key) {
	if k.stored == nil {
		return
	}
	t.resultBytes -= len(k.result)
	t.results.Remove(k.stored)
	k.result, k.stored = nil, nil
}

// store keeps the result of an entry for repeats. If the stored results exceed maxResultBytes, the oldest are evicted. The
// result of an entry that was dropped before is not kept.
func (t *keyTable) store(k *key, result []byte) {
	if t.byHolder[k.holder] != k {
		return
	}
	t.unstore(k)
	k.result, k.stored = append([]byte{}, result...), t.results.PushBack(k)
	t.resultBytes += len(result)
	for t.resultBytes > t.maxResultBytes {
		t.unstore(t.results.Front().Value.(*key))
	}
}

// expire drops the entries whose window has ended. An entry whose run has not ended stays, because a repeat may wait for it. An
// entry that has not run is dropped when the module forgets it.
func (t *keyTable) expire(now time.Duration) {
	for len(t.expiries) > 0 && t.expiries[0].dropAt < now {
		k := t.expiries[0]
		if k.ended {
			t.drop(k)
		} else {
			t.extend(k, k.windowEnd, now+keyMargin)
		}
	}
}
