package peer

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"maps"
	mrand "math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/time/rate"

	"cairnlane/internal/counters"
)

// Config configures Links.
type Config struct {
	Name     string
	Listen   string
	Peers    map[string]string // addresses by name
	Keys     func() ([][]byte, error)
	Kinds    []KindLimits
	Now      func() time.Duration
	Counters *counters.Set
	Logf     func(format string, args ...any) // writes a log line for operators; called at a limited rate
}

const (
	dialTimeout            = time.Second
	handshakeTimeout       = 2 * time.Second  // for both ends to authenticate
	writeTimeout           = 5 * time.Second  // a peer that does not read for this long counts as disconnected
	idleTimeout            = 30 * time.Second // a link without traffic for this long is closed
	minRedialDelay         = 50 * time.Millisecond
	maxRedialDelay         = 2 * time.Second
	maxUnauthenticated     = 64 // unauthenticated connections
	maxBatchBytes          = 64 << 10
	maxReadBytes           = 64 << 10
	maxMessageRate         = 20_000   // per second and link; further messages are dropped
	maxByteRate            = 64 << 20 // per second and link; further messages are dropped
	simultaneousDialWindow = 2 * time.Second
)

// reasons lists the reasons whose log lines are limited separately.
var reasons = [...]error{ErrProtocol, ErrKey, ErrUnknownBox, ErrVersion, ErrOwnName, ErrMAC, ErrFrameTooLong}

// reasonOf returns the index of a reason; all reasons that are not listed share the last one.
func reasonOf(err error) int {
	for i, r := range reasons {
		if errors.Is(err, r) {
			return i
		}
	}
	return len(reasons) + 2
}

// Links holds a box's links to all its peers.
type Links struct {
	cfg       Config
	run       uint64
	receive   func(from string, kind byte, payload []byte)
	ln        netpoll.Listener
	loop      netpoll.EventLoop
	logLimits [len(reasons) + 3]rate.Sometimes // one for each reason, so that frequent lines of one reason do not suppress the others
	count     struct{ up, ended, rejected, in, out, bytes, dropped, flooded *counters.Counter }

	mu              sync.Mutex
	peers           map[string]*peerState
	unauthenticated int
	closed          bool
}

// peerState is the state of one peer.
type peerState struct {
	name    string
	queue   *queue
	link    *link
	dialing bool
	failure string // of the last attempt
}

// link is one connection to a peer.
type link struct {
	netpoll.Connection
	links             *Links
	sess              *session
	peer              *peerState // set once the peer is authenticated
	since             time.Duration
	limits            struct{ messages, bytes *rate.Limiter }
	authenticatedOnce sync.Once

	mu            sync.Mutex // guards the fields below
	changed       sync.Cond
	handshakeOut  []byte // handshake frames to be written
	ended         bool
	reason        error
	authenticated bool
	lastUsed      time.Duration
}

// Status describes the link to a peer.
type Status struct {
	Peer    string        `json:"peer"`
	Address string        `json:"address"`
	Up      bool          `json:"up"`
	For     time.Duration `json:"for_ns,omitempty"`
	Waiting int           `json:"waiting"` // messages
	Dropped int           `json:"dropped"`
	Failure string        `json:"failure,omitempty"`
}

// Listen accepts peers' connections at cfg.Listen. receive is called for one message of a link at a time, but concurrently for several
// links. The payload is valid only during the call.
func Listen(cfg Config, receive func(from string, kind byte, payload []byte)) (*Links, error) {
	if cfg.Logf == nil {
		cfg.Logf = func(string, ...any) {}
	}
	if _, err := cfg.Keys(); err != nil {
		return nil, err
	}
	l := &Links{cfg: cfg, run: mrand.Uint64(), receive: receive, peers: map[string]*peerState{}}
	for i := range l.logLimits {
		l.logLimits[i] = rate.Sometimes{First: 5, Interval: time.Second}
	}
	for name, c := range map[string]**counters.Counter{"up": &l.count.up, "ended": &l.count.ended, "refused": &l.count.rejected, "messages_in": &l.count.in,
		"messages_out": &l.count.out, "bytes_out": &l.count.bytes, "messages_dropped": &l.count.dropped, "messages_flooded": &l.count.flooded} {
		*c = cfg.Counters.Get("fleet_links_" + name)
	}
	for name := range cfg.Peers {
		if name != cfg.Name {
			l.peers[name] = &peerState{name: name, queue: newQueue(cfg.Kinds)}
		}
	}
	var err error
	if l.ln, err = netpoll.CreateListener("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l.loop, err = netpoll.NewEventLoop(func(ctx context.Context, c netpoll.Connection) error {
		if k, ok := ctx.Value(linkKey{}).(*link); ok {
			return k.read(c)
		}
		return c.Close()
	}, netpoll.WithOnPrepare(l.accept), netpoll.WithOnConnect(func(ctx context.Context, c netpoll.Connection) context.Context {
		if _, ok := ctx.Value(linkKey{}).(*link); !ok {
			c.Close()
		}
		return ctx
	}))
	if err != nil {
		l.ln.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	go l.loop.Serve(l.ln)
	return l, nil
}

// Addr returns the address on which peers' connections are accepted.
func (l *Links) Addr() string { return l.ln.Addr().String() }

// Close closes all links.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	var list []*link
	for _, p := range l.peers {
		if p.link != nil {
			list = append(list, p.link)
		}
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	l.loop.Shutdown(ctx)
	for _, k := range list {
		k.end(nil)
	}
}

type linkKey struct{}

// accept handles an incoming connection.
func (l *Links) accept(c netpoll.Connection) context.Context {
	l.mu.Lock()
	full := l.closed || l.unauthenticated >= maxUnauthenticated
	if !full {
		l.unauthenticated++
	}
	l.mu.Unlock()
	if full {
		l.count.rejected.Inc()
		l.logLimits[len(reasons)].Do(func() {
			l.cfg.Logf("closing connection from %s: %d unauthenticated connections already open", c.RemoteAddr(), maxUnauthenticated)
		})
		return context.Background() // closed in the OnConnect callback
	}
	k, err := l.attach(c)
	if err != nil {
		l.addUnauthenticated(-1)
		l.cfg.Logf("%v", err)
		return context.Background()
	}
	return context.WithValue(context.Background(), linkKey{}, k)
}

func (l *Links) addUnauthenticated(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unauthenticated += n
}

// attach creates a link for a connection and starts its writer.
func (l *Links) attach(c netpoll.Connection) (*link, error) {
	keys, err := l.cfg.Keys()
	if err != nil {
		return nil, err
	}
	k := &link{Connection: c, links: l, since: l.cfg.Now()}
	k.changed.L = &k.mu
	k.limits.messages, k.limits.bytes = rate.NewLimiter(maxMessageRate, maxMessageRate), rate.NewLimiter(maxByteRate, maxFrameBytes)
	if k.sess, err = newSession(l.cfg.Name, l.run, keys, rand.Reader); err != nil {
		return nil, err
	}
	k.sess.isKnown = func(name string) bool { _, ok := l.cfg.Peers[name]; return ok }
	k.sess.write = func(p []byte) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.handshakeOut = append(k.handshakeOut, p...)
		k.changed.Signal()
	}
	k.sess.onEstablished = func(*session) error { return l.adopt(k) }
	k.sess.onMessage = k.receive
	c.SetWriteTimeout(writeTimeout)
	c.AddCloseCallback(func(netpoll.Connection) error {
		k.end(nil)
		return nil
	})
	go k.write()
	return k, nil
}

// read passes received bytes to the session. It runs in netpoll's callback, which is called once at a time per connection.
func (k *link) read(c netpoll.Connection) error {
	r := c.Reader()
	for r.Len() > 0 {
		p, err := r.Next(min(r.Len(), maxReadBytes))
		if err == nil {
			err = k.sess.feed(p)
		}
		if err == nil {
			err = r.Release()
		}
		if err != nil {
			k.end(err)
			return err
		}
	}
	return nil
}

func (k *link) receive(kind byte, payload []byte) {
	now := time.Now()
	k.mu.Lock()
	k.lastUsed = k.links.cfg.Now()
	k.mu.Unlock()
	if !k.limits.messages.AllowN(now, 1) || !k.limits.bytes.AllowN(now, len(payload)) {
		k.links.count.flooded.Inc()
		k.links.logLimits[len(reasons)+1].Do(func() {
			k.links.cfg.Logf("%s sends more than %d messages or %d MB per second; dropping some", k.sess.peer, maxMessageRate, maxByteRate>>20)
		})
		return
	}
	if int(kind) < len(k.links.cfg.Kinds) { // a later build may send further kinds
		k.links.count.in.Inc()
		k.links.receive(k.sess.peer, kind, payload)
	}
}

// adopt makes an authenticated link the peer's link. A newer link replaces an older one, because a restarted peer no longer has the old
// one. If both ends have dialled at the same time, the link dialled by the lower name stays.
func (l *Links) adopt(k *link) error {
	l.mu.Lock()
	p := l.peers[k.sess.peer]
	if p == nil || l.closed {
		l.mu.Unlock()
		return ErrUnknownBox
	}
	old := p.link
	if old != nil && old.sess.peerRun == k.sess.peerRun && l.cfg.Now()-old.since < simultaneousDialWindow && old.sess.isDialer != k.sess.isDialer {
		if old.sess.isDialer == (l.cfg.Name < p.name) {
			l.mu.Unlock()
			return errSimultaneousDial
		}
	}
	p.link, p.failure = k, ""
	l.mu.Unlock()
	k.clearUnauthenticated()
	k.mu.Lock()
	k.peer, k.authenticated, k.lastUsed = p, true, l.cfg.Now()
	ended := k.ended
	k.changed.Signal()
	k.mu.Unlock()
	if ended { // the link closed in the meantime
		l.forget(k)
		return errReplaced
	}
	l.count.up.Inc()
	if old != nil {
		old.end(errReplaced)
	}
	return nil
}

// clearUnauthenticated ends a link's count as unauthenticated, once it has authenticated or ended.
func (k *link) clearUnauthenticated() {
	if !k.sess.isDialer {
		k.authenticatedOnce.Do(func() { k.links.addUnauthenticated(-1) })
	}
}

// forget removes a link from its peer.
func (l *Links) forget(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[k.sess.peer]; p != nil && p.link == k {
		p.link = nil
	}
}

var (
	errSimultaneousDial = errors.New("both ends dialled at once; keeping the other link")
	errReplaced         = errors.New("replaced by a newer link")
)

// end ends a link with a reason; only the first call has an effect.
func (k *link) end(reason error) {
	k.mu.Lock()
	if k.ended {
		k.mu.Unlock()
		return
	}
	k.ended, k.reason = true, reason
	authenticated := k.authenticated
	k.changed.Signal()
	k.mu.Unlock()
	l := k.links
	k.clearUnauthenticated()
	l.forget(k)
	l.mu.Lock()
	if p := l.peers[k.sess.peer]; p != nil && reason != nil && reason != errSimultaneousDial && reason != errReplaced {
		p.failure = reason.Error()
	}
	l.mu.Unlock()
	l.count.ended.Inc()
	if reason != nil && reason != errSimultaneousDial && reason != errReplaced {
		if !authenticated {
			l.count.rejected.Inc()
		}
		l.logLimits[reasonOf(reason)].Do(func() { l.cfg.Logf("link with %q at %s: %v", k.sess.peer, k.RemoteAddr(), reason) })
	}
	go k.Connection.Close() // netpoll's Close waits for its callback, which may be the caller of end
}

// write is the only writer of a link and runs as long as the link. It combines waiting messages into one write.
func (k *link) write() {
	l := k.links
	shake := time.AfterFunc(handshakeTimeout, func() {
		k.mu.Lock()
		late := !k.authenticated
		k.mu.Unlock()
		if late {
			k.end(fmt.Errorf("%w: no authentication within %v", ErrProtocol, handshakeTimeout))
		}
	})
	defer shake.Stop()
	idle := time.AfterFunc(idleTimeout, func() { k.wake() })
	defer idle.Stop()
	var batch []byte
	for {
		k.mu.Lock()
		for {
			if k.ended {
				k.mu.Unlock()
				return
			}
			batch = append(batch[:0], k.handshakeOut...)
			k.handshakeOut = k.handshakeOut[:0]
			if k.authenticated {
				batch = l.fillBatch(k, batch)
			}
			if len(batch) > 0 {
				k.lastUsed = l.cfg.Now()
				break
			}
			if k.authenticated && l.cfg.Now()-k.lastUsed > idleTimeout {
				k.mu.Unlock()
				k.end(nil)
				return
			}
			k.changed.Wait()
		}
		k.mu.Unlock()
		idle.Reset(idleTimeout + time.Second)
		l.count.bytes.Add(len(batch))
		if _, err := k.Connection.Write(batch); err != nil {
			k.end(fmt.Errorf("write: %w", err))
			return
		}
		if cap(batch) > 4*maxBatchBytes {
			batch = nil
		}
	}
}

func (k *link) wake() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changed.Signal()
}

// fillBatch seals the messages that wait for a link's peer, up to a batch. The caller holds the link's lock; a link's lock must not be
// acquired while the lock of Links is held.
func (l *Links) fillBatch(k *link, dst []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := k.peer.queue.dropped
	for len(dst) < maxBatchBytes {
		kind, payload, ok := k.peer.queue.next(l.cfg.Now())
		if !ok {
			break
		}
		dst = k.sess.seal(dst, kind, payload)
		l.count.out.Inc()
	}
	l.count.dropped.Add(k.peer.queue.dropped - before)
	return dst
}

// Send queues a message for a peer and opens a link if there is none. It never waits. The payload must not be changed afterwards.
func (l *Links) Send(to string, kind byte, payload []byte) {
	l.mu.Lock()
	p := l.peers[to]
	if p == nil || l.closed {
		l.mu.Unlock()
		return
	}
	before := p.queue.dropped
	p.queue.put(l.cfg.Now(), kind, payload)
	l.count.dropped.Add(p.queue.dropped - before)
	k := p.link
	dial := k == nil && !p.dialing
	if dial {
		p.dialing = true
	}
	l.mu.Unlock()
	if k != nil {
		k.wake()
	} else if dial {
		go l.dial(p)
	}
}

// dial opens a link to a peer, with growing pauses between attempts, until there is a link or no message waits.
func (l *Links) dial(p *peerState) {
	pause := minRedialDelay
	for {
		err := l.dialOnce(p)
		l.mu.Lock()
		if err != nil {
			p.failure = err.Error()
		}
		wanted := p.link == nil && !l.closed && slices.ContainsFunc(p.queue.waiting, func(w []queuedMessage) bool { return len(w) > 0 })
		if !wanted {
			p.dialing = false
			k := p.link
			l.mu.Unlock()
			if k != nil {
				k.wake()
			}
			return
		}
		l.mu.Unlock()
		time.Sleep(pause/2 + mrand.N(pause/2))
		pause = min(2*pause, maxRedialDelay)
	}
}

// dialOnce dials once and waits until the link is authenticated or has ended.
func (l *Links) dialOnce(p *peerState) error {
	c, err := netpoll.DialConnection("tcp", l.cfg.Peers[p.name], dialTimeout)
	if err != nil {
		return err
	}
	k, err := l.attach(c)
	if err != nil {
		c.Close()
		return err
	}
	k.sess.begin(p.name)
	c.SetOnRequest(func(_ context.Context, c netpoll.Connection) error { return k.read(c) })
	for end := time.Now().Add(handshakeTimeout + dialTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		k.mu.Lock()
		authenticated, ended, reason := k.authenticated, k.ended, k.reason
		k.mu.Unlock()
		if ended && !authenticated && reason == nil {
			return errors.New("the other end closed the connection during the handshake; its log may show why")
		}
		if authenticated || ended {
			return reason
		}
		if !c.IsActive() {
			k.end(nil)
		}
	}
	k.end(ErrProtocol)
	return ErrProtocol
}

// Status returns the state of the links, by the peer's name.
func (l *Links) Status() (list []Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(l.peers)) {
		p := l.peers[name]
		s := Status{Peer: name, Address: l.cfg.Peers[name], Up: p.link != nil, Dropped: p.queue.dropped, Failure: p.failure}
		if p.link != nil {
			s.For = l.cfg.Now() - p.link.since
		}
		for _, w := range p.queue.waiting {
			s.Waiting += len(w)
		}
		list = append(list, s)
	}
	return list
}
