package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// job is a request as the router sent it; the engine runs only these.
type job struct {
	txn, class, body string
	unique           string
	door             time.Time
	work             time.Duration // on one core at full speed
	calls            int           // index calls that the run makes
	callsAt          []float64     // parts of the work after which it makes them; evenly spread if nil
	over             bool          // answered or given up; guarded by the engine's mu
}

// result is what the engine makes of a request.
func result(j *job) string { return "result of " + j.txn + " " + j.body }

// callBody is the body of call n (from 1) of a run, and callReply is the index's reply to it.
func callBody(j *job, n int) string   { return fmt.Sprintf("call %d of %s", n, j.txn) }
func callReply(body string) string    { return "reply to " + body }
func gauges(tag string, n int) string { return fmt.Sprintf("STATS %s 0.5 %d 0.1 10\r\n", tag, n) }

// nextCall returns the work after which a run that has made n calls makes the next one.
func (j *job) nextCall(n int) time.Duration {
	if j.callsAt != nil {
		return time.Duration(j.callsAt[n] * float64(j.work))
	}
	return j.work * time.Duration(n+1) / time.Duration(j.calls+1)
}

// run is the run of a job.
type run struct {
	job     *job
	began   time.Time
	done    time.Duration // work done
	called  int           // calls that have ended
	waiting int64         // number of the NEED notice that the run waits for; 0 if none
}

// engine is a stand-in of the engine, written from the page PROTOCOL: it owns some cores that all runs share evenly.
type engine struct {
	rec    *record
	cores  int
	pieces time.Duration // longest pause inside a message; 0 for none
	ln     net.Listener

	mu      sync.Mutex
	slow    float64         // factor on the duration of work
	jobs    map[string]*job // by txn
	runs    map[string]*run // present runs by txn
	ran     map[string]bool // txns that were run
	link    *engineLink
	last    int64
	notices []string
	wrong   int // replies to calls that reached the engine changed
	foreign int // commands with an id, class or body of no request
}

// engineLink is one link. Its writer sends in order.
type engineLink struct {
	conn   net.Conn
	mu     sync.Mutex
	queue  []string
	wake   chan struct{}
	sent   int           // messages
	pieces time.Duration // longest pause inside a message; 0 for none. The first messages after HELLO go out in two parts
	deaf   atomic.Bool   // commands are lost
}

func newEngine(rec *record, cores int, pieces time.Duration) (*engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{rec: rec, cores: cores, pieces: pieces, ln: ln, slow: 1, jobs: map[string]*job{}, runs: map[string]*run{}, ran: map[string]bool{}}
	go e.accept()
	go e.work()
	return e, nil
}

func (e *engine) add(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobs[j.txn] = j
}

// end records that a request is over for its caller.
func (e *engine) end(txn string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j := e.jobs[txn]; j != nil {
		j.over = true
	}
}

func (e *engine) setSlow(f float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = f
}

// onCores returns the number of runs that need a core; e.mu is held.
func (e *engine) onCores() (n int) {
	for _, r := range e.runs {
		if r.waiting == 0 {
			n++
		}
	}
	return n
}

// work carries out the runs.
func (e *engine) work() {
	const step = 2 * time.Millisecond
	last := time.Now()
	for {
		time.Sleep(step)
		now := time.Now()
		dt := now.Sub(last)
		last = now
		e.mu.Lock()
		share := float64(dt) / e.slow
		if n := e.onCores(); n > e.cores {
			share *= float64(e.cores) / float64(n)
		}
		for _, r := range e.runs {
			if r.waiting != 0 {
				if r.job.over { // a run ends at a call when its request is over
					e.finish(r, "broken_off", "")
				}
				continue
			}
			r.done += time.Duration(share)
			switch {
			case r.called < r.job.calls && r.done >= r.job.nextCall(r.called):
				body := callBody(r.job, r.called+1)
				r.waiting = e.last + 1
				e.rec.add("engine NEED %d %s call %d", e.last+1, r.job.txn, r.called+1)
				e.notice("NEED %d %s %d\r\n%s\r\n", r.job.txn, len(body), body)
			case r.done >= r.job.work:
				e.finish(r, "fine", result(r.job))
			}
		}
		e.mu.Unlock()
	}
}

// finish ends a run; e.mu is held.
func (e *engine) finish(r *run, how, result string) {
	delete(e.runs, r.job.txn)
	e.rec.add("engine DONE %d %s %s", e.last+1, r.job.txn, how)
	e.notice("DONE %d %s %s %d %d\r\n%s\r\n", r.job.txn, how, time.Since(r.began).Milliseconds(), len(result), result)
}

// notice numbers a notice, keeps it and sends it; e.mu is held.
func (e *engine) notice(format string, values ...any) {
	e.last++
	n := fmt.Sprintf(format, append([]any{e.last}, values...)...)
	if e.notices = append(e.notices, n); len(e.notices) > 4000 {
		e.notices = e.notices[1:]
	}
	if e.link != nil {
		e.link.send(n)
	}
}

func (l *engineLink) send(s string) {
	l.mu.Lock()
	l.queue = append(l.queue, s)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *engineLink) write() {
	for range l.wake {
		for {
			l.mu.Lock()
			if len(l.queue) == 0 {
				l.mu.Unlock()
				break
			}
			s := l.queue[0]
			l.queue = l.queue[1:]
			l.mu.Unlock()
			if l.sent++; l.pieces > 0 && l.sent > 1 && l.sent <= 5 {
				cut := 1 + rand.IntN(len(s)-1)
				io.WriteString(l.conn, s[:cut])
				time.Sleep(rand.N(l.pieces))
				s = s[cut:]
			}
			if _, err := io.WriteString(l.conn, s); err != nil {
				l.conn.Close()
			}
		}
	}
}

// breakLink closes the link, and the replica has to take it up again. The commands of the time lost before are lost with it.
func (e *engine) breakLink(lost time.Duration) {
	e.mu.Lock()
	l := e.link
	e.mu.Unlock()
	if l == nil {
		return
	}
	if lost > 0 {
		l.deaf.Store(true)
		time.Sleep(lost)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link == l {
		e.rec.add("engine link broken, commands of the last %v are lost", lost)
		e.link.conn.Close()
		e.link = nil
	}
}

func (e *engine) accept() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.link != nil {
			e.link.conn.Close()
			e.link = nil
		}
		e.mu.Unlock()
		l := &engineLink{conn: c, wake: make(chan struct{}, 1), pieces: e.pieces}
		go l.write()
		go e.serve(l)
	}
}

var errCommand = errors.New("no command")

func (e *engine) serve(l *engineLink) {
	defer l.conn.Close()
	in := bufio.NewReader(l.conn)
	for first := true; ; first = false {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 || first != (words[0] == "ATTACH") {
			return
		}
		if l.deaf.Load() { // what comes from now on is lost with the link
			io.Copy(io.Discard, in)
			return
		}
		if err := e.command(l, in, words); err != nil {
			e.rec.add("engine closes the link: %q: %v", line, err)
			return
		}
	}
}

func readBody(in io.Reader, length string) (string, error) {
	n, err := strconv.Atoi(length)
	if err != nil || n < 0 || n > 64<<10 {
		return "", errCommand
	}
	b := make([]byte, n+2)
	_, err = io.ReadFull(in, b)
	return string(b[:n]), err
}

func (e *engine) command(l *engineLink, in io.Reader, words []string) error {
	switch {
	case words[0] == "ATTACH" && len(words) == 2:
		n, err := strconv.ParseInt(words[1], 10, 64)
		if err != nil {
			return err
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.link = l
		l.send("HELLO running 60000\r\n")
		missed := min(max(e.last-n, 0), int64(len(e.notices)))
		for _, s := range e.notices[int64(len(e.notices))-missed:] {
			l.send(s)
		}
		e.rec.add("engine ATTACH %d, %d notices follow", n, missed)
	case words[0] == "STAT" && len(words) == 2:
		e.mu.Lock()
		defer e.mu.Unlock()
		l.send(gauges(words[1], e.onCores()))
	case words[0] == "TEST" && len(words) == 2:
		l.send("TESTED " + words[1] + " fine\r\n")
	case words[0] == "RUN" && len(words) == 4:
		body, err := readBody(in, words[3])
		if err != nil {
			return err
		}
		e.begin(l, words[1], words[2], body)
	case words[0] == "FEED" && len(words) == 3:
		body, err := readBody(in, words[2])
		if err != nil {
			return err
		}
		e.endCall(l, words[1], 0, body)
	case words[0] == "SKIP" && len(words) == 3:
		n, err := strconv.ParseInt(words[2], 10, 64)
		if err != nil {
			return err
		}
		e.endCall(l, words[1], n, "")
	default:
		return errCommand
	}
	return nil
}

func (e *engine) begin(l *engineLink, txn, class, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.jobs[txn]
	switch {
	case j == nil || j.class != class || j.body != body:
		e.foreign++
		e.rec.add("engine NO RUN %s: no such request", txn)
		l.send("NO RUN " + txn + "\r\n")
	case e.runs[txn] != nil: // it runs already
	case j.over:
		e.rec.add("engine DONE %d %s late", e.last+1, txn)
		e.notice("DONE %d %s late 0 0\r\n\r\n", txn)
	default:
		e.rec.add("engine RUN %s %s unique=%s again=%v", txn, class, j.unique, e.ran[txn])
		e.ran[txn] = true
		e.runs[txn] = &run{job: j, began: time.Now()}
	}
}

// endCall handles FEED and, with the number of a notice, SKIP.
func (e *engine) endCall(l *engineLink, txn string, skip int64, reply string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[txn]
	name := "FEED"
	if skip > 0 {
		name = "SKIP"
	}
	if r == nil || r.waiting == 0 || skip > 0 && r.waiting != skip {
		e.rec.add("engine NO %s %s: no run waits", name, txn)
		l.send("NO " + name + " " + txn + "\r\n")
		return
	}
	r.waiting = 0
	r.called++
	want := callReply(callBody(r.job, r.called))
	if skip == 0 && reply != want {
		e.wrong++
		e.rec.add("engine FEED %s call %d: WRONG, got %q, the index replied %q to this call or not yet", txn, r.called, reply, want)
		return
	}
	e.rec.add("engine %s %s call %d", name, txn, r.called)
}
