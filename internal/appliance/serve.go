package appliance

import (
	"io"

	"cairnlane/internal/config"
	"cairnlane/internal/daemon"
	"cairnlane/internal/logging"
)

// Serve runs the appliance with a configuration until it is told to leave or fails. The log goes to w. Tests add parts of
// their own.
func Serve(path string, w io.Writer, more ...func(*Box) daemon.Part) error {
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	l := logging.Config{}
	if cfg.Log != nil {
		l = logging.Config{Level: cfg.Log.Level, Format: cfg.Log.Format}
	}
	box, err := New(cfg, logging.Start(w, l))
	if err != nil {
		return err
	}
	parts := box.Parts()
	for _, make := range more {
		parts = append(parts, make(box))
	}
	return daemon.Run(cfg.Replica, cfg.Site, box.Started, parts...)
}

// Name is the box's.
func (b *Box) Name() string { return b.cfg.Site.Name }
