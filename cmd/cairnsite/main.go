// Command cairnsite is the appliance for small sites, started as `cairnlane serve` or `cairnlane check`.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"cairnlane/internal/appliance"
	"cairnlane/internal/config"
	"cairnlane/internal/daemon"
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
		daemon.CatchSignals()
		err = appliance.Serve(cli.Serve.Config, os.Stderr)
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
