// Package logging sets up the program's log: structured lines with zerolog, as JSON by default and as text on a terminal.
// Output of the standard log package goes there as well. No line contains a key, a secret or a request's body.
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

// Config configures the log.
type Config struct {
	Level  string // debug, info, warn or error; empty for info
	Format string // json or text; empty for text on a terminal and JSON elsewhere
}

// Setup sets up the program's log and returns it. It uses the defaults for an unknown level or format, which package
// config rejects when it reads the configuration.
func Setup(w io.Writer, c Config) zerolog.Logger {
	zerolog.TimeFieldFormat, zerolog.TimestampFunc = time.RFC3339Nano, clock.Wall
	if c.Format == "text" || c.Format == "" && isTerminal(w) {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: "15:04:05.000000"}
	}
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil || c.Level == "" {
		level = zerolog.InfoLevel
	}
	l := zerolog.New(w).Level(level).With().Timestamp().Logger()
	log.SetFlags(0)
	log.SetOutput(standardWriter{l})
	return l
}

// Validate returns an error if the level or the format is unknown.
func Validate(c Config) error {
	if _, err := zerolog.ParseLevel(c.Level); err != nil {
		return fmt.Errorf("level %q; debug, info, warn and error are known", c.Level)
	}
	switch c.Format {
	case "", "json", "text":
		return nil
	}
	return fmt.Errorf("format %q; json and text are known", c.Format)
}

// standardWriter passes lines of the standard log package to zerolog.
type standardWriter struct{ l zerolog.Logger }

// Write implements io.Writer.
func (s standardWriter) Write(p []byte) (int, error) {
	n := len(p)
	for len(p) > 0 && p[len(p)-1] == '\n' {
		p = p[:len(p)-1]
	}
	s.l.Info().Msg(string(p))
	return n, nil
}

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	i, err := f.Stat()
	return err == nil && i.Mode()&os.ModeCharDevice != 0
}
