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

// ErrRejected is wrapped by the error of a call that the replica has answered with NAK. The error contains the reason.
var ErrRejected = errors.New("the replica says no")

// Call makes one call to the admin listener at addr. For vars it returns the metrics without the final line; for other
// calls the text is empty.
func Call(addr, call string, timeout time.Duration) (string, error) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
		return "", fmt.Errorf("the replica at %s did not answer within %v: %w", addr, timeout, err)
	}
	if err != nil {
		return "", fmt.Errorf("no replica answers at %s (is it running, and is this its control address?): %w", addr, err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(c, "%s\n", call); err != nil {
		return "", fmt.Errorf("call the replica at %s: %w", addr, err)
	}
	text, err := ReadAnswer(c)
	if err != nil && !errors.Is(err, ErrRejected) {
		return "", fmt.Errorf("the replica at %s did not answer within %v: %w", addr, timeout, err)
	}
	return text, err
}

// ReadAnswer reads the answer to one call. For vars it returns the metrics without the final line; for other calls the
// text is empty.
func ReadAnswer(r io.Reader) (string, error) {
	var text strings.Builder
	for lines := bufio.NewReader(r); ; {
		line, err := lines.ReadString('\n')
		if err != nil {
			return "", err
		}
		switch {
		case line == "--\n":
			return text.String(), nil
		case strings.HasPrefix(line, "ACK") && text.Len() == 0:
			return "", nil
		case strings.HasPrefix(line, "NAK") && text.Len() == 0:
			return "", fmt.Errorf("%w: %s", ErrRejected, strings.TrimSpace(strings.TrimPrefix(line, "NAK")))
		}
		text.WriteString(line)
	}
}

// ParseMetrics parses the metrics of a vars answer. The keys are the names as written, labels included.
func ParseMetrics(text string) (map[string]int64, error) {
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
			return nil, fmt.Errorf("metric %q has no integer value: %w", line, err)
		}
		values[name] = n
	}
	return values, nil
}
