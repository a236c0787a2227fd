package engine

import (
	"context"
	"log"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"cairnlane/internal/counters"
	"cairnlane/internal/outbox"
)

const (
	dialTimeout = time.Second
	firstPause  = 10 * time.Millisecond  // before the first try to reconnect; doubles up to lastPause
	lastPause   = 100 * time.Millisecond // runs wait for the link, so an engine that comes up is found soon
	outputBound = 4 << 20
	statsOpen   = 2 // STATs open at a time: an engine that is slow to answer is asked less
)

// Link keeps a connection to the engine open.
type Link struct {
	addr   string
	events Events
	runs   *counters.Counter
	lost   *counters.Counter

	reading sync.Mutex // held while notices are told: an old link never tells beside a new one
	mem     memory

	mu   sync.Mutex // guards sess; never held while events are told
	sess *session   // nil while there is no link
}

// NewLink returns a link to addr that is not open yet.
func NewLink(addr string, set *counters.Set) *Link {
	return &Link{addr: addr, runs: set.Get("engine_runs_sent"), lost: set.Get("engine_links_lost")}
}

// Keep opens the link and opens it again whenever it breaks, until ctx ends. Events come from the
// connection's callbacks and never before Keep is called.
func (l *Link) Keep(ctx context.Context, events Events) {
	l.events = events
	for pause := firstPause; ctx.Err() == nil; {
		began := time.Now()
		if broken, err := l.open(); err == nil {
			select {
			case <-broken:
				l.lost.Inc()
			case <-ctx.Done():
				return
			}
		}
		if time.Since(began) > lastPause {
			pause = firstPause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, lastPause)
	}
}

// open dials and attaches. The channel closes when the link has broken.
func (l *Link) open() (<-chan struct{}, error) {
	conn, err := netpoll.DialConnection("tcp", l.addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	broken := make(chan struct{})
	out := outbox.New(conn, outputBound, func(error) { conn.Close() })
	sess := &session{memory: &l.mem, events: l.events, send: func(encode func([]byte) []byte) {
		if out.Put(encode) != nil {
			conn.Close()
		}
	}}
	l.attach(sess)
	leave := sync.OnceFunc(func() {
		l.detach(sess)
		out.Close()
		close(broken)
	})
	conn.AddCloseCallback(func(netpoll.Connection) error {
		leave()
		return nil
	})
	conn.SetOnRequest(func(_ context.Context, c netpoll.Connection) error { return l.read(sess, c) })
	l.reading.Lock()
	sess.begin()
	l.reading.Unlock()
	if !conn.IsActive() { // it closed before the callback was in place
		leave()
	}
	return broken, nil
}

// read takes all that has come in. Garbage from the engine ends the link, which is then taken up anew.
func (l *Link) read(sess *session, c netpoll.Connection) error {
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

func (l *Link) detach(sess *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sess == sess {
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
	s := l.current()
	if s == nil || !s.ready.Load() {
		return false
	}
	l.runs.Inc()
	s.send(func(dst []byte) []byte { return appendRun(dst, id, class, body) })
	return true
}

// AskGauges asks for the gauges unless enough questions are open. It tells whether it has asked.
func (l *Link) AskGauges() bool {
	s := l.current()
	if s == nil || !s.ready.Load() || s.asked.Load() >= statsOpen {
		return false
	}
	s.stat()
	return true
}
