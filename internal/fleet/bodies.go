package fleet

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/state/audit"
	"cairnlane/internal/state/configs"
)

// body is what boxes say to each other of the contents of configurations: who asks says from where, who has it answers with a
// part.
type body struct {
	Digest string `cbor:"1,keyasint"`
	From   int    `cbor:"2,keyasint,omitempty"`
	Ask    bool   `cbor:"3,keyasint,omitempty"`
	Data   []byte `cbor:"4,keyasint,omitempty"`
	None   bool   `cbor:"5,keyasint,omitempty"` // it is not here
}

const (
	partMost   = 32 << 10        // bytes of one answer
	answerTime = time.Second     // for an answer, before another peer is asked
	fetchMost  = 4               // bodies that are fetched at a time
	idleFetch  = 5 * time.Minute // after which a body that nobody has is forgotten
)

// fetch is a body that is on its way. What has come stays when a peer goes: the next one is asked for the rest.
type fetch struct {
	size  int
	got   []byte
	asked time.Duration // when a part was asked for
	from  string
	began time.Duration
	next  int // peer to ask
}

// versions carries out what a node decides of configurations: the store, the check and the way of bodies between boxes. The fleet's
// lock is held for all of it, but for what stands with the store.
type versions struct {
	f       *Fleet
	store   *configs.Store
	fetches map[string]*fetch
	good    func() (good, bad uint64)
}

// Has implements Configs.
func (v *versions) Has(digest string) bool { return v.store.Body(digest) != nil }

// Served implements Configs.
func (v *versions) Served() (good, bad uint64) {
	if v.good == nil {
		return 0, 0
	}
	return v.good()
}

// Fetch implements Configs.
func (v *versions) Fetch(digest string, size int) {
	now := v.f.cfg.Now()
	w := v.fetches[digest]
	if w == nil {
		for d, o := range v.fetches {
			if now-o.began > idleFetch {
				delete(v.fetches, d)
			}
		}
		if len(v.fetches) >= fetchMost || size > rollout.SizeMost {
			return
		}
		w = &fetch{size: size, began: now, next: int(v.f.cfg.Now()/time.Millisecond) & 0xffff}
		v.fetches[digest] = w
	}
	if w.from != "" && now-w.asked < answerTime {
		return
	}
	v.ask(now, digest, w)
}

// ask has the next peer that a link stands to send on.
func (v *versions) ask(now time.Duration, digest string, w *fetch) {
	var up []string
	for _, l := range v.f.links.Status() {
		if l.Up {
			up = append(up, l.Peer)
		}
	}
	if len(up) == 0 {
		w.from = ""
		return
	}
	slices.Sort(up)
	w.next++
	w.from, w.asked = up[w.next%len(up)], now
	v.say(w.from, body{Digest: digest, From: len(w.got), Ask: true})
}

func (v *versions) say(to string, b body) {
	raw, err := cbor.Marshal(b)
	if err != nil {
		return // of our own types
	}
	v.f.links.Send(to, kindBodies, raw)
}

// heard takes what a peer says of a body.
func (v *versions) heard(now time.Duration, from string, b body) {
	if b.Ask {
		all := v.store.Body(b.Digest)
		if all == nil || b.From < 0 || b.From > len(all) {
			v.say(from, body{Digest: b.Digest, From: b.From, None: true})
			return
		}
		v.say(from, body{Digest: b.Digest, From: b.From, Data: all[b.From:min(len(all), b.From+partMost)]})
		return
	}
	w := v.fetches[b.Digest]
	if w == nil || w.from != from || b.From != len(w.got) {
		return
	}
	if b.None || len(b.Data) == 0 && len(w.got) < w.size {
		w.from = ""
		return // another one is asked when the node asks next
	}
	if len(w.got)+len(b.Data) > w.size {
		w.got, w.from = nil, ""
		return
	}
	w.got = append(w.got, b.Data...)
	if len(w.got) < w.size {
		w.asked = now
		v.say(from, body{Digest: b.Digest, From: len(w.got), Ask: true})
		return
	}
	if configs.Digest(w.got) != b.Digest { // somebody has sent something else: all of it is fetched anew
		v.f.cfg.Told("the body of a configuration that came last from %s is not what the fleet has agreed on; it is fetched anew", from)
		w.got, w.from = nil, ""
		return
	}
	delete(v.fetches, b.Digest)
	if _, err := v.store.Put(w.got); err != nil {
		v.f.cfg.Told("%v", err)
	}
}

// Verify implements Configs.
func (v *versions) Verify(r rollout.Version) (why string) {
	if v.f.cfg.Check != nil {
		if _, _, err := v.f.cfg.Check(r.N, v.store.Body(r.Digest)); err != nil {
			why = err.Error()
		}
	}
	e := audit.Entry{Kind: audit.Config, Ref: r.N, OK: why == "", Text: why}
	if len(e.Text) > 400 {
		e.Text = e.Text[:400]
	}
	v.f.noteLocked(e)
	return why
}

// Store implements Configs. The audit has the new version before anything is done under it: the fleet's lock is held from here to
// the end of the change, and an effect's check waits for it.
func (v *versions) Store(r rollout.Version, at Place) error {
	if err := v.store.Enter(configs.InForce{N: r.N, Digest: r.Digest, Fleet: at.Fleet, Index: at.Index}); err != nil {
		return err
	}
	acts := v.f.cfg.Acts
	acts.Fleet, acts.Digest = r.N, r.Digest
	v.f.noteLocked(audit.Entry{Kind: audit.Version, Build: &acts})
	return nil
}
