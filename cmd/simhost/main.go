// Command simhost connects a simulator to the admission controller of package policy. It reads batches of
// events from standard input and writes the resulting actions to standard output, with one controller per
// simulated server. It only translates between the two and makes no decisions.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"cairnlane/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve writes one reply line to out for each line of in, until in ends.
func serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	f := &fleet{instances: map[string]*instance{}}
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read line %d: %w", n, err)
		}
		reply, err := f.answer(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("write reply %d: %w", n, err)
		}
	}
}

// answer passes the events of one batch to their instances and returns the encoded reply.
func (f *fleet) answer(line []byte) ([]byte, error) {
	batch, err := wire.Decode(line)
	if err != nil {
		return nil, err
	}
	f.actions = nil
	for i := range batch.Events {
		if err := f.handle(batch.Time, &batch.Events[i]); err != nil {
			return nil, fmt.Errorf("event %d: %w", i, err)
		}
	}
	return wire.Encode(f.actions)
}
