// Package logging sets up the program's log: structured lines through zerolog, JSON by default, text on a terminal. What
// packages print through the standard log goes the same way. No line holds a key, a secret or a request's body.
package logging

import (
	"fmt"
	"io"
	"log"
	"os"
	"time"

	"github.com/rs/zerolog"

	"cairnlane/internal/clock"
)

// Config is how the log is written.
type Config struct {
	Level  string // debug, info, warn or error; empty for info
	Format string // json or text; empty for text on a terminal and JSON elsewhere
}

// Start sets the program's log up and returns it. Levels and formats that are not known are the defaults; the
// configuration turns them down before.
func Start(w io.Writer, c Config) zerolog.Logger {
	zerolog.TimeFieldFormat, zerolog.TimestampFunc = time.RFC3339Nano, clock.Wall
	if c.Format == "text" || c.Format == "" && terminal(w) {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: "15:04:05.000000"}
	}
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil || c.Level == "" {
		level = zerolog.InfoLevel
	}
	l := zerolog.New(w).Level(level).With().Timestamp().Logger()
	log.SetFlags(0)
	log.SetOutput(standard{l})
	return l
}

// Check tells what is wrong with a configuration.
func Check(c Config) error {
	if _, err := zerolog.ParseLevel(c.Level); err != nil {
		return fmt.Errorf("level %q; debug, info, warn and error are known", c.Level)
	}
	switch c.Format {
	case "", "json", "text":
		return nil
	}
	return fmt.Errorf("format %q; json and text are known", c.Format)
}

// standard takes lines of the standard log.
type standard struct{ l zerolog.Logger }

// Write implements io.Writer.
func (s standard) Write(p []byte) (int, error) {
	n := len(p)
	for len(p) > 0 && p[len(p)-1] == '\n' {
		p = p[:len(p)-1]
	}
	s.l.Info().Msg(string(p))
	return n, nil
}

// terminal tells whether it is one.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	i, err := f.Stat()
	return err == nil && i.Mode()&os.ModeCharDevice != 0
}
