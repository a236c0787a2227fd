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
	dialTimeout = time.Second
	firstPause  = 10 * time.Millisecond  // before the first try to reconnect; doubles up to lastPause
	lastPause   = 100 * time.Millisecond // runs wait for the link, so an engine that comes up is found soon
	outputMost  = 4 << 20
	statsOpen   = 2                      // STATs open at a time: an engine that is slow to answer is asked less
	retireTime  = 100 * time.Millisecond // see Link
	retirePoll  = time.Millisecond
)

// Link keeps a connection to the engine open.
type Link struct {
	events Events
	now    func() time.Duration
	runs   *counters.Counter
	lost   *counters.Counter
	moves  *counters.Counter
	quiet  *counters.Counter
	moved  chan struct{} // the address is another one now
	// retireTime is how long a link that is replaced may take to end by itself.
	retireTime time.Duration

	pauses atomic.Pointer[func(try int) time.Duration]
	output atomic.Int64 // bound on what waits to be written

	reading sync.Mutex // held while notices are told: an old link never tells beside a new one
	mem     memory

	mu   sync.Mutex // guards addr and sess; never held while events are told
	addr string
	sess *session // nil while there is no link
}

// NewLink returns a link to addr that is not open yet.
func NewLink(addr string, now func() time.Duration, set *counters.Set) *Link {
	l := &Link{addr: addr, now: now, moved: make(chan struct{}, 1), retireTime: retireTime, runs: set.Get("engine_runs_sent"),
		lost: set.Get("engine_links_lost"), moves: set.Get("engine_links_moved"),
		quiet: set.Get("engine_links_silent")}
	l.output.Store(outputMost)
	return l
}

// BoundOutput sets how many bytes may wait to be written to a link, from the next one on; outputMost at most.
func (l *Link) BoundOutput(most int) { l.output.Store(int64(min(most, outputMost))) }

// Move has the link go on at addr. The present one is used until the new one is accepted.
func (l *Link) Move(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr == addr {
		return
	}
	l.addr = addr
	l.moves.Inc()
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
func (l *Link) Pauses(pause func(try int) time.Duration) { l.pauses.Store(&pause) }

func (l *Link) pause(try int) time.Duration {
	if p := l.pauses.Load(); p != nil {
		return (*p)(try)
	}
	return Pause(try)
}

// Pause is how long a lone box waits before a try to reconnect.
func Pause(try int) time.Duration { return min(firstPause<<min(try, 10), lastPause) }

// Keep opens the link, opens it again whenever it breaks and moves it, until ctx ends. Events come from
// the connection's callbacks and never before Keep is called.
func (l *Link) Keep(ctx context.Context, events Events) {
	l.events = events
	var open *connection
	for try := 0; ctx.Err() == nil; try++ {
		began := time.Now()
		if conn, err := netpoll.DialConnection("tcp", l.address(), dialTimeout); err == nil {
			l.retire(open)
			open = l.begin(conn)
			select {
			case <-open.broken:
				l.lost.Inc()
				open = nil
			case <-l.moved:
				try = -1
				continue
			case <-ctx.Done(): // closed here, as the end of a process may take its time
				open.Close()
				<-open.broken
				return
			}
		}
		if time.Since(began) > lastPause {
			try = 0
		}
		select {
		case <-time.After(l.pause(try)):
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
	ended  bool          // its descriptor is about to be closed, or is another's; guarded by the link's mu
}

// begin attaches a link that was accepted.
func (l *Link) begin(conn netpoll.Connection) *connection {
	c := &connection{Connection: conn, broken: make(chan struct{})}
	c.out = outbox.New(conn, int(l.output.Load()), new(outbox.Account), func(error) { conn.Close() })
	c.sess = &session{memory: &l.mem, events: l.events, now: l.now, giveUp: func() { go conn.Close() }, send: func(encode func([]byte) []byte) {
		if c.out.Put(encode) != nil {
			go conn.Close() // its callbacks take locks that the sender may hold
		}
	}}
	l.attach(c.sess)
	leave := sync.OnceFunc(func() {
		l.detach(c)
		c.out.Close()
		close(c.broken)
	})
	conn.AddCloseCallback(func(netpoll.Connection) error { // before the descriptor is closed, see front.Server.prepare
		leave()
		return nil
	})
	conn.SetOnRequest(func(_ context.Context, nc netpoll.Connection) error { return l.read(c.sess, nc) })
	l.reading.Lock()
	c.sess.begin()
	l.reading.Unlock()
	if !conn.IsActive() { // it closed before the callback was in place
		leave()
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
	c.sess.stat()
	l.mu.Unlock()
	end := time.Now().Add(l.retireTime)
	for !c.out.Empty() && time.Now().Before(end) {
		time.Sleep(retirePoll)
	}
	l.endOurs(c)
	select {
	case <-c.broken:
	case <-time.After(time.Until(end)):
		c.Close()
		<-c.broken
	}
}

// endOurs ends our side of a link. Its descriptor stays its own while l.mu is held: without that, a link that closed at
// this very moment had another connection's side ended.
func (l *Link) endOurs(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fd, ok := c.Connection.(interface{ Fd() int })
	if !ok || c.ended {
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
	c.ended = true
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
		l.runs.Inc()
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
		l.quiet.Inc()
		s.quiet.Store(0) // once is enough
		s.giveUp()
		return false
	}
	if s == nil || s.state.Load() != ready || s.open() >= statsOpen {
		return false
	}
	s.stat()
	return true
}
