package fleet

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/state/audit"
	"cairnlane/internal/state/configs"
)

// bodyMessage is the message by which boxes transfer contents of configurations: a request names an offset, the answer carries the chunk
// that begins there.
type bodyMessage struct {
	Digest string `cbor:"1,keyasint"`
	From   int    `cbor:"2,keyasint,omitempty"`
	Ask    bool   `cbor:"3,keyasint,omitempty"`
	Data   []byte `cbor:"4,keyasint,omitempty"`
	None   bool   `cbor:"5,keyasint,omitempty"` // the sender does not have the body
}

const (
	chunkBytes    = 32 << 10        // bytes of one answer
	answerTimeout = time.Second     // time until the request goes to the next peer
	maxFetches    = 4               // concurrent fetches
	fetchExpiry   = 5 * time.Minute // age after which a fetch is dropped to make room for another
)

// fetch is the state of one transfer. Chunks received so far are kept when a peer disconnects; the rest is requested from the next peer.
type fetch struct {
	size        int
	buffer      []byte
	requestedAt time.Duration // when the last chunk was requested
	source      string
	startedAt   time.Duration
	nextPeer    int // index of the peer to ask next
}

// configTransfers carries out a node's decisions about configurations: it stores and checks them and transfers bodies between boxes. The
// fleet's lock is held during all calls; the store has a lock of its own.
type configTransfers struct {
	fleet   *Fleet
	store   *configs.Store
	fetches map[string]*fetch
	served  func() (good, bad uint64)
}

// Has implements Configs.
func (v *configTransfers) Has(digest string) bool { return v.store.Body(digest) != nil }

// Served implements Configs.
func (v *configTransfers) Served() (good, bad uint64) {
	if v.served == nil {
		return 0, 0
	}
	return v.served()
}

// Fetch implements Configs.
func (v *configTransfers) Fetch(digest string, size int) {
	now := v.fleet.cfg.Now()
	transfer := v.fetches[digest]
	if transfer == nil {
		for d, o := range v.fetches {
			if now-o.startedAt > fetchExpiry {
				delete(v.fetches, d)
			}
		}
		if len(v.fetches) >= maxFetches || size > rollout.MaxSize {
			return
		}
		transfer = &fetch{size: size, startedAt: now, nextPeer: int(v.fleet.cfg.Now()/time.Millisecond) & 0xffff}
		v.fetches[digest] = transfer
	}
	if transfer.source != "" && now-transfer.requestedAt < answerTimeout {
		return
	}
	v.requestChunk(now, digest, transfer)
}

// requestChunk requests the next chunk from the next peer, in turn, whose link is up.
func (v *configTransfers) requestChunk(now time.Duration, digest string, transfer *fetch) {
	var up []string
	for _, l := range v.fleet.links.Status() {
		if l.Up {
			up = append(up, l.Peer)
		}
	}
	if len(up) == 0 {
		transfer.source = ""
		return
	}
	slices.Sort(up)
	transfer.nextPeer++
	transfer.source, transfer.requestedAt = up[transfer.nextPeer%len(up)], now
	v.send(transfer.source, bodyMessage{Digest: digest, From: len(transfer.buffer), Ask: true})
}

func (v *configTransfers) send(to string, b bodyMessage) {
	raw, err := cbor.Marshal(b)
	if err != nil {
		return // cannot happen: the type is our own
	}
	v.fleet.links.Send(to, kindBodies, raw)
}

// receive handles a peer's request for a chunk or its answer.
func (v *configTransfers) receive(now time.Duration, from string, b bodyMessage) {
	if b.Ask {
		all := v.store.Body(b.Digest)
		if all == nil || b.From < 0 || b.From > len(all) {
			v.send(from, bodyMessage{Digest: b.Digest, From: b.From, None: true})
			return
		}
		v.send(from, bodyMessage{Digest: b.Digest, From: b.From, Data: all[b.From:min(len(all), b.From+chunkBytes)]})
		return
	}
	transfer := v.fetches[b.Digest]
	if transfer == nil || transfer.source != from || b.From != len(transfer.buffer) {
		return
	}
	if b.None || len(b.Data) == 0 && len(transfer.buffer) < transfer.size {
		transfer.source = ""
		return // the next Fetch asks another peer
	}
	if len(transfer.buffer)+len(b.Data) > transfer.size {
		transfer.buffer, transfer.source = nil, ""
		return
	}
	transfer.buffer = append(transfer.buffer, b.Data...)
	if len(transfer.buffer) < transfer.size {
		transfer.requestedAt = now
		v.send(from, bodyMessage{Digest: b.Digest, From: len(transfer.buffer), Ask: true})
		return
	}
	if configs.Digest(transfer.buffer) != b.Digest { // a peer has sent wrong data, so the whole body is fetched again
		v.fleet.cfg.Logf("configuration body fetched last from %s does not match the agreed digest; fetching it again", from)
		transfer.buffer, transfer.source = nil, ""
		return
	}
	delete(v.fetches, b.Digest)
	if _, err := v.store.Put(transfer.buffer); err != nil {
		v.fleet.cfg.Logf("%v", err)
	}
}

// Verify implements Configs.
func (v *configTransfers) Verify(r rollout.Version) (why string) {
	if v.fleet.cfg.CheckConfig != nil {
		if _, _, err := v.fleet.cfg.CheckConfig(r.N, v.store.Body(r.Digest)); err != nil {
			why = err.Error()
		}
	}
	e := audit.Entry{Kind: audit.Config, Ref: r.N, OK: why == "", Text: why}
	if len(e.Text) > 400 {
		e.Text = e.Text[:400]
	}
	v.fleet.recordAuditLocked(e)
	return why
}

// Store implements Configs. The audit entry precedes every effect under the new version: the fleet's lock is held from the entry to
// the end of the change, and Act needs that lock to check an effect.
func (v *configTransfers) Store(r rollout.Version, at LedgerPosition) error {
	if err := v.store.SetInForce(configs.InForce{N: r.N, Digest: r.Digest, Fleet: at.Fleet, Index: at.Index}); err != nil {
		return err
	}
	acts := v.fleet.cfg.AuditBuild
	acts.Fleet, acts.Digest = r.N, r.Digest
	v.fleet.recordAuditLocked(audit.Entry{Kind: audit.Version, Build: &acts})
	return nil
}
