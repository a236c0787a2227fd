package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"cairnlane/internal/config"
	"cairnlane/internal/control"
	"cairnlane/internal/decide/rollout"
)

// planOptions are the flags that make the plan of a roll-out.
type planOptions struct {
	Canaries  int           `default:"1" help:"Boxes of the first wave."`
	Share     float64       `default:"0.25" help:"Of all boxes, in each wave after it."`
	Pace      time.Duration `default:"30s" help:"For which a wave is looked at once all of it is through."`
	Patience  time.Duration `default:"2m" help:"For boxes that do not come along."`
	Turned    int           `name:"may-turn-down" default:"0" help:"Boxes that may turn it down."`
	Died      int           `name:"may-die" default:"1" help:"Boxes that may be gone when a wave ends."`
	At        int           `name:"at-a-time" default:"1" help:"Boxes that change at a time."`
	Supersede bool          `help:"Take the place of a roll-out that runs."`
	Keep      bool          `name:"keep-lowest" help:"Leave the lowest allowed number as it is at the end."`
}

func (p planOptions) plan() rollout.Plan {
	return rollout.Plan{Canaries: p.Canaries, Share: p.Share, ObserveFor: p.Pace, Timeout: p.Patience, MaxRejected: p.Turned, MaxDead: p.Died, Slots: p.At, Supersede: p.Supersede, KeepLowest: p.Keep}
}

// config runs a "fleet config" command.
func (o *options) config(w io.Writer, name string, c control.FleetClient) error {
	f := &o.Fleet.Config
	inForce := func(n uint64) (uint64, error) {
		if n != 0 {
			return n, nil
		}
		r, err := c.Rollouts()
		if err == nil && r.InForce == 0 {
			err = errors.New("no configuration is in force on this box; 'cairnctl fleet config list' lists the stored ones")
		}
		return r.InForce, err
	}
	switch name {
	case "put":
		src, err := os.ReadFile(f.Put.File)
		if err != nil {
			return err
		}
		n, err := c.PutConfig(src)
		if err != nil {
			return err
		}
		if f.Put.Start {
			if err := c.StartRollout(n, f.Put.plan()); err != nil {
				return fmt.Errorf("configuration stored with number %d, but its roll-out did not start: %w", n, err)
			}
		}
		return o.show(w, map[string]uint64{"number": n}, nil, func(t io.Writer) { fmt.Fprintf(t, "number\t%d\n", n) })
	case "list":
		r, err := c.Rollouts()
		return o.show(w, r.Table, err, func(t io.Writer) {
			fmt.Fprintln(t, "NUMBER\tSTATE\tNEEDS BUILD\tBYTES\tTAKEN BY\tFROM\tDIGEST")
			for _, v := range r.Table.Versions {
				var state []string
				if v.N == r.Table.Target {
					state = append(state, "in force")
				}
				if v.N == r.Table.Lowest {
					state = append(state, "lowest")
				}
				if x := r.Table.Current; x != nil && x.To == v.N {
					state = append(state, x.Phase.String())
				}
				fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%s\t%s\t%.16s\n", v.N, strings.Join(state, ", "), v.Needs, v.Size, v.By, v.Caller, v.Digest)
			}
		})
	case "show":
		n, err := inForce(f.Show.N)
		if err != nil {
			return err
		}
		body, err := c.Body(n)
		if err != nil {
			return err
		}
		_, err = w.Write(body)
		return err
	case "diff":
		n, err := inForce(f.Diff.With)
		if err != nil {
			return err
		}
		a, aerr := c.Body(n)
		b, berr := c.Body(f.Diff.N)
		if err := errors.Join(aerr, berr); err != nil {
			return err
		}
		for _, line := range diffLines(lines(a), lines(b)) {
			fmt.Fprintln(w, line)
		}
		return nil
	case "back":
		body, err := c.Body(f.Back.N)
		if err != nil {
			return err
		}
		n, err := c.PutConfig(body)
		if err != nil {
			return err
		}
		if err := c.StartRollout(n, f.Back.plan()); err != nil {
			return fmt.Errorf("contents of configuration %d stored with number %d, but the roll-out did not start: %w", f.Back.N, n, err)
		}
		return o.show(w, map[string]uint64{"number": n}, nil, func(t io.Writer) { fmt.Fprintf(t, "number\t%d\n", n) })
	}
	return fmt.Errorf("fleet config %s is not known", name)
}

func lines(b []byte) []string { return strings.Split(strings.TrimSuffix(string(b), "\n"), "\n") }

// diffLines returns the lines of two texts. Lines of only the first are prefixed with -, lines of only the second with +.
func diffLines(a, b []string) (list []string) {
	common := make([][]int, len(a)+1) // common[i][j] is the length of the longest common subsequence of a[i:] and b[j:]
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			list = append(list, "  "+a[i])
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			list = append(list, "- "+a[i])
			i++
		default:
			list = append(list, "+ "+b[j])
			j++
		}
	}
	return list
}

// rollout runs a "fleet rollout" command. The status returns an error if the last roll-out is or was rolled back.
func (o *options) rollout(w io.Writer, name string, c control.FleetClient) error {
	f := &o.Fleet.Rollout
	switch name {
	case "start":
		return c.StartRollout(f.Start.N, f.Start.plan())
	case "hold":
		return c.ChangeRollout(name, f.Hold.Why)
	case "resume":
		return c.ChangeRollout(name, "")
	case "abort":
		return c.ChangeRollout(name, f.Abort.Why)
	}
	r, err := c.Rollouts()
	if err != nil {
		return err
	}
	list := slices.Clone(r.Table.Finished)
	if r.Table.Current != nil {
		list = append(list, *r.Table.Current)
	}
	slices.Reverse(list)
	if err := o.show(w, r, nil, func(t io.Writer) {
		fmt.Fprintf(t, "in force\t%d\nlowest allowed\t%d\nthis box\t%d, %v, %v\n", r.Table.Target, r.Table.Lowest, r.InForce, r.State, r.Stands)
		for _, x := range list {
			fmt.Fprintf(t, "%d to %d\t%v\twave %d of %d\t%s\n", x.From, x.To, x.Phase, min(x.Wave+1, len(x.Waves)), len(x.Waves), x.Why)
		}
	}); err != nil {
		return err
	}
	if len(list) > 0 && (list[0].Phase == rollout.RollingBack || list[0].Phase == rollout.RolledBack) {
		return fmt.Errorf("the last roll-out, of configuration %d, was or is being rolled back: %s", list[0].To, list[0].Why)
	}
	return nil
}

// stragglers lists the boxes that are behind and returns an error if there are any.
func (o *options) stragglers(w io.Writer, c control.FleetClient) error {
	r, err := c.Rollouts()
	if err = o.show(w, r.Stragglers, err, func(t io.Writer) {
		fmt.Fprintln(t, "BOX\tSTATE\tIN FORCE\tLOWEST ALLOWED\tWHAT IS TO BE DONE")
		for _, s := range r.Stragglers {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\n", s.Box, s.State, s.InForce, s.Lowest, s.What)
		}
	}); err != nil {
		return err
	}
	if n := len(r.Stragglers); n > 0 {
		return fmt.Errorf("%d boxes are behind", n)
	}
	return nil
}

// leaseEnvironment returns the environment variables that a command under a lease gets from the configuration in force.
func leaseEnvironment(c control.FleetClient) ([]string, error) {
	r, err := c.Rollouts()
	if err != nil || r.InForce == 0 {
		return nil, nil // the request for the slot reports the error
	}
	body, err := c.Body(r.InForce)
	if err != nil {
		return nil, err
	}
	n, err := config.ParseNumbered(fmt.Sprintf("configuration %d", r.InForce), body)
	if err != nil {
		return nil, err
	}
	env := []string{fmt.Sprintf("CAIRNLANE_VERSION=%d", r.InForce), fmt.Sprintf("CAIRNLANE_LOWEST=%d", r.Table.Lowest)}
	for name, value := range n.Values {
		env = append(env, "CAIRNLANE_VALUE_"+name+"="+value)
	}
	return env, nil
}
