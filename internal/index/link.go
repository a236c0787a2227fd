package index

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"cairnlane/policy"
)

const (
	readSize      = 64 << 10 // size of the read buffer
	maxLine       = 64       // limit on a reply line, CR LF included; a longer one is malformed
	maxResult     = 4 << 20  // limit on the bytes of a HIT's result; a longer one is malformed
	maxStoppedIDs = 64       // number of abandoned call ids that a link remembers
)

// errMalformed is wrapped by errors about input that the protocol does not allow.
var errMalformed = errors.New("malformed reply from the index")

// outcomes maps the words of replies to outcomes.
var outcomes = map[string]policy.Outcome{
	"HIT": policy.Succeeded, "SHED": policy.Rejected, "NOBODY": policy.Rejected,
	"BROKEN": policy.Failed, "SLOW": policy.TimedOut,
}

// link is one connection to the index. One goroutine dials and writes, another one reads. Its fields are guarded
// by Client.mu.
type link struct {
	addr              string
	socket            net.Conn      // nil while dialing
	out               []byte        // lines waiting to be written
	queued            []*call       // calls whose GET is in out
	writing           int           // bytes taken by the writer and not written yet
	wake              chan struct{} // has a value while out may contain bytes
	quit              chan struct{} // closed when the link ends
	stoppedIDs        []string      // ids of calls recently abandoned on the link
	answeredElsewhere int           // later calls answered on other links since this one last answered
	ended             bool
}

// rememberStopped records that a call was abandoned on l.
func (l *link) rememberStopped(id string) {
	if len(l.stoppedIDs) >= maxStoppedIDs {
		l.stoppedIDs = slices.Delete(l.stoppedIDs, 0, 1)
	}
	l.stoppedIDs = append(l.stoppedIDs, id)
}

// wakeWriter wakes the writer.
func (l *link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// linkFor returns the link for a call. A call whose id was abandoned on a link uses that link, because the index
// could take the STOP on another link for the new call. Otherwise it is the link with the fewest open calls, or a
// new one if all links have open calls and there are fewer than maxLinks. Of equal links the oldest is used, so
// that the others become idle and are closed under low load. Links to an earlier address get no new calls. c.mu is
// held.
func (c *Client) linkFor(id string) *link {
	var best *link
	least, current := 0, 0
	for _, l := range c.links {
		if slices.Contains(l.stoppedIDs, id) {
			return l
		}
		if l.addr != c.addr {
			continue
		}
		current++
		if n := c.openOn(l); best == nil || n < least {
			best, least = l, n
		}
	}
	if best != nil && (least == 0 || current >= c.maxLinks) {
		return best
	}
	l := &link{addr: c.addr, wake: make(chan struct{}, 1), quit: make(chan struct{})}
	c.links = append(c.links, l)
	c.dials.Inc()
	go c.run(l)
	return l
}

// openOn returns the number of calls on l without an outcome. c.mu is held.
func (c *Client) openOn(l *link) (calls int) {
	for _, k := range c.open {
		if k.link == l && !k.done {
			calls++
		}
	}
	return calls
}

// run dials l, then writes its output until it ends.
func (c *Client) run(l *link) {
	socket, err := net.DialTimeout("tcp", l.addr, dialTimeout)
	c.mu.Lock()
	if err != nil {
		c.dialsFailed.Inc()
		c.endLink(l, policy.Unreachable, policy.Unreachable) // nothing was written, so no call has run
		c.mu.Unlock()
		c.notifyLinkEnded()
		return
	}
	if l.ended { // closed while dialing
		c.mu.Unlock()
		socket.Close()
		return
	}
	l.socket = socket
	c.mu.Unlock()
	go c.read(l, socket)
	c.write(l, socket)
}

// write writes the output of l until l ends. A link without open calls is closed after idleTimeout without writes.
func (c *Client) write(l *link, socket net.Conn) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		batch, up := c.takeBatch(l)
		if !up {
			return
		}
		if len(batch) == 0 {
			select {
			case <-l.wake:
			case <-l.quit:
				return
			case <-idle.C:
				if c.closeIfIdle(l) {
					socket.Close()
					return
				}
				idle.Reset(idleTimeout)
			}
			continue
		}
		socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := socket.Write(batch)
		c.mu.Lock()
		l.writing = 0
		c.mu.Unlock()
		if err != nil {
			c.failLink(l, socket, err)
			return
		}
		idle.Reset(idleTimeout)
	}
}

// takeBatch returns the output that waits in l and marks its calls as sent; up is false if l has ended.
func (c *Client) takeBatch(l *link) (batch []byte, up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.ended {
		return nil, false
	}
	batch, l.out, l.writing = l.out, nil, len(l.out)
	for _, k := range l.queued {
		k.sent = true
	}
	l.queued = nil
	return batch, true
}

// closeIfIdle ends l if it has neither open calls nor output, and reports whether it did.
func (c *Client) closeIfIdle(l *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(l.out) > 0 || c.openOn(l) > 0 {
		return false
	}
	c.endLink(l, policy.Interrupted, policy.Unreachable)
	return true
}

// read reads replies on l and delivers them until l ends. All results of HITs share one buffer.
func (c *Client) read(l *link, socket net.Conn) {
	r := bufio.NewReaderSize(socket, readSize)
	var buffer []byte
	for {
		id, outcome, size, err := readHead(r)
		var result []byte
		if err == nil && outcome == policy.Succeeded {
			buffer, err = readBody(r, buffer, size)
			result = buffer
		}
		if errors.Is(err, errMalformed) { // logged before the calls on l get their outcome
			c.linksGarbage.Inc()
			log.Printf("index %s: %v; closing the connection", l.addr, err)
		}
		if err != nil {
			c.failLink(l, socket, err)
			return
		}
		c.handleReply(l, id, outcome, result)
	}
}

// readHead reads one reply line: the id, its outcome and, for HIT, the length of the result.
func readHead(r *bufio.Reader) (id string, outcome policy.Outcome, size int, err error) {
	line, err := r.ReadSlice('\n')
	if len(line) > maxLine || errors.Is(err, bufio.ErrBufferFull) {
		return "", 0, 0, fmt.Errorf("%w: line longer than %d bytes", errMalformed, maxLine)
	}
	if err != nil {
		return "", 0, 0, err
	}
	text, crlf := strings.CutSuffix(string(line), "\r\n")
	words := strings.Split(text, " ")
	outcome, known := policy.Outcome(0), len(words) >= 2
	if known {
		outcome, known = outcomes[words[1]]
	}
	hit := known && outcome == policy.Succeeded
	if !crlf || !known || hit != (len(words) == 3) || !hit && len(words) != 2 {
		return "", 0, 0, fmt.Errorf("%w: line %q", errMalformed, line)
	}
	if hit {
		n, err := strconv.ParseUint(words[2], 10, 32)
		if err != nil || n > maxResult {
			return "", 0, 0, fmt.Errorf("%w: result length in %q is not a number from 0 to %d", errMalformed, line, maxResult)
		}
		size = int(n)
	}
	return words[0], outcome, size, nil
}

// readBody reads size bytes and CR LF into buffer, which it returns cut to the size bytes.
func readBody(r *bufio.Reader, buffer []byte, size int) ([]byte, error) {
	buffer = slices.Grow(buffer[:0], size+2)[:size+2]
	if _, err := io.ReadFull(r, buffer); err != nil {
		return buffer, err
	}
	if !bytes.HasSuffix(buffer, []byte("\r\n")) {
		return buffer, fmt.Errorf("%w: result of %d bytes is not followed by CR LF", errMalformed, size)
	}
	return buffer[:size], nil
}

// handleReply delivers a reply read on l. A reply that matches no outstanding call on l is counted and ignored.
func (c *Client) handleReply(l *link, id string, outcome policy.Outcome, result []byte) {
	c.mu.Lock()
	k := c.open[id]
	fits := k != nil && k.link == l && k.sent && !k.done
	if fits {
		k.done, k.outcome, k.took = true, outcome, time.Since(k.start)
		k.timer.Stop()
	}
	var sockets []net.Conn
	if fits {
		sockets = c.endSilent(k)
	}
	c.mu.Unlock()
	for _, socket := range sockets {
		socket.Close()
	}
	if !fits {
		c.repliesUnknown.Inc()
		return
	}
	c.deliverReply(k, result)
}

// endSilent ends the links that answered nothing while maxPassed later calls were answered on other links, and
// returns their sockets to close. It guards against a connection that accepts calls but no longer answers them:
// such calls would be held until their wait has passed. c.mu is held.
func (c *Client) endSilent(answered *call) (sockets []net.Conn) {
	answered.link.answeredElsewhere = 0
	for _, l := range slices.Clone(c.links) {
		oldest := c.oldestSent(l)
		if l == answered.link || oldest == nil || !oldest.start.Before(answered.start) {
			continue
		}
		if l.answeredElsewhere++; l.answeredElsewhere < maxPassed || time.Since(oldest.start) <= c.silenceLimit {
			continue
		}
		c.linksSilent.Inc()
		if socket, _ := c.endLink(l, policy.Interrupted, policy.Unreachable); socket != nil {
			sockets = append(sockets, socket)
		}
	}
	return sockets
}

// oldestSent returns the call that has been outstanding on l the longest, or nil. c.mu is held.
func (c *Client) oldestSent(l *link) (oldest *call) {
	for _, k := range c.open {
		if k.link == l && k.sent && !k.done && (oldest == nil || k.start.Before(oldest.start)) {
			oldest = k
		}
	}
	return oldest
}

// failLink ends l after err and closes its socket. An open link that did not end by malformed input is counted as
// lost.
func (c *Client) failLink(l *link, socket net.Conn, err error) {
	c.mu.Lock()
	if !l.ended && !errors.Is(err, errMalformed) {
		c.linksLost.Inc() // before the calls on l get their outcome
	}
	_, first := c.endLink(l, policy.Interrupted, policy.Unreachable)
	c.mu.Unlock()
	socket.Close()
	if first {
		c.notifyLinkEnded()
	}
}

// endLink ends l: each call on it without an outcome gets the outcome sent if its GET was passed to the socket, or
// else unsent. It returns the socket to close, and whether l was open. c.mu is held.
func (c *Client) endLink(l *link, sent, unsent policy.Outcome) (net.Conn, bool) {
	if l.ended {
		return nil, false
	}
	l.ended = true
	close(l.quit)
	c.links = slices.DeleteFunc(c.links, func(other *link) bool { return other == l })
	for _, k := range c.open {
		if k.link != l || k.done {
			continue
		}
		if k.sent {
			c.callsInterrupted.Inc()
			c.finish(k, sent)
		} else {
			c.finish(k, unsent)
		}
	}
	l.out, l.queued = nil, nil
	return l.socket, true
}

// notifyLinkEnded calls the test hook after a link ended by itself.
func (c *Client) notifyLinkEnded() {
	if c.onLinkEnded != nil {
		c.onLinkEnded()
	}
}
