package replica

import (
	"crypto/sha256"
	"time"

	"cairnlane/internal/decide/handover"
	"cairnlane/policy"
)

// key is an entry of the key table: it links the tries of one keyed request, from the moment the
// first of them is held until the window of the one that ran is over.
type key struct {
	name    string
	holder  policy.RequestID
	content handover.Digest // of class and body, which all tries of a request share
	until   time.Duration   // tries that came to the machine before it are linked
	dropAt  time.Duration   // later than until: a try that came inside the window may be read long after it
	ran     bool            // the holder was given to the engine
	over    bool            // its run has ended
	ok      bool            // with a result
	result  []byte          // nil once dropped for room
	stored  bool            // result is there
	waiting []*request
	remote  bool   // the other process of a replacement has the run
	claim   uint64 // under which this process got it from there
	refusal Answer // what its holder was refused with
}

func (k *key) leave(req *request) {
	for i, w := range k.waiting {
		if w == req {
			k.waiting = append(k.waiting[:i], k.waiting[i+1:]...)
			return
		}
	}
}

// expireMost bounds the entries that are looked at in one tick.
const expireMost = 64

type keyTable struct {
	byName   map[string]*key
	byHolder map[policy.RequestID]*key
	order    []*key // by the time they were made
	results  []*key // with a stored result, oldest first
	bytes    int    // of stored results
	bound    int
}

// name is how the entry of a request is called.
func name(req *request) string {
	switch {
	case req.class.Semantics == policy.Keyed:
		return "u " + req.Unique
	case req.class.Semantics == policy.Safe && req.Item != "":
		return "i " + req.Class + " " + req.Item
	}
	return ""
}

// content digests what all tries of one keyed request have in common. Nobody can make two bodies that share one, and
// it is the same in both processes of a replacement.
func content(q *Request) (d handover.Digest) {
	h := sha256.New()
	h.Write([]byte(q.Class))
	h.Write([]byte{0})
	h.Write(q.Body)
	copy(d[:], h.Sum(nil))
	return d
}

// find returns the entry that a new try repeats. What counts is when the try came to the machine,
// however late it is read.
func (t *keyTable) find(req *request) *key {
	k := t.byName[name(req)]
	if k == nil || k.ran && k.over && req.door > k.until {
		return nil
	}
	if k.over && !k.ok && req.class.Semantics != policy.Keyed {
		return nil // a read that failed serves no other
	}
	return k
}

// keep enters a request, in place of an entry whose time is over.
func (t *keyTable) keep(req *request, until time.Duration) *key {
	k := &key{name: name(req), holder: req.id, content: req.content, until: until, dropAt: until + req.class.Deadline, claim: req.claim}
	if k.name == "" {
		return nil
	}
	t.enter(k)
	return k
}

// enter adds an entry in place of the one that has its name.
func (t *keyTable) enter(k *key) {
	if old := t.byName[k.name]; old != nil {
		t.drop(old)
	}
	t.byName[k.name], t.byHolder[k.holder] = k, k
	t.order = append(t.order, k)
}

func (t *keyTable) drop(k *key) {
	if t.byName[k.name] == k {
		delete(t.byName, k.name)
	}
	delete(t.byHolder, k.holder)
	t.unstore(k)
}

func (t *keyTable) unstore(k *key) {
	t.bytes -= len(k.result)
	k.result, k.stored = nil, false
}

// store remembers the result for repeats, within the bound on all results: the oldest go first.
func (t *keyTable) store(k *key, result []byte) {
	k.result, k.stored = append([]byte{}, result...), true
	t.bytes += len(result)
	t.results = append(t.results, k)
	for len(t.results) > 0 && (t.bytes > t.bound || !t.results[0].stored) {
		t.unstore(t.results[0])
		t.results = t.results[1:]
	}
}

// expire drops entries whose window is over. One whose run has not ended stays, as a repeat may wait for
// it, but is looked at again later: at the head of the order it must not hold back all that came after it.
// One that has not run goes when the module forgets it.
func (t *keyTable) expire(now time.Duration) {
	for n := min(len(t.order), expireMost); n > 0; n-- {
		k := t.order[0]
		kept := t.byHolder[k.holder] == k
		if kept && now <= k.dropAt {
			return
		}
		t.order[0] = nil
		t.order = t.order[1:]
		switch {
		case !kept: // dropped before
		case k.over:
			t.drop(k)
		default:
			k.dropAt = now + keyMargin
			t.order = append(t.order, k)
		}
	}
}
