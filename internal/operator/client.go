package operator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// ErrNo is wrapped by the error of a call that the door has answered with NAK, which has the reason.
var ErrNo = errors.New("the replica says no")

// Ask makes one call at the door at addr and returns its answer: the figures without their last line for vars, else
// nothing.
func Ask(addr, call string, most time.Duration) (string, error) {
	c, err := net.DialTimeout("tcp", addr, most)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		return "", fmt.Errorf("the replica at %s did not answer within %v: %w", addr, most, err)
	}
	if err != nil {
		return "", fmt.Errorf("no replica answers at %s (is it running, and is this its control address?): %w", addr, err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(most))
	if _, err := fmt.Fprintf(c, "%s\n", call); err != nil {
		return "", fmt.Errorf("call the replica at %s: %w", addr, err)
	}
	text, err := ReadAnswer(c)
	if err != nil && !errors.Is(err, ErrNo) {
		return "", fmt.Errorf("the replica at %s did not answer within %v: %w", addr, most, err)
	}
	return text, err
}

// ReadAnswer reads the answer to one call: the figures without their last line for vars, else nothing.
func ReadAnswer(from io.Reader) (string, error) {
	var text strings.Builder
	for r := bufio.NewReader(from); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
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

// Values gives the figures by their names as they stand in the text.
func Values(text string) (map[string]int64, error) {
	values := map[string]int64{}
	for line := range strings.Lines(text) {
		name, number, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "} ")
		if ok {
			name += "}"
		} else {
			name, number, _ = strings.Cut(name, " ")
		}
		n, err := strconv.ParseInt(number, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("a figure that cannot be read: %q", line)
		}
		values[name] = n
	}
	return values, nil
}
