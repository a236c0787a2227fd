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
	minBackoff         = 10 * time.Millisecond  // wait before the first reconnection attempt; doubles up to maxBackoff
	maxBackoff         = 100 * time.Millisecond // runs wait for the link, so an engine that starts must be found soon
	maxOutput          = 4 << 20
	maxOpenStats       = 2                      // unanswered STATs at a time: a slow engine gets fewer requests
	retireTimeout      = 100 * time.Millisecond // see Link.retireTimeout
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
	moved       chan struct{} // signals that the address has changed
	// retireTimeout is how long a replaced link may take to close by itself.
	retireTimeout time.Duration

	backoff     atomic.Pointer[func(attempt int) time.Duration]
	outputLimit atomic.Int64 // limit on the bytes that wait to be written

	reading sync.Mutex // held while notices are delivered, so that an old and a new link never deliver at the same time
	memory  linkMemory

	mu   sync.Mutex // guards addr and sess; never held while Events is called
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

// LimitOutput limits the bytes that may wait to be written to a link to limit, or maxOutput if that is less. It
// takes effect with the next link.
func (l *Link) LimitOutput(limit int) { l.outputLimit.Store(int64(min(limit, maxOutput))) }

// Move makes the link reconnect to addr. The present connection is used until the new one is accepted.
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
	default: // a pending move will use the newest address
	}
}

func (l *Link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// SetBackoff sets the function that returns the wait before a reconnection attempt, counted from 0; the function
// itself must not block. Without it the wait doubles from 10 to 100 ms.
func (l *Link) SetBackoff(pause func(attempt int) time.Duration) { l.backoff.Store(&pause) }

func (l *Link) nextBackoff(attempt int) time.Duration {
	if p := l.backoff.Load(); p != nil {
		return (*p)(attempt)
	}
	return DefaultBackoff(attempt)
}

// DefaultBackoff returns the default wait before a reconnection attempt, for a box without a fleet.
func DefaultBackoff(attempt int) time.Duration { return min(minBackoff<<min(attempt, 10), maxBackoff) }

// KeepOpen opens the link, reopens it whenever it breaks and moves it, until ctx ends. The events are called from the
// connection's callbacks, and never before KeepOpen is called.
func (l *Link) KeepOpen(ctx context.Context, events Events) {
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
			case <-ctx.Done(): // closed here, because the process may take time to exit
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
	out    *outbox.Buffer
	broken chan struct{} // closed when the link has ended
	closed bool          // its descriptor is about to be closed or has been reused; guarded by the link's mu
}

// begin sets up a session on a connection that was accepted.
func (l *Link) begin(conn netpoll.Connection) *connection {
	c := &connection{Connection: conn, broken: make(chan struct{})}
	c.out = outbox.New(conn, int(l.outputLimit.Load()), new(outbox.SharedLimit), func(error) { conn.Close() })
	c.sess = &session{memory: &l.memory, events: l.events, now: l.now, closeLink: func() { go conn.Close() }, send: func(encode func([]byte) []byte) {
		if c.out.Put(encode) != nil {
			go conn.Close() // in a goroutine: the close callbacks take locks that the sender may hold
		}
	}}
	l.attach(c.sess)
	onClose := sync.OnceFunc(func() {
		l.detach(c)
		c.out.Close()
		close(c.broken)
	})
	conn.AddCloseCallback(func(netpoll.Connection) error { // called before the descriptor is closed, see front.Server.prepare
		onClose()
		return nil
	})
	conn.SetOnRequest(func(_ context.Context, nc netpoll.Connection) error { return l.read(c.sess, nc) })
	l.reading.Lock()
	c.sess.sendAttach()
	l.reading.Unlock()
	if !conn.IsActive() { // it closed before the callback was set
		onClose()
	}
	return c
}

// retire ends a link that is about to be replaced, without losing or duplicating runs. Nothing new is written on
// it. What was written is flushed, followed by a STAT and the shutdown of the write side; the answer to the STAT
// confirms that everything was read. Notices are still read until the engine closes the connection or
// retireTimeout has passed.
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

// shutdownWrite shuts down the write side of a link. While l.mu is held its descriptor cannot be closed and
// reused: without the lock, a link that closes at this moment could have another connection's write side shut
// down.
func (l *Link) shutdownWrite(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fd, ok := c.Connection.(interface{ Fd() int })
	if !ok || c.closed {
		return
	}
	if err := syscall.Shutdown(fd.Fd(), syscall.SHUT_WR); err != nil && !errors.Is(err, syscall.ENOTCONN) {
		log.Print("engine link: shut down the write side of the replaced link: ", err)
	}
}

// read handles all input that has arrived. Malformed input closes the link, which is then re-established.
func (l *Link) read(sess *session, c netpoll.Connection) error {
	defer func() {
		if p := recover(); p != nil {
			assert.CountPanic("the link to the engine", p)
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
		log.Print("engine link: closed after a read error: ", err)
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

// Run sends a request to the engine. It reports whether there is a link that accepts it; if not, the caller sends
// it after Attached.
func (l *Link) Run(id, class string, body []byte) bool {
	sent := l.write(func(dst []byte) []byte { return appendRun(dst, id, class, body) })
	if sent {
		l.runsSent.Inc()
	}
	return sent
}

// Feed sends a run the reply to the call that it waits for. It reports whether there is a link that accepts it; if
// not, the caller sends it after Attached.
func (l *Link) Feed(id string, reply []byte) bool {
	return l.write(func(dst []byte) []byte { return appendFeed(dst, id, reply) })
}

// Skip makes a run continue without the call requested by notice number. It reports whether there is a link that
// accepts it; if not, the caller sends it after Attached.
func (l *Link) Skip(id string, number int64) bool {
	return l.write(func(dst []byte) []byte { return appendSkip(dst, id, number) })
}

// write writes a command to a link that is ready, and reports whether there was one.
func (l *Link) write(encode func([]byte) []byte) bool {
	l.mu.Lock() // held during the write: nothing may follow the flush of a retired link
	defer l.mu.Unlock()
	s := l.sess
	if s == nil || s.state.Load() != ready {
		return false
	}
	s.send(encode)
	return true
}

// RequestGauges requests the gauges unless too many requests are unanswered. It reports whether it sent a request.
func (l *Link) RequestGauges() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sess
	if s != nil && s.state.Load() != retired && s.silent() {
		l.silentLinks.Inc()
		s.silentSince.Store(0) // the link is closed only once
		s.closeLink()
		return false
	}
	if s == nil || s.state.Load() != ready || s.openStatCount() >= maxOpenStats {
		return false
	}
	s.sendStat()
	return true
}
