// Command cairnsite is the appliance for small sites, started as `cairnlane serve` or `cairnlane check`.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"cairnlane/internal/appliance"
	"cairnlane/internal/config"
	"cairnlane/internal/daemon"
	"cairnlane/internal/logging"
)

var cli struct {
	Serve struct {
		Config string `required:"" type:"existingfile" help:"The box's configuration, as in deploy/appliance.hcl."`
	} `cmd:"" help:"Run the box until SIGTERM or 'cairnctl stop'."`
	Check struct {
		File string `arg:"" type:"existingfile" help:"A configuration."`
	} `cmd:"" help:"Tell all that is wrong in a configuration, and change nothing."`
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("cairnlane"), kong.UsageOnError(),
		kong.Description("The appliance for small sites. Without arguments cairnlane is the platform's replica, configured by RELAY_CONFIG."))
	var err error
	switch ctx.Command() {
	case "serve":
		err = serve(cli.Serve.Config)
	default:
		if _, err = config.Load(cli.Check.File); err == nil {
			fmt.Println(cli.Check.File, "is right")
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(path string) error {
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	l := logging.Config{}
	if cfg.Log != nil {
		l = logging.Config{Level: cfg.Log.Level, Format: cfg.Log.Format}
	}
	box, err := appliance.New(cfg, logging.Start(os.Stderr, l))
	if err != nil {
		return err
	}
	return daemon.Run(cfg.Replica, cfg.Site, box.Started, box.Parts()...)
}
