package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"cairnlane/internal/clock"
	"cairnlane/internal/control"
	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet"
	"cairnlane/internal/fleet/command"
)

type fleetOptions struct {
	Status  struct{} `cmd:"" help:"How this box stands to its fleet; exit code 1 with the reason when the fleet cannot agree on anything now."`
	Members struct{} `cmd:"" help:"The boxes of the fleet."`
	Leases  struct{} `cmd:"" help:"Who holds and waits for what."`
	Init    struct {
		Voters []string      `required:"" sep:"," help:"The boxes that are to agree: 1, 3 or 5 names."`
		Term   time.Duration `default:"10s" help:"How long a lease lives without a word of its box."`
		Drift  float64       `default:"0.01" help:"The share by which a box's clock may run fast or slow, at most."`
	} `cmd:"" help:"Begin a fleet. Said once, on one box."`
	Recover struct {
		Yes bool `name:"a-majority-is-lost-for-good" help:"Say that you know so."`
	} `cmd:"" help:"Begin the ledger anew from what this box knows, when a majority of its voters is lost for good."`
	Voters struct {
		How   string   `arg:"" enum:"add,remove,replace" help:"add NAME NAME, remove NAME NAME, replace OLD NEW."`
		Names []string `arg:"" help:"Boxes."`
	} `cmd:"" help:"Change the boxes that agree. They change one at a time, each once it has caught up."`
	Free struct {
		Token uint64 `arg:"" help:"The lease's, as 'fleet leases' shows it."`
		Yes   bool   `name:"its-box-does-not-act" help:"Say that you know so."`
	} `cmd:"" help:"Give back a slot whose box is gone for good."`
	Stop struct {
		Token uint64 `arg:"" help:"The lease's, as 'fleet leases' shows it."`
	} `cmd:"" help:"Ask a holder to stop early."`
	Config struct {
		Put struct {
			File        string `arg:"" type:"existingfile" help:"HCL, as in deploy/fleet-config.hcl."`
			Start       bool   `help:"Begin to roll it out at once."`
			planOptions `embed:""`
		} `cmd:"" help:"Have a configuration checked, kept and numbered."`
		List struct{} `cmd:"" help:"The numbered configurations."`
		Show struct {
			N uint64 `arg:"" optional:"" help:"Number; what is in force if not given."`
		} `cmd:"" help:"The contents of one."`
		Diff struct {
			N    uint64 `arg:"" help:"Number."`
			With uint64 `arg:"" optional:"" help:"Another one; what is in force if not given."`
		} `cmd:"" help:"What two of them differ in."`
		Back struct {
			N           uint64 `arg:"" help:"Number."`
			planOptions `embed:""`
		} `cmd:"" help:"Give the contents of an older one a new number, and roll that out."`
	} `cmd:"" help:"Numbered configurations of the fleet."`
	Rollout struct {
		Start struct {
			N           uint64 `arg:"" help:"Number of a configuration."`
			planOptions `embed:""`
		} `cmd:"" help:"Roll a configuration out, wave after wave."`
		Status struct{} `cmd:"" help:"The roll-out that runs, and earlier ones; exit code 1 when the last one went back."`
		Hold   struct {
			Why string `arg:"" optional:"" help:"For those who look."`
		} `cmd:"" help:"No further step until resume."`
		Resume struct{} `cmd:"" help:"Go on."`
		Abort  struct {
			Why string `arg:"" optional:"" help:"For those who look."`
		} `cmd:"" help:"Have all boxes go back to what is in force."`
	} `cmd:"" help:"Roll-outs of configurations."`
	Load       struct{} `cmd:"" help:"How the fleet is loaded as this box knows it, what it sheds as one, and why."`
	Stragglers struct{} `cmd:"" help:"The boxes that are behind, and what is to be done; exit code 1 when there are any."`
	Lowest     struct {
		N uint64 `arg:"" help:"Number: the one in force, or an older one."`
	} `cmd:"" help:"Have the fleet allow no lower number. A roll-out does so at its end."`
	Audit auditOptions `cmd:"" help:"What boxes did, from their own logs. A place is a folder (state/audit of a box, or a copy) or a box's socket."`
	Run   struct {
		Task     string        `arg:"" help:"The task's name."`
		Slots    int           `default:"1" help:"How many boxes may do it at a time; the same on all boxes."`
		Priority int           `default:"0" help:"Who waits with a higher one is served first."`
		Wait     time.Duration `default:"0s" help:"For the slot; 0s waits as long as it takes."`
		Grace    time.Duration `default:"2s" help:"Between the request to end and the end by force."`
		Command  []string      `arg:"" passthrough:"" help:"What to run, after --."`
	} `cmd:"" help:"Run a command as the one holder of a task. CAIRNLANE_TOKEN in its environment is the lease's token."`
}

// fleet runs a "fleet" command.
func (o *options) fleet(w io.Writer, name string, c control.FleetClient) error {
	f := &o.Fleet
	switch strings.Fields(name)[0] {
	case "status":
		s, err := c.Status()
		if err = o.show(w, s, err, func(t io.Writer) {
			fmt.Fprintf(t, "name\t%s\nfleet\t%s\nphase\t%s\nincarnation\t%d\nrole\t%s\nleader\t%s\nagrees\t%v\nvoters\t%s\nwanted voters\t%s\nera\t%d\nindex\t%d\ndigest\t%s\nterm\t%s\ndrift\t%v\ndisk\t%d KB\n",
				s.Name, s.Fleet, s.Phase, s.Session, s.Role, s.Leader, s.Agrees, strings.Join(s.Voters, " "), strings.Join(s.Want, " "), s.Era, s.Index, s.Digest, s.Term, s.Drift, s.Disk>>10)
			for _, l := range s.Links {
				up := "down"
				if l.Up {
					up = "up " + l.For.Round(time.Second).String()
				}
				fmt.Fprintf(t, "link %s\t%s\t%s\t%s\n", l.Peer, l.Address, up, l.Failure)
			}
		}); err != nil {
			return err
		}
		if s.Reason != "" {
			return errors.New(s.Reason)
		}
		return nil
	case "members":
		l, err := c.Members()
		return o.show(w, l, err, func(t io.Writer) {
			fmt.Fprintln(t, "NAME\tSTATE\tVOTES\tINCARNATION\tBUILD")
			for _, m := range l {
				fmt.Fprintf(t, "%s\t%s\t%v\t%d\t%s\n", m.Name, m.State, m.Votes, m.Incarnation, m.Build)
			}
		})
	case "leases":
		l, err := c.Leases()
		return o.show(w, l, err, func(t io.Writer) {
			fmt.Fprintln(t, "TASK\tSLOTS\tBOX\tSTATE\tTOKEN\tPRIORITY")
			for _, s := range l {
				state := "held"
				switch {
				case s.Place > 0:
					state = fmt.Sprintf("waits, place %d", s.Place)
				case s.Orphan:
					state = "its box is gone"
				case s.Stop:
					state = "asked to stop"
				}
				fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%d\t%d\n", s.Task, s.Slots, s.Box, state, s.Token, s.Priority)
			}
		})
	case "init":
		return c.Init(lease.Terms{Term: f.Init.Term, Drift: f.Init.Drift}, f.Init.Voters)
	case "recover":
		if !f.Recover.Yes {
			return errors.New("if the lost voters return, two fleets exist for a while and both may act; confirm with --a-majority-is-lost-for-good that they do not return")
		}
		return c.Recover()
	case "voters":
		return c.ChangeVoters(f.Voters.How, f.Voters.Names)
	case "free":
		if !f.Free.Yes {
			return errors.New("if the box still acts, two boxes may act at once; confirm with --its-box-does-not-act that it does not")
		}
		return c.Free(f.Free.Token)
	case "stop":
		return c.StopEarly(f.Stop.Token)
	case "config":
		return o.config(w, strings.Fields(name)[1], c)
	case "rollout":
		return o.rollout(w, strings.Fields(name)[1], c)
	case "load":
		s, err := c.Load()
		return o.show(w, s, err, func(t io.Writer) { printLoad(t, s) })
	case "stragglers":
		return o.stragglers(w, c)
	case "lowest":
		return c.SetLowest(f.Lowest.N)
	case "audit":
		return o.audit(w, strings.Fields(name)[1], c)
	case "run":
		r := f.Run
		argv := r.Command
		if len(argv) > 0 && argv[0] == "--" {
			argv = argv[1:]
		}
		if len(argv) == 0 {
			return errors.New("no command given; append it after --, as in: cairnctl fleet run export -- /usr/local/bin/export")
		}
		env, err := leaseEnvironment(c)
		if err != nil {
			return err
		}
		code := command.Run(c, command.Config{Env: env, Request: lease.Request{Task: r.Task, Slots: r.Slots, Priority: r.Priority}, Wait: r.Wait, Grace: r.Grace, Command: argv, Now: clock.SinceBoot, Stderr: os.Stderr})
		if code != 0 {
			return exitCode(code)
		}
		return nil
	}
	return fmt.Errorf("fleet %s is not known", name)
}

// exitCode is an error whose message has already been printed; the process exits with this code.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// maintenancePoll is the longest time that one poll for the maintenance slot waits for a change.
const maintenancePoll = 500 * time.Millisecond

// enterMaintenance waits for a maintenance slot of the fleet and takes the box out of service under it. done is false if
// the box is in no fleet.
func (o *options) enterMaintenance(c control.FleetClient, what string) (done bool, err error) {
	s, err := c.Status()
	if err != nil && err.Error() == control.ErrNoFleet.Error() || err == nil && s.Fleet == "" { // in no fleet, or in one that is not initialized
		return false, nil
	}
	if err != nil {
		return true, err
	}
	hint := fmt.Sprintf("; '--force' does not wait for a slot, at the risk that more boxes are out of service than allowed: cairnctl %s --force", map[string]string{"drain": "drain on", "stop": "stop"}[what])
	id, err := c.RequestMaintenance()
	if err != nil {
		return true, fmt.Errorf("%w%s", err, hint)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	lastPlace := -1
	for {
		r, err := c.Poll(id, maintenancePoll)
		if err != nil {
			return true, err
		}
		if r.Left > 0 {
			return true, c.EnterMaintenance(id, what)
		}
		if r.StateName != lease.Requested.String() && r.StateName != lease.Uncertain.String() {
			return true, fmt.Errorf("request for the maintenance slot is %s %s%s", r.StateName, r.Why, hint)
		}
		if r.Place != lastPlace {
			lastPlace = r.Place
			if r.Place > 0 {
				fmt.Fprintf(os.Stderr, "cairnctl: other boxes are out of service; place %d in the queue (--force does not wait)\n", r.Place)
			} else {
				fmt.Fprintln(os.Stderr, "cairnctl: waiting for the fleet to agree (--force does not wait)")
			}
		}
		select {
		case <-signals:
			c.End(id)
			return true, errors.New("interrupted while waiting for the maintenance slot; nothing was changed")
		default:
		}
	}
}

// printLoad prints the load of the fleet and what it sheds, as far as a box knows it.
func printLoad(t io.Writer, s fleet.LoadStatus) {
	v := s.Fleet
	fmt.Fprintf(t, "boxes heard\t%d of %d, %v ago\ncapacity\t%.0f a second, %.0f free elsewhere\nfirst tries\t%.0f a second\nfurther tries\t%.0f a second\nthis box\t%.0f of %.0f a second, %.0f served, %.0f refused\n",
		v.Boxes, v.Known, v.Age.Round(time.Millisecond), v.Capacity, v.Free, v.First, v.Further, s.Own.First+s.Own.Further, s.Own.Capacity, s.Own.Running, s.Own.Refused)
	if p := s.Pacing; p != nil {
		fmt.Fprintf(t, "catalog\t%s, this box reports each %s, %d so far, the prober: %v\n", p.Verdict, p.Every, p.Asked, p.Prober)
	}
	a := s.Advice
	if a == nil {
		fmt.Fprintln(t, "sheds\tnothing as one: the configuration in force has no overload block, or this box is shut out")
		return
	}
	fmt.Fprintf(t, "configuration\t%d\ntrust\t%.2f\nlevel\t%d %s\nfurther tries refused\t%.0f%%\ngive up\t%v\nlater\t%v to %v\n", a.Version, a.Trust, a.Level, s.Since, 100*a.Further, a.GiveUp, a.RetryWindow[0].Round(time.Millisecond), a.RetryWindow[1].Round(time.Millisecond))
	for _, name := range slices.Sorted(maps.Keys(v.Tenants)) {
		fmt.Fprintf(t, "tenant %s\t%.0f a second, %.0f%% of it beyond its share\n", name, v.Tenants[name], 100*a.Tenants[name])
	}
	c := s.Refused
	fmt.Fprintf(t, "refused by this box\t%d over a share, %d of a low class, %d beyond the budget of tries\n", c.OverShare, c.LowClass, c.OverBudget)
}
