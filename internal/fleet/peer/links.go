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

// Config is what links are made with.
type Config struct {
	Name   string
	Listen string
	Peers  map[string]string // address by name
	Keys   func() ([][]byte, error)
	Kinds  []Kind
	Now    func() time.Duration
	Set    *counters.Set
	Told   func(format string, args ...any) // takes what an operator should read; at most some lines a second
}

const (
	dialTime      = time.Second
	shakeTime     = 2 * time.Second  // for both ends to prove themselves
	writeTime     = 5 * time.Second  // a peer that does not read for so long is taken for gone
	idleTime      = 30 * time.Second // a link on which nothing was said is closed
	firstPause    = 50 * time.Millisecond
	lastPause     = 2 * time.Second
	strangersMost = 64 // connections that have proven nothing
	batchMost     = 64 << 10
	readMost      = 64 << 10
	messagesRate  = 20_000   // a second and link; what is beyond is left out
	bytesRate     = 64 << 20 // likewise
	tieTime       = 2 * time.Second
)

// reasons are those that are told apart.
var reasons = [...]error{ErrGarbage, ErrKey, ErrStranger, ErrVersion, ErrSelf, ErrMAC, ErrTooLong}

// reasonOf is a reason's place among them; any other one has the last.
func reasonOf(err error) int {
	for i, r := range reasons {
		if errors.Is(err, r) {
			return i
		}
	}
	return len(reasons) + 2
}

// Links are a box's links to all its peers.
type Links struct {
	cfg     Config
	run     uint64
	receive func(from string, kind byte, payload []byte)
	ln      netpoll.Listener
	loop    netpoll.EventLoop
	noise   [len(reasons) + 3]rate.Sometimes // one for each reason: a noisy one hides no other
	count   struct{ up, ended, refused, in, out, bytes, dropped, flooded *counters.Counter }

	mu        sync.Mutex
	peers     map[string]*end
	strangers int
	closed    bool
}

// end is what is known of one peer.
type end struct {
	name    string
	queue   *queue
	link    *link
	dialing bool
	failure string // of the last try
}

// link is one connection.
type link struct {
	netpoll.Connection
	links   *Links
	sess    *session
	peer    *end // once it is proven
	since   time.Duration
	flow    struct{ messages, bytes *rate.Limiter }
	counted sync.Once

	mu     sync.Mutex // guards what follows
	work   sync.Cond
	out    []byte // handshake frames
	ended  bool
	reason error
	proven bool
	used   time.Duration
}

// Status is how a link stands.
type Status struct {
	Peer    string        `json:"peer"`
	Address string        `json:"address"`
	Up      bool          `json:"up"`
	For     time.Duration `json:"for_ns,omitempty"`
	Waiting int           `json:"waiting"` // messages
	Dropped int           `json:"dropped"`
	Failure string        `json:"failure,omitempty"`
}

// Listen opens the address at which peers are heard. receive is called for one message of a link after the other, from several
// goroutines for several links; the payload is lent for the call.
func Listen(cfg Config, receive func(from string, kind byte, payload []byte)) (*Links, error) {
	if cfg.Told == nil {
		cfg.Told = func(string, ...any) {}
	}
	if _, err := cfg.Keys(); err != nil {
		return nil, err
	}
	l := &Links{cfg: cfg, run: mrand.Uint64(), receive: receive, peers: map[string]*end{}}
	for i := range l.noise {
		l.noise[i] = rate.Sometimes{First: 5, Interval: time.Second}
	}
	for name, c := range map[string]**counters.Counter{"up": &l.count.up, "ended": &l.count.ended, "refused": &l.count.refused, "messages_in": &l.count.in,
		"messages_out": &l.count.out, "bytes_out": &l.count.bytes, "messages_dropped": &l.count.dropped, "messages_flooded": &l.count.flooded} {
		*c = cfg.Set.Get("fleet_links_" + name)
	}
	for name := range cfg.Peers {
		if name != cfg.Name {
			l.peers[name] = &end{name: name, queue: newQueue(cfg.Kinds)}
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
	}, netpoll.WithOnPrepare(l.prepare), netpoll.WithOnConnect(func(ctx context.Context, c netpoll.Connection) context.Context {
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

// Addr is where peers are heard.
func (l *Links) Addr() string { return l.ln.Addr().String() }

// Close ends all links.
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

// prepare takes a connection that somebody has opened.
func (l *Links) prepare(c netpoll.Connection) context.Context {
	l.mu.Lock()
	full := l.closed || l.strangers >= strangersMost
	if !full {
		l.strangers++
	}
	l.mu.Unlock()
	if full {
		l.count.refused.Inc()
		l.noise[len(reasons)].Do(func() {
			l.cfg.Told("a connection from %s is closed: %d others prove nothing", c.RemoteAddr(), strangersMost)
		})
		return context.Background() // it is closed once netpoll has it
	}
	k, err := l.attach(c)
	if err != nil {
		l.stranger(-1)
		l.cfg.Told("%v", err)
		return context.Background()
	}
	return context.WithValue(context.Background(), linkKey{}, k)
}

func (l *Links) stranger(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.strangers += n
}

// attach makes a link of a connection and starts its writer.
func (l *Links) attach(c netpoll.Connection) (*link, error) {
	keys, err := l.cfg.Keys()
	if err != nil {
		return nil, err
	}
	k := &link{Connection: c, links: l, since: l.cfg.Now()}
	k.work.L = &k.mu
	k.flow.messages, k.flow.bytes = rate.NewLimiter(messagesRate, messagesRate), rate.NewLimiter(bytesRate, frameMost)
	if k.sess, err = newSession(l.cfg.Name, l.run, keys, rand.Reader); err != nil {
		return nil, err
	}
	k.sess.known = func(name string) bool { _, ok := l.cfg.Peers[name]; return ok }
	k.sess.write = func(p []byte) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.out = append(k.out, p...)
		k.work.Signal()
	}
	k.sess.ready = func(*session) error { return l.proven(k) }
	k.sess.take = k.take
	c.SetWriteTimeout(writeTime)
	c.AddCloseCallback(func(netpoll.Connection) error {
		k.end(nil)
		return nil
	})
	go k.write()
	return k, nil
}

// read takes what has come in. It runs in netpoll's callback, one at a time for a connection.
func (k *link) read(c netpoll.Connection) error {
	r := c.Reader()
	for r.Len() > 0 {
		p, err := r.Next(min(r.Len(), readMost))
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

func (k *link) take(kind byte, payload []byte) {
	now := time.Now()
	k.mu.Lock()
	k.used = k.links.cfg.Now()
	k.mu.Unlock()
	if !k.flow.messages.AllowN(now, 1) || !k.flow.bytes.AllowN(now, len(payload)) {
		k.links.count.flooded.Inc()
		k.links.noise[len(reasons)+1].Do(func() {
			k.links.cfg.Told("%s sends more than %d messages or %d MB a second; some are left out", k.sess.peer, messagesRate, bytesRate>>20)
		})
		return
	}
	if int(kind) < len(k.links.cfg.Kinds) { // a later build may say more
		k.links.count.in.Inc()
		k.links.receive(k.sess.peer, kind, payload)
	}
}

// proven takes a link into use. A newer one replaces an older one, as a peer that was started anew has nothing of it; but
// when both have dialled at once, the one that the lower name has dialled stays.
func (l *Links) proven(k *link) error {
	l.mu.Lock()
	p := l.peers[k.sess.peer]
	if p == nil || l.closed {
		l.mu.Unlock()
		return ErrStranger
	}
	old := p.link
	if old != nil && old.sess.other == k.sess.other && l.cfg.Now()-old.since < tieTime && old.sess.dials != k.sess.dials {
		if old.sess.dials == (l.cfg.Name < p.name) {
			l.mu.Unlock()
			return errTie
		}
	}
	p.link, p.failure = k, ""
	l.mu.Unlock()
	k.known()
	k.mu.Lock()
	k.peer, k.proven, k.used = p, true, l.cfg.Now()
	ended := k.ended
	k.work.Signal()
	k.mu.Unlock()
	if ended { // it closed meanwhile
		l.forget(k)
		return errReplaced
	}
	l.count.up.Inc()
	if old != nil {
		old.end(errReplaced)
	}
	return nil
}

// known has it count as a stranger no more, whether it has proven itself or ended.
func (k *link) known() {
	if !k.sess.dials {
		k.counted.Do(func() { k.links.stranger(-1) })
	}
}

// forget has no peer use a link any more.
func (l *Links) forget(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[k.sess.peer]; p != nil && p.link == k {
		p.link = nil
	}
}

var (
	errTie      = errors.New("both ends have dialled; the other link stays")
	errReplaced = errors.New("a newer link has taken its place")
)

// end ends a link; the first reason counts.
func (k *link) end(reason error) {
	k.mu.Lock()
	if k.ended {
		k.mu.Unlock()
		return
	}
	k.ended, k.reason = true, reason
	proven := k.proven
	k.work.Signal()
	k.mu.Unlock()
	l := k.links
	k.known()
	l.forget(k)
	l.mu.Lock()
	if p := l.peers[k.sess.peer]; p != nil && reason != nil && reason != errTie && reason != errReplaced {
		p.failure = reason.Error()
	}
	l.mu.Unlock()
	l.count.ended.Inc()
	if reason != nil && reason != errTie && reason != errReplaced {
		if !proven {
			l.count.refused.Inc()
		}
		l.noise[reasonOf(reason)].Do(func() { l.cfg.Told("link with %q at %s: %v", k.sess.peer, k.RemoteAddr(), reason) })
	}
	go k.Connection.Close() // netpoll's close waits for its callback, which may be what calls here
}

// write is the one writer of a link, alive as long as it. It folds what waits into one write.
func (k *link) write() {
	l := k.links
	shake := time.AfterFunc(shakeTime, func() {
		k.mu.Lock()
		late := !k.proven
		k.mu.Unlock()
		if late {
			k.end(fmt.Errorf("%w: nothing was proven within %v", ErrGarbage, shakeTime))
		}
	})
	defer shake.Stop()
	idle := time.AfterFunc(idleTime, func() { k.wake() })
	defer idle.Stop()
	var batch []byte
	for {
		k.mu.Lock()
		for {
			if k.ended {
				k.mu.Unlock()
				return
			}
			batch = append(batch[:0], k.out...)
			k.out = k.out[:0]
			if k.proven {
				batch = l.gather(k, batch)
			}
			if len(batch) > 0 {
				k.used = l.cfg.Now()
				break
			}
			if k.proven && l.cfg.Now()-k.used > idleTime {
				k.mu.Unlock()
				k.end(nil)
				return
			}
			k.work.Wait()
		}
		k.mu.Unlock()
		idle.Reset(idleTime + time.Second)
		l.count.bytes.Add(len(batch))
		if _, err := k.Connection.Write(batch); err != nil {
			k.end(fmt.Errorf("write: %w", err))
			return
		}
		if cap(batch) > 4*batchMost {
			batch = nil
		}
	}
}

func (k *link) wake() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.work.Signal()
}

// gather seals what waits for a link's peer, up to a batch. The link's lock is held; nobody takes a link's lock under that of
// the links.
func (l *Links) gather(k *link, dst []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := k.peer.queue.dropped
	for len(dst) < batchMost {
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

// Send has a message go to a peer, if it can be reached soon enough. It never waits. The payload is the links' from then on.
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

// dial opens a link to a peer, with longer pauses between tries, until there is one or nothing waits any more.
func (l *Links) dial(p *end) {
	pause := firstPause
	for {
		err := l.try(p)
		l.mu.Lock()
		if err != nil {
			p.failure = err.Error()
		}
		wanted := p.link == nil && !l.closed && slices.ContainsFunc(p.queue.waiting, func(w []item) bool { return len(w) > 0 })
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
		pause = min(2*pause, lastPause)
	}
}

// try dials once and waits until the link is proven or has ended.
func (l *Links) try(p *end) error {
	c, err := netpoll.DialConnection("tcp", l.cfg.Peers[p.name], dialTime)
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
	for end := time.Now().Add(shakeTime + dialTime); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		k.mu.Lock()
		proven, ended, reason := k.proven, k.ended, k.reason
		k.mu.Unlock()
		if ended && !proven && reason == nil {
			return errors.New("the other end has closed; its log may say why")
		}
		if proven || ended {
			return reason
		}
		if !c.IsActive() {
			k.end(nil)
		}
	}
	k.end(ErrGarbage)
	return ErrGarbage
}

// Status lists the links.
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
