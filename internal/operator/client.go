package operator

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// ErrNo is wrapped by the error of a call that the door has answered with NAK, which has the reason.
var ErrNo = errors.New("the replica says no")

// Ask makes one call at the door at addr and returns its answer: the figures without their last line for vars, else
// nothing.
func Ask(addr, call string, most time.Duration) (string, error) {
	c, err := net.DialTimeout("tcp", addr, most)
	if err != nil {
		return "", fmt.Errorf("no replica answers at %s (is it running, and is this its control address?): %w", addr, err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(most))
	if _, err := fmt.Fprintf(c, "%s\n", call); err != nil {
		return "", fmt.Errorf("call the replica at %s: %w", addr, err)
	}
	var text strings.Builder
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", fmt.Errorf("the replica at %s did not answer within %v: %w", addr, most, err)
		}
		switch {
		case line == "--\n":
			return text.String(), nil
		case strings.HasPrefix(line, "ACK") && text.Len() == 0:
			return "", nil
		case strings.HasPrefix(line, "NAK") && text.Len() == 0:
			return "", fmt.Errorf("%w: %s", ErrNo, strings.TrimSpace(strings.TrimPrefix(line, "NAK")))
		}
		text.WriteString(line)
	}
}
