// Command cairnctl is the operators' tool: it controls a running daemon, starts fakes of outside systems and runs trials.
package main

import (
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"cairnlane/internal/certs/year"
	"cairnlane/internal/control"
	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fake/authority"
	"cairnlane/internal/handover/replace"
	"cairnlane/internal/lab/actor"
	"cairnlane/internal/lab/audits"
	"cairnlane/internal/lab/fleetsim"
	"cairnlane/internal/lab/leases"
	"cairnlane/internal/lab/members"
	"cairnlane/internal/lab/misuse"
	"cairnlane/internal/lab/mutants"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/operator"
)

type options struct {
	Socket string `default:"state/control.sock" env:"CAIRNLANE_CONTROL" help:"The daemon's control socket."`
	Door   string `env:"RELAY_CONTROL" placeholder:"HOST:PORT" help:"The operators' address of a replica on the platform; check, vars and drain go there instead of to the socket."`
	Output string `default:"text" enum:"text,json" help:"text or json."`

	Status struct{} `cmd:"" help:"How the daemon stands."`
	Check  struct{} `cmd:"" help:"Whether the replica takes clients; exit code 1 if not, with the reason."`
	Vars   struct{} `cmd:"" help:"The replica's figures: requests by class and outcome, tries, in progress."`
	Drain  struct {
		Switch string `arg:"" enum:"on,off" help:"on: have callers go elsewhere. off: have them back."`
		Force  bool   `help:"In a fleet: do not wait for a slot of maintenance. More boxes may then be out of service than are to be."`
	} `cmd:"" help:"Drain the replica, or end the drain. It goes on running either way. In a fleet, on waits its turn."`
	Stop struct {
		Force bool `help:"In a fleet: do not wait for a slot of maintenance. More boxes may then be out of service than are to be."`
	} `cmd:"" help:"Have the daemon finish its work and end. In a fleet it waits its turn."`
	Fleet fleetOptions `cmd:"" help:"What several boxes agree on: who is there, who may act."`
	Cert  struct {
		Status  struct{}       `cmd:"" help:"The certificates, their lifetimes and alarms."`
		History certificateArg `cmd:"" help:"What has happened to a certificate."`
		Renew   certificateArg `cmd:"" help:"Renew a certificate now, within the budget of orders."`
		Revoke  struct {
			certificateArg
			Reason int `default:"0" help:"RFC 5280: 0 unspecified, 1 key compromise, 4 superseded, 5 cessation."`
		} `cmd:"" help:"Revoke a certificate at its authority, and renew it."`
	} `cmd:"" help:"Certificates."`
	Standin struct {
		Authority struct {
			Lifetime time.Duration `default:"2160h" help:"Of what it issues."`
			HTTPPort int           `default:"80" help:"Where http-01 is validated, on loopback."`
			TLSPort  int           `default:"443" help:"Where tls-alpn-01 is validated, on loopback."`
			Root     string        `default:"standin-root.pem" help:"File to write the root to."`
		} `cmd:"" help:"Run a stand-in for an ACME authority on loopback, for trials."`
	} `cmd:"" help:"Stand-ins for what is not ours, for trials."`
	Trial struct {
		Certificates struct {
			Seed uint64 `default:"1" help:"Draws the faults."`
			Days int    `default:"365" help:"How long it lasts on the box's clock."`
			Out  string `default:"." help:"Folder for the table and the chart."`
		} `cmd:"" help:"Play a simulated year of certificates on loopback."`
		Replace struct {
			Seed    uint64   `default:"1" help:"Draws load, moments and kills."`
			Count   int      `default:"200" help:"How many replacements."`
			Sockets int      `default:"256" help:"Limit on the descriptors of both processes."`
			Site    string   `default:"examples/config.json" type:"existingfile" help:"The settings to play with."`
			Command []string `default:"bin/cairnlane" help:"Starts a replica."`
		} `cmd:"" help:"Replace real replica processes under load on loopback, one in three with a kill."`
		Misuse struct {
			Seed     uint64        `default:"1" help:"Draws load and clients."`
			Sites    []string      `default:"examples/config.json,examples/images/config.json" help:"The settings to play with, one after the other."`
			Memory   int           `default:"32" help:"The process's memory_mb."`
			Crowd    int           `default:"400" help:"Clients of a crowd."`
			Span     time.Duration `default:"5s" help:"How long each scenario lasts."`
			Scenario []string      `help:"Play these scenarios only."`
			Command  []string      `default:"bin/cairnlane" help:"Starts a replica."`
		} `cmd:"" help:"Have clients misbehave against a real process with little memory on loopback."`
		Leases struct {
			Seed     uint64        `default:"1" help:"Draws faults, load and clocks."`
			Boxes    int           `default:"7" help:"How many processes."`
			Faults   int           `default:"84" help:"How many faults are drawn."`
			Span     time.Duration `default:"120s" help:"Over which they come."`
			Clean    int           `default:"9" help:"How many holders are killed at the end, to measure how soon another one acts."`
			Schedule string        `type:"existingfile" help:"Play the faults in a file, as a trial prints them, in place of drawn ones."`
			Shrink   bool          `help:"If bounds are missed, play shorter schedules to find which faults are needed."`
			Site     string        `default:"examples/config.json" type:"existingfile" help:"The settings to play with."`
			Program  string        `default:"bin/trial/cairnlane" help:"A trial build of the program."`
		} `cmd:"" help:"Have real processes act under leases on loopback, with faults in and between them."`
		Audit struct {
			Seed    uint64        `default:"1" help:"Draws faults and load."`
			Faults  int           `default:"60" help:"How many faults are drawn."`
			Span    time.Duration `default:"110s" help:"Over which they come."`
			Site    string        `default:"examples/config.json" type:"existingfile" help:"The settings to play with."`
			Program string        `default:"bin/trial/cairnlane" help:"A trial build of the program."`
			Later   string        `default:"bin/trial/later/cairnlane" help:"One of a later number."`
		} `cmd:"" help:"Roll configurations out over real processes with faults in and between them, and compare what the audits say with what was seen."`
		AuditCost struct{} `cmd:"" help:"Measure what the audit costs and how fast a million entries answer."`
		Takeover  struct {
			Seed    uint64        `default:"1" help:"Draws load and what the boxes do."`
			Count   int           `default:"200" help:"How many holders are killed."`
			Term    time.Duration `default:"1s" help:"Of the leases."`
			Site    string        `default:"examples/config.json" type:"existingfile" help:"The settings to play with."`
			Program string        `default:"bin/trial/cairnlane" help:"A trial build of the program."`
		} `cmd:"" help:"Kill one holder after the other and measure how soon another box acts."`
		Crowd struct {
			Boxes   int           `default:"100" help:"How many processes."`
			Term    time.Duration `default:"10s" help:"Of the leases."`
			Span    time.Duration `default:"20s" help:"How long their talk is measured."`
			Site    string        `default:"examples/config.json" type:"existingfile" help:"The settings to play with."`
			Program string        `default:"bin/trial/cairnlane" help:"A trial build of the program."`
		} `cmd:"" help:"Measure a fleet of many real processes."`
		Fleetsim struct {
			Seed    uint64        `default:"1" help:"The first seed."`
			Seeds   int           `default:"2000" help:"How many are played."`
			Workers int           `default:"4" help:"How many side by side."`
			Members int           `default:"0" help:"Play one large fleet without faults in place of seeds, and measure its talk."`
			Term    time.Duration `default:"10s" help:"Of the large fleet's leases."`
		} `cmd:"" help:"Play fleets in virtual time, with drawn faults."`
		Overload struct {
			Seed    uint64        `default:"1" help:"Draws clients and habits."`
			Seeds   int           `default:"2" help:"How many days of each load and mode."`
			Boxes   int           `default:"8" help:"Processes of each of the three fleets that play side by side."`
			Span    time.Duration `default:"26s" help:"Of a day."`
			Outage  time.Duration `default:"6s" help:"Without catalog and engines, once a seed."`
			Site    string        `default:"examples/config.json" type:"existingfile" help:"The settings to play with."`
			Program string        `default:"bin/cairnlane" help:"The program."`
		} `cmd:"" help:"Play days of overload over real processes: as a fleet, each alone, and as a fleet that hears nothing of each other."`
		OverloadCost struct {
			Rounds   int    `default:"80" help:"Of each variant."`
			Requests int    `default:"8000" help:"A round."`
			Site     string `default:"examples/config.json" type:"existingfile" help:"The settings to play with."`
			Program  string `default:"bin/cairnlane" help:"The program."`
		} `cmd:"" help:"Measure what a request costs with a fleet's advice and with the recorder, and without."`
		Days struct {
			Seed   uint64        `default:"1" help:"The first seed."`
			Seeds  int           `default:"10" help:"How many days of each case and mode."`
			Site   string        `default:"examples/config.json" type:"existingfile" help:"The settings to play with; world.json beside them describes the rest."`
			Boxes  []int         `default:"10" sep:"," help:"Sizes."`
			Span   time.Duration `default:"40s" help:"Of a day."`
			Steady bool          `help:"The loads without a fault, and the case with several, in place of all."`
			Chart  string        `help:"Draw the gains into an SVG file." type:"path"`
		} `cmd:"" help:"Play days of overload in virtual time, with everything that may go wrong."`
		Members struct {
			Names []int `default:"10,100,300" sep:"," help:"Sizes."`
		} `cmd:"" help:"Weigh gossip against the ledger's sessions as ways of knowing who is there."`
		Mutants struct {
			Root    string `default:"." type:"existingdir" help:"The source."`
			Workers int    `default:"4" help:"How many side by side."`
			Only    string `help:"Only those whose name, file or test holds this."`
		} `cmd:"" help:"Break the source in one place after the other and see that a test finds it."`
		Act struct {
			Resource string        `required:""`
			Thing    string        `required:""`
			Box      string        `required:""`
			For      time.Duration `default:"1s"`
		} `cmd:"" hidden:"" help:"Act upon a stand-in under the token in the environment."`
	} `cmd:"" help:"Trials of this program, with its stand-ins."`
	Completion struct {
		Shell string `arg:"" enum:"bash" help:"bash."`
	} `cmd:"" help:"Print shell completion."`
}

type certificateArg struct {
	Name string `arg:"" help:"The certificate's name in the configuration."`
}

func main() {
	var o options
	parser := kong.Must(&o, kong.Name("cairnctl"), kong.UsageOnError(), kong.Description("The operators' tool of cairnlane."))
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := o.run(ctx.Command(), parser.Model, os.Stdout); err != nil {
		var code exitCode
		if errors.As(err, &code) {
			os.Exit(int(code))
		}
		fmt.Fprintln(os.Stderr, "cairnctl:", err)
		os.Exit(1)
	}
}

func (o *options) run(command string, model *kong.Application, w io.Writer) error {
	c := control.NewClient(o.Socket)
	if name, ok := strings.CutPrefix(command, "fleet "); ok {
		return o.fleet(w, name, c.Fleet())
	}
	switch command {
	case "status":
		s, err := c.Status()
		return o.show(w, s, err, func(t io.Writer) {
			fmt.Fprintf(t, "name\t%s\nlisten\t%s\ntls\t%s\nsince\t%s\ndraining\t%v\n", s.Name, s.Listen, s.TLS, s.StartedAt.Format(time.RFC3339), s.Draining)
			names := make([]string, 0, len(s.Counters))
			for n := range s.Counters {
				names = append(names, n)
			}
			slices.Sort(names)
			for _, n := range names {
				fmt.Fprintf(t, "%s\t%d\n", n, s.Counters[n])
			}
		})
	case "check":
		return o.printYesNo(w, o.callOperator(c, "check"))
	case "vars":
		return o.vars(w, c)
	case "drain <switch>":
		if o.Drain.Switch == "on" && !o.Drain.Force && o.Door == "" {
			if done, err := o.enterMaintenance(c.Fleet(), "drain"); done {
				return o.printYesNo(w, err)
			}
		}
		return o.printYesNo(w, o.callOperator(c, "drain-"+o.Drain.Switch))
	case "stop":
		if !o.Stop.Force {
			if done, err := o.enterMaintenance(c.Fleet(), "stop"); done {
				return err
			}
		}
		return c.Stop()
	case "cert status":
		l, err := c.Certificates()
		return o.show(w, l, err, func(t io.Writer) {
			fmt.Fprintln(t, "NAME\tALARM\tPHASE\tNOT AFTER\tDUE\tGENERATION\tFAILURES\tLAST")
			for _, s := range l {
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", s.Name, s.Alarm, s.Phase, formatTime(s.NotAfter), formatTime(s.Due), s.Generation, s.Failures, s.LastEvent)
			}
		})
	case "cert history <name>":
		l, err := c.History(o.Cert.History.Name)
		return o.show(w, l, err, func(t io.Writer) {
			for _, e := range l {
				fmt.Fprintf(t, "%s\t%s\t%s\n", e.At.Format(time.RFC3339), e.What, e.Text)
			}
		})
	case "cert renew <name>":
		return c.Renew(o.Cert.Renew.Name)
	case "cert revoke <name>":
		return c.Revoke(o.Cert.Revoke.Name, o.Cert.Revoke.Reason)
	case "standin authority":
		return o.authority(w)
	case "trial certificates":
		return o.year(w)
	case "trial replace":
		return o.replace(w)
	case "trial misuse":
		return o.misuse(w)
	case "trial leases":
		return o.leases(w)
	case "trial audit":
		return o.auditTrial(w)
	case "trial audit-cost":
		dir, err := rig.TempDir()
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		f, err := audits.MeasureCosts(dir, 1000, 1000)
		if err != nil {
			return err
		}
		return printResult(w, f, nil, f.MissedBounds())
	case "trial takeover":
		return o.takeover(w)
	case "trial crowd":
		return o.largeFleet(w)
	case "trial fleetsim":
		return o.fleetsim(w)
	case "trial overload":
		return o.overload(w)
	case "trial overload-cost":
		return o.overloadCost(w)
	case "trial days":
		return o.days(w)
	case "trial members":
		for _, n := range o.Trial.Members.Names {
			g, err := members.Gossip(n, 10*time.Second)
			if err != nil {
				return err
			}
			fmt.Fprintln(w, "figures:", g)
			fmt.Fprintln(w, "figures:", members.Sessions(n, members.Terms.Term))
		}
		return nil
	case "trial mutants":
		all := slices.Concat(mutants.Leases, mutants.Audits, mutants.Overloads, mutants.Concurrency, mutants.Admission, mutants.Incidents)
		all = slices.DeleteFunc(all, func(m mutants.Mutant) bool {
			return !strings.Contains(m.Name+" "+m.File+" "+m.Test, o.Trial.Mutants.Only)
		})
		caught, alive, err := mutants.Run(o.Trial.Mutants.Root, all, o.Trial.Mutants.Workers, w)
		if err != nil {
			return err
		}
		return printResult(w, figuresLine{fmt.Sprintf("mutants=%d caught=%d alive=%d", len(all), caught, len(alive))}, nil, alive)
	case "trial act":
		a := o.Trial.Act
		return actor.RunCommand(a.Resource, a.Thing, a.Box, a.For)
	default:
		return completion(w, model)
	}
}

// operatorTimeout is the time limit of a call at a replica's admin listener.
const operatorTimeout = 2 * time.Second

// callOperator makes a call that returns no text, at the admin listener if one is given or else at the daemon's socket.
func (o *options) callOperator(c *control.Client, call string) error {
	if o.Door != "" {
		_, err := operator.Call(o.Door, call, operatorTimeout)
		return err
	}
	_, err := c.OperatorCall(call)
	return err
}

// printYesNo prints yes if err is nil. Otherwise it returns the error, and with JSON output prints it as well.
func (o *options) printYesNo(w io.Writer, err error) error {
	if o.Output == "json" {
		out := struct {
			Yes    bool   `json:"yes"`
			Reason string `json:"reason,omitempty"`
		}{Yes: err == nil}
		if err != nil {
			out.Reason = err.Error()
		}
		return errors.Join(json.NewEncoder(w).Encode(out), err)
	}
	if err == nil {
		_, err = fmt.Fprintln(w, "yes")
	}
	return err
}

// vars prints the replica's counters, sorted by name.
func (o *options) vars(w io.Writer, c *control.Client) error {
	var text string
	var err error
	if o.Door != "" {
		text, err = operator.Call(o.Door, "vars", operatorTimeout)
	} else {
		text, err = c.OperatorCall("vars")
	}
	if err != nil {
		return err
	}
	values, err := operator.ParseMetrics(text)
	return o.show(w, values, err, func(t io.Writer) {
		for _, name := range slices.Sorted(maps.Keys(values)) {
			fmt.Fprintf(t, "%s\t%d\n", name, values[name])
		}
	})
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format(time.RFC3339)
}

// show prints a value as text or JSON.
func (o *options) show(w io.Writer, v any, err error, text func(io.Writer)) error {
	if err != nil {
		return err
	}
	if o.Output == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	text(t)
	return t.Flush()
}

// authority runs the fake ACME authority until the process is interrupted.
func (o *options) authority(w io.Writer) error {
	a := o.Standin.Authority
	s, err := authority.Start(authority.Config{Name: "stand-in", Now: time.Now, Lifetime: a.Lifetime, Resolve: func(_ string, port int) string {
		if port == 80 {
			port = a.HTTPPort
		} else {
			port = a.TLSPort
		}
		return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	}})
	if err != nil {
		return err
	}
	defer s.Close()
	root := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.RootCertificates()[0].Raw})
	if err := os.WriteFile(a.Root, root, 0o644); err != nil {
		return err
	}
	fmt.Fprintf(w, "directory = %q\nroot      = %q\n", s.URL(), a.Root)
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGINT, syscall.SIGTERM)
	<-end
	return nil
}

// printResult prints the notes of a trial and, last, its line of figures. It returns an error that lists the missed bounds,
// if any.
func printResult(w io.Writer, figures any, notes, missed []string) error {
	for _, n := range notes {
		fmt.Fprintln(w, n)
	}
	fmt.Fprintln(w, figures)
	if len(missed) > 0 {
		return fmt.Errorf("missed: %s", strings.Join(missed, ", "))
	}
	return nil
}

// figuresLine prints figures with the prefix "figures: ", for figures whose own text lacks it.
type figuresLine struct{ figures any }

func (p figuresLine) String() string { return fmt.Sprintf("figures: %v", p.figures) }

// year runs the certificates trial and writes its table and chart. The error lists the missed bounds.
func (o *options) year(w io.Writer) error {
	t := o.Trial.Certificates
	dir, err := os.MkdirTemp("", "year")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := year.Run(year.Config{Seed: t.Seed, Days: t.Days, Dir: dir, Progress: w})
	if err != nil {
		return err
	}
	csv, svg := filepath.Join(t.Out, "year.csv"), filepath.Join(t.Out, "year.svg")
	if err := errors.Join(os.MkdirAll(t.Out, 0o755), f.WriteCSV(csv), f.WriteSVG(svg)); err != nil {
		return err
	}
	f.Table(w)
	fmt.Fprintln(w, "written:", csv, svg)
	return printResult(w, f, nil, f.MissedBounds())
}

// replace runs the replace trial. The error lists the missed bounds.
func (o *options) replace(w io.Writer) error {
	t := o.Trial.Replace
	dir, err := os.MkdirTemp("", "replace")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := replace.Run(replace.Config{Seed: t.Seed, Replacements: t.Count, Command: t.Command, Site: t.Site, Dir: dir, Sockets: t.Sockets, Progress: w})
	if err != nil {
		return err
	}
	return printResult(w, f, f.Notes, f.FailedBounds())
}

// misuse runs the misuse trial on each site. The error lists the missed bounds.
func (o *options) misuse(w io.Writer) error {
	t := o.Trial.Misuse
	var missed []string
	played := 0
	for _, site := range t.Sites {
		fmt.Fprintln(w, site)
		results, err := misuse.Run(misuse.Config{Seed: t.Seed, Command: t.Command, Site: site, MemoryMB: t.Memory, Crowd: t.Crowd, Span: t.Span, Scenarios: t.Scenario}, w)
		if err != nil {
			return err
		}
		for _, r := range results {
			played++
			for _, bound := range r.FailedBounds() {
				missed = append(missed, site+": "+bound)
			}
		}
	}
	return printResult(w, fmt.Sprintf("figures: scenarios=%d missed=%d", played, len(missed)), nil, missed)
}

// leases runs the leases trial. If bounds are missed it prints the schedule of faults and, with --shrink, a shorter one that
// still misses bounds. The error lists the missed bounds.
func (o *options) leases(w io.Writer) error {
	t := o.Trial.Leases
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cfg := leases.Config{Seed: t.Seed, Boxes: t.Boxes, Faults: t.Faults, Span: t.Span, Kinds: rig.Kinds, CleanTakeovers: t.Clean, SkewClocks: true, Cairnctl: self, SettingsFile: t.Site, Progress: w,
		Terms: lease.Terms{Term: 2 * time.Second, Drift: 0.02}, Election: 400 * time.Millisecond,
		Command: serveCommand(t.Program)}
	if t.Schedule != "" {
		raw, err := os.ReadFile(t.Schedule)
		if err != nil {
			return err
		}
		if cfg.Schedule, err = rig.Parse(string(raw)); err != nil {
			return fmt.Errorf("%s: %w", t.Schedule, err)
		}
	}
	run := func(cfg leases.Config) (*leases.Figures, error) {
		dir, err := rig.TempDir()
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		cfg.Dir = dir
		return leases.Run(cfg)
	}
	f, err := run(cfg)
	if err != nil {
		return err
	}
	for _, k := range rig.Kinds {
		fmt.Fprintf(w, "%-10s %d\n", k, f.Injected[k])
	}
	for _, n := range f.Notes {
		fmt.Fprintln(w, n)
	}
	missed := f.MissedInFull()
	if len(missed) > 0 {
		fmt.Fprintf(w, "the schedule:\n%s", f.Schedule)
		if t.Shrink {
			cfg.Progress, cfg.CleanTakeovers = nil, 0
			shrunk := rig.Shrink(f.Schedule, func(s rig.Schedule) bool {
				repeat := cfg
				repeat.Schedule = s
				f, err := run(repeat)
				return err != nil || len(f.Missed()) > 0
			})
			fmt.Fprintf(w, "what is left of it and still fails:\n%s", shrunk)
		}
	}
	return printResult(w, f, nil, missed)
}

// serveCommand returns a function that makes the command of a box with the given program and configuration path.
func serveCommand(program string) func(string) *exec.Cmd {
	return func(path string) *exec.Cmd { return exec.Command(program, "serve", "--config", path) }
}

// auditTrial runs the audit trial. The error lists the missed bounds.
func (o *options) auditTrial(w io.Writer) error {
	t := o.Trial.Audit
	dir, err := rig.TempDir()
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	const boxes, old = 9, 3
	f, err := audits.Run(audits.Config{Seed: t.Seed, Boxes: boxes, OldBuildBoxes: old, CanReject: true, Faults: t.Faults, Span: t.Span, Kinds: audits.Kinds, Scripts: audits.Scripts, SettingsFile: t.Site, Dir: dir, Progress: w,
		Terms: lease.Terms{Term: 2 * time.Second, Drift: 0.02}, Election: 400 * time.Millisecond,
		Command: func(box int, config string) *exec.Cmd {
			if box < boxes-old {
				return serveCommand(t.Later)(config)
			}
			return serveCommand(t.Program)(config)
		}})
	if err != nil {
		return err
	}
	missed := f.MissedInFull()
	if len(missed) > 0 {
		fmt.Fprintf(w, "the schedule:\n%s", f.Schedule)
	}
	return printResult(w, f, f.Notes, missed)
}

// takeover runs the takeover trial. The error lists the missed bounds.
func (o *options) takeover(w io.Writer) error {
	t := o.Trial.Takeover
	dir, err := rig.TempDir()
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := leases.Run(leases.Config{Seed: t.Seed, Boxes: 7, Schedule: rig.Schedule{}, CleanTakeovers: t.Count, SkewClocks: true, SettingsFile: t.Site, Dir: dir, Progress: w,
		Terms: lease.Terms{Term: t.Term, Drift: 0.02}, Election: 400 * time.Millisecond, Command: serveCommand(t.Program)})
	if err != nil {
		return err
	}
	missed := f.Missed()
	if f.VacancyMax > f.VacancyBound || f.Vacancies < t.Count {
		missed = append(missed, fmt.Sprintf("%d takeovers, the longest after %v", f.Vacancies, f.VacancyMax))
	}
	return printResult(w, f, nil, missed)
}

// largeFleet runs the crowd trial, which measures a fleet of many processes. It returns an error if a session is lost.
func (o *options) largeFleet(w io.Writer) error {
	t := o.Trial.Crowd
	dir, err := rig.TempDir()
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := leases.MeasureLargeFleet(leases.Config{Boxes: t.Boxes, SettingsFile: t.Site, Dir: dir, Progress: w, Terms: lease.Terms{Term: t.Term, Drift: 0.01}, Election: time.Second, Command: serveCommand(t.Program)}, t.Span)
	if err != nil {
		return err
	}
	var missed []string
	if f.SessionsLost > 0 {
		missed = append(missed, fmt.Sprintf("%d boxes lost their sessions although nothing failed", f.SessionsLost))
	}
	return printResult(w, f, nil, missed)
}

// fleetsim runs the fleetsim trial. The error lists the missed bounds.
func (o *options) fleetsim(w io.Writer) error {
	t := o.Trial.Fleetsim
	if t.Members > 0 {
		f := fleetsim.MeasureScale(t.Members, t.Term, time.Minute)
		var missed []string
		if f.SessionsLost > 0 || f.JoinTime == 0 {
			missed = append(missed, fmt.Sprintf("%d sessions were lost, all members had joined after %v", f.SessionsLost, f.JoinTime))
		}
		return printResult(w, figuresLine{f}, nil, missed)
	}
	f := fleetsim.RunSeeds(t.Seed, t.Seeds, t.Workers, w)
	if f.FirstFailure != nil {
		for _, l := range f.FirstFailure.Trace {
			fmt.Fprintln(w, l)
		}
	}
	return printResult(w, f, nil, f.Missed())
}

// completion prints a bash completion script that it generates from the commands and flags.
func completion(w io.Writer, model *kong.Application) error {
	fmt.Fprintln(w, "_cairnctl() {\n  local at=\"${COMP_WORDS[*]:1:COMP_CWORD-1}\"\n  case \"$at\" in")
	var walk func(n *kong.Node, at string)
	walk = func(n *kong.Node, at string) {
		var words string
		for _, c := range n.Children {
			words += c.Name + " "
		}
		for _, f := range n.Flags {
			words += "--" + f.Name + " "
		}
		fmt.Fprintf(w, "    %q) COMPREPLY=($(compgen -W %q -- \"${COMP_WORDS[COMP_CWORD]}\"));;\n", at, words)
		for _, c := range n.Children {
			next := c.Name
			if at != "" {
				next = at + " " + c.Name
			}
			walk(c, next)
		}
	}
	walk(model.Node, "")
	_, err := fmt.Fprintln(w, "  esac\n}\ncomplete -F _cairnctl cairnctl")
	return err
}
