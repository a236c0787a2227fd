package engine

import (
	"context"
	"errors"
	"log"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"cairnlane/internal/assert"
	"cairnlane/internal/counters"
	"cairnlane/internal/outbox"
)

const (
	dialTimeout        = time.Second
	minBackoff         = 10 * time.Millisecond  // before the first try to reconnect; doubles up to lastPause
	maxBackoff         = 100 * time.Millisecond // runs wait for the link, so an engine that comes up is found soon
	maxOutput          = 4 << 20
	maxOpenStats       = 2                      // STATs open at a time: an engine that is slow to answer is asked less
	retireTimeout      = 100 * time.Millisecond // see Link
	retirePollInterval = time.Millisecond
)

// Link keeps a connection to the engine open.
type Link struct {
	events      Events
	now         func() time.Duration
	runsSent    *counters.Counter
	linksLost   *counters.Counter
	linksMoved  *counters.Counter
	silentLinks *counters.Counter
	moved       chan struct{} // the address is another one now
	// retireTimeout is how long a link that is replaced may take to end by itself.
	retireTimeout time.Duration

	backoff     atomic.Pointer[func(try int) time.Duration]
	outputLimit atomic.Int64 // bound on what waits to be written

	reading sync.Mutex // held while notices are told: an old link never tells beside a new one
	memory  linkMemory

	mu   sync.Mutex // guards addr and sess; never held while events are told
	addr string
	sess *session // nil while there is no link
}

// NewLink returns a link to addr that is not open yet.
func NewLink(addr string, now func() time.Duration, set *counters.Set) *Link {
	l := &Link{addr: addr, now: now, moved: make(chan struct{}, 1), retireTimeout: retireTimeout, runsSent: set.Get("engine_runs_sent"),
		linksLost: set.Get("engine_links_lost"), linksMoved: set.Get("engine_links_moved"),
		silentLinks: set.Get("engine_links_silent")}
	l.outputLimit.Store(maxOutput)
	return l
}

// BoundOutput sets how many bytes may wait to be written to a link, from the next one on; outputMost at most.
func (l *Link) BoundOutput(limit int) { l.outputLimit.Store(int64(min(limit, maxOutput))) }

// Move has the link go on at addr. The present one is used until the new one is accepted.
func (l *Link) Move(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr == addr {
		return
	}
	l.addr = addr
	l.linksMoved.Inc()
	select {
	case l.moved <- struct{}{}:
	default: // a move that was not begun yet goes to the newest address
	}
}

func (l *Link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Pauses has pause say how long to wait before a try to reconnect, counted from 0; it must not wait itself. Without it the time doubles
// from 10 to 100 ms.
func (l *Link) Pauses(pause func(try int) time.Duration) { l.backoff.Store(&pause) }

func (l *Link) nextBackoff(attempt int) time.Duration {
	if p := l.backoff.Load(); p != nil {
		return (*p)(attempt)
	}
	return Pause(attempt)
}

// Pause is how long a lone box waits before a try to reconnect.
func Pause(try int) time.Duration { return min(minBackoff<<min(try, 10), maxBackoff) }

// Keep opens the link, opens it again whenever it breaks and moves it, until ctx ends. Events come from
// the connection's callbacks and never before Keep is called.
func (l *Link) Keep(ctx context.Context, events Events) {
	l.events = events
	var open *connection
	for attempt := 0; ctx.Err() == nil; attempt++ {
		began := time.Now()
		if conn, err := netpoll.DialConnection("tcp", l.address(), dialTimeout); err == nil {
			l.retire(open)
			open = l.begin(conn)
			select {
			case <-open.broken:
				l.linksLost.Inc()
				open = nil
			case <-l.moved:
				attempt = -1
				continue
			case <-ctx.Done(): // closed here, as the end of a process may take its time
				open.Close()
				<-open.broken
				return
			}
		}
		if time.Since(began) > maxBackoff {
			attempt = 0
		}
		select {
		case <-time.After(l.nextBackoff(attempt)):
		case <-l.moved:
		case <-ctx.Done():
		}
	}
}

// connection is one link, from its dial to its end.
type connection struct {
	netpoll.Connection
	sess   *session
	out    *outbox.Box
	broken chan struct{} // closes when the link has ended
	closed bool          // its descriptor is about to be closed, or is another's; guarded by the link's mu
}

// begin attaches a link that was accepted.
func (l *Link) begin(conn netpoll.Connection) *connection {
	c := &connection{Connection: conn, broken: make(chan struct{})}
	c.out = outbox.New(conn, int(l.outputLimit.Load()), new(outbox.Account), func(error) { conn.Close() })
	c.sess = &session{memory: &l.memory, events: l.events, now: l.now, closeLink: func() { go conn.Close() }, send: func(encode func([]byte) []byte) {
		if c.out.Put(encode) != nil {
			go conn.Close() // its callbacks take locks that the sender may hold
		}
	}}
	l.attach(c.sess)
	onClose := sync.OnceFunc(func() {
		l.detach(c)
		c.out.Close()
		close(c.broken)
	})
	conn.AddCloseCallback(func(netpoll.Connection) error { // before the descriptor is closed, see front.Server.prepare
		onClose()
		return nil
	})
	conn.SetOnRequest(func(_ context.Context, nc netpoll.Connection) error { return l.read(c.sess, nc) })
	l.reading.Lock()
	c.sess.sendAttach()
	l.reading.Unlock()
	if !conn.IsActive() { // it closed before the callback was in place
		onClose()
	}
	return c
}

// retire ends a link that another one is about to replace. It guards against runs that are lost or
// doubled by the move: nothing new is written on it, all that was is flushed and followed by a question and the end of
// our side, and what the engine still tells is read until it closes, or for a moment. The answer to the question says that
// all was read.
func (l *Link) retire(c *connection) {
	if c == nil {
		return
	}
	l.mu.Lock()
	c.sess.state.Store(retired)
	c.sess.sendStat()
	l.mu.Unlock()
	end := time.Now().Add(l.retireTimeout)
	for !c.out.Empty() && time.Now().Before(end) {
		time.Sleep(retirePollInterval)
	}
	l.shutdownWrite(c)
	select {
	case <-c.broken:
	case <-time.After(time.Until(end)):
		c.Close()
		<-c.broken
	}
}

// shutdownWrite ends our side of a link. Its descriptor stays its own while l.mu is held: without that, a link that closed at
// this very moment had another connection's side ended.
func (l *Link) shutdownWrite(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fd, ok := c.Connection.(interface{ Fd() int })
	if !ok || c.closed {
		return
	}
	if err := syscall.Shutdown(fd.Fd(), syscall.SHUT_WR); err != nil && !errors.Is(err, syscall.ENOTCONN) {
		log.Print("engine link: end the old one: ", err)
	}
}

// read takes all that has come in. Garbage from the engine ends the link, which is then taken up anew.
func (l *Link) read(sess *session, c netpoll.Connection) error {
	defer func() {
		if p := recover(); p != nil {
			assert.Panicked("the link to the engine", p)
			c.Close()
		}
	}()
	l.reading.Lock()
	defer l.reading.Unlock()
	r := c.Reader()
	p, err := r.Next(r.Len())
	if err == nil && l.current() == sess {
		err = sess.feed(p)
	}
	if err != nil {
		log.Print("engine link: ", err)
		c.Close()
		return err
	}
	return r.Release()
}

func (l *Link) attach(sess *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sess = sess
}

func (l *Link) detach(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.closed = true
	if l.sess == c.sess {
		l.sess = nil
	}
}

func (l *Link) current() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sess
}

// Run sends the request to the engine. It tells whether there is a link that could take it; if not,
// the caller sends it after Attached.
func (l *Link) Run(id, class string, body []byte) bool {
	sent := l.write(func(dst []byte) []byte { return appendRun(dst, id, class, body) })
	if sent {
		l.runsSent.Inc()
	}
	return sent
}

// Feed hands a run the reply to the call that it waits for. It tells whether there is a link that could take it; if
// not, the caller sends it after Attached.
func (l *Link) Feed(id string, reply []byte) bool {
	return l.write(func(dst []byte) []byte { return appendFeed(dst, id, reply) })
}

// Skip has a run go on without the call that notice number asked for. It tells whether there is a link that could take
// it; if not, the caller sends it after Attached.
func (l *Link) Skip(id string, number int64) bool {
	return l.write(func(dst []byte) []byte { return appendSkip(dst, id, number) })
}

// write puts a command on a link that is ready, and tells whether there was one.
func (l *Link) write(encode func([]byte) []byte) bool {
	l.mu.Lock() // also while it is put: nothing may be put behind the flush of a link that retires
	defer l.mu.Unlock()
	s := l.sess
	if s == nil || s.state.Load() != ready {
		return false
	}
	s.send(encode)
	return true
}

// AskGauges asks for the gauges unless enough questions are open. It tells whether it has asked.
func (l *Link) AskGauges() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sess
	if s != nil && s.state.Load() != retired && s.silent() {
		l.silentLinks.Inc()
		s.silentSince.Store(0) // once is enough
		s.closeLink()
		return false
	}
	if s == nil || s.state.Load() != ready || s.openStatCount() >= maxOpenStats {
		return false
	}
	s.sendStat()
	return true
}
