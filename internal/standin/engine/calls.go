package engine

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"cairnlane/internal/standin/index"
)

// callMost is how long a run waits for its call. The real engine ends it once its request is over, which this one is not told.
const callMost = 3 * time.Second

// call is what a run waits for.
type call struct {
	notice int64
	body   string
	begin  func()
	giveUp *time.Timer
}

// Calls has every run make one call to the index before its work.
func (e *Engine) Calls(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = on
}

// Fed tells how many calls were replied to, how many runs went on without, and how many replies were not those of their calls.
func (e *Engine) Fed() (fed, skipped, wrong int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fed, e.skipped, e.wrong
}

// need asks for a run's call; begin does its work once the wait has ended.
func (a *Address) need(id, body string, begin func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &call{body: "call for " + body, begin: begin, notice: a.last + 1}
	c.giveUp = time.AfterFunc(callMost, func() { a.brokenOff(id, c) })
	a.open[id] = c
	a.tell("NEED %d %s %d\r\n%s\r\n", id, len(c.body), c.body)
}

// brokenOff ends a run at its call.
func (a *Address) brokenOff(id string, c *call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open[id] != c {
		return
	}
	delete(a.open, id)
	a.tell("DONE %d %s broken_off %d 0\r\n\r\n", id, callMost.Milliseconds())
}

// answer takes FEED and SKIP, the words behind the command. A run that waits for no such call is told so.
func (a *Address) answer(c net.Conn, r io.Reader, words []string) error {
	id, skip := words[1], words[0] == "SKIP"
	n, err := strconv.ParseInt(words[2], 10, 64)
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
	w := a.open[id]
	if w == nil || skip && w.notice != n {
		io.WriteString(c, fmt.Sprintf("NO %s %s\r\n", words[0], id))
		a.mu.Unlock()
		return nil
	}
	delete(a.open, id)
	a.mu.Unlock()
	w.giveUp.Stop()
	a.engine.count(skip, string(reply) == index.Reply(w.body))
	w.begin()
	return nil
}

func (e *Engine) count(skip, right bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case skip:
		e.skipped++
	case right:
		e.fed++
	default:
		e.wrong++
	}
}
