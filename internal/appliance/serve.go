package appliance

import (
	"io"

	"cairnlane/internal/config"
	"cairnlane/internal/daemon"
	"cairnlane/internal/logging"
)

// Serve runs the appliance with the configuration file at path until it has drained or fails. The log is written to w.
// The functions in more return additional components; tests use them.
func Serve(path string, w io.Writer, more ...func(*Box) daemon.Component) error {
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	l := logging.Config{}
	if cfg.Log != nil {
		l = logging.Config{Level: cfg.Log.Level, Format: cfg.Log.Format}
	}
	box, err := New(cfg, logging.Setup(w, l))
	if err != nil {
		return err
	}
	parts := box.Parts()
	for _, newPart := range more {
		parts = append(parts, newPart(box))
	}
	return daemon.Run(cfg.Replica, cfg.Site, box.Started, parts...)
}

// Name returns the box's name.
func (b *Box) Name() string { return b.cfg.Site.Name }
