package engine

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"cairnlane/internal/fake/index"
)

// callTimeout is how long a run waits for its index call. The real engine ends a waiting run when its request is over, but this fake
// does not learn the end of a request.
const callTimeout = 3 * time.Second

// call is the index call that a run waits for.
type call struct {
	notice int64 // number of its NEED notice
	body   string
	start  func() // starts the run's work
	expiry *time.Timer
}

// SetIndexCalls sets whether each run makes one index call before its work.
func (e *Engine) SetIndexCalls(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.callsIndex = on
}

// CallCounts returns the number of calls that got the expected reply, of calls that were skipped, and of calls that got a wrong reply.
func (e *Engine) CallCounts() (fed, skipped, wrong int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fed, e.skipped, e.wrong
}

// requestCall sends the NEED notice of a run. start begins the run's work and is called once the call has ended.
func (a *Address) requestCall(id, body string, start func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &call{body: "call for " + body, start: start, notice: a.lastNotice + 1}
	c.expiry = time.AfterFunc(callTimeout, func() { a.expireCall(id, c) })
	a.openCalls[id] = c
	a.sendNotice("NEED %d %s %d\r\n%s\r\n", id, len(c.body), c.body)
}

// expireCall ends a run as broken off if c is still its open call.
func (a *Address) expireCall(id string, c *call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.openCalls[id] != c {
		return
	}
	delete(a.openCalls, id)
	a.sendNotice("DONE %d %s broken_off %d 0\r\n\r\n", id, callTimeout.Milliseconds())
}

// endCall handles FEED and SKIP, given as the command's words. It replies NO if the run has no such open call.
func (a *Address) endCall(conn net.Conn, r io.Reader, words []string) error {
	id, skip := words[1], words[0] == "SKIP"
	n, err := strconv.ParseInt(words[2], 10, 64) // number of the NEED notice in SKIP, length of the reply in FEED
	if err != nil || n < 0 || !skip && n > 64<<10 {
		return errCommand
	}
	reply := make([]byte, 0)
	if !skip {
		reply = make([]byte, n+2)
		if _, err := io.ReadFull(r, reply); err != nil {
			return err
		}
		reply = reply[:n]
	}
	a.mu.Lock()
	c := a.openCalls[id]
	if c == nil || skip && c.notice != n {
		io.WriteString(conn, fmt.Sprintf("NO %s %s\r\n", words[0], id))
		a.mu.Unlock()
		return nil
	}
	delete(a.openCalls, id)
	a.mu.Unlock()
	c.expiry.Stop()
	a.engine.countCall(skip, string(reply) == index.Reply(c.body))
	c.start()
	return nil
}

func (e *Engine) countCall(skip, expected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case skip:
		e.skipped++
	case expected:
		e.fed++
	default:
		e.wrong++
	}
}
