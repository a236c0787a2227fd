package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"cairnlane/internal/control"
	"cairnlane/internal/fleet"
	"cairnlane/internal/state/audit"
)

// auditPlaces are the folders and sockets that audit logs are read from.
type auditPlaces struct {
	Places []string `arg:"" help:"Folders or sockets."`
}

type auditOptions struct {
	Offline    bool          `help:"Without the ledger's marks. What was cut off the end is then not found, and little is ordered between boxes."`
	ClockError time.Duration `default:"1m" help:"By how much the boxes' clocks may have been off."`

	Verify struct {
		auditPlaces `embed:""`
	} `cmd:"" help:"Check the chains, and against the ledger's marks; exit code 1 when something is not as it was written."`
	List struct {
		auditPlaces `embed:""`
	} `cmd:"" help:"All entries, by the ledger's index as far as each box knew it."`
	At struct {
		When        string `arg:"" help:"A time as 2026-12-01T14:05:00Z, or an index of the ledger."`
		auditPlaces `embed:""`
	} `cmd:"" help:"Who acted as what."`
	Version struct {
		N           uint64 `arg:"" help:"Number of a configuration of the fleet."`
		auditPlaces `embed:""`
	} `cmd:"" help:"Who acted on it, from when to when, and whether a box did so that knew it to be allowed no more."`
	Box struct {
		Name        string `arg:"" help:"A box's."`
		auditPlaces `embed:""`
	} `cmd:"" help:"What a box did."`
	Effects struct {
		Task        string `arg:"" help:"A task's name."`
		auditPlaces `embed:""`
	} `cmd:"" help:"What was done under a task's leases, in the order of their tokens."`
	Page struct {
		File        string `arg:"" help:"HTML file to write."`
		auditPlaces `embed:""`
	} `cmd:"" help:"One page with a lane for each box."`
}

// readAudits reads the audit logs in folders, or in the audit folders of the boxes behind sockets.
func readAudits(places []string) (list []*audit.FolderContents, err error) {
	for _, p := range places {
		info, err := os.Stat(p)
		if err != nil {
			return nil, err
		}
		if info.Mode()&os.ModeSocket != 0 {
			if p, err = control.NewClient(p).Fleet().AuditFolder(); err != nil {
				return nil, err
			}
		}
		b, err := audit.Read(p)
		if err != nil {
			return nil, err
		}
		list = append(list, b)
	}
	return list, nil
}

// auditHeads returns the audit heads that the ledger holds, by box, from the box at the socket. With --offline there are
// none.
func (o *options) auditHeads(c control.FleetClient) (map[string][]audit.ChainHead, error) {
	if o.Fleet.Audit.Offline {
		return nil, nil
	}
	encoded, err := c.AuditHeads()
	if err != nil {
		return nil, fmt.Errorf("%w; --offline does not use the ledger's audit heads, but then truncated logs are not detected", err)
	}
	out := map[string][]audit.ChainHead{}
	for box, list := range encoded {
		for _, m := range list {
			head, err := fleet.DecodeAuditHead(m)
			if err != nil {
				return nil, fmt.Errorf("audit head of %s: %w", box, err)
			}
			out[box] = append(out[box], head)
		}
	}
	return out, nil
}

// audit runs a "fleet audit" command on the audit logs of boxes.
func (o *options) audit(w io.Writer, name string, c control.FleetClient) error {
	a := &o.Fleet.Audit
	from := map[string][]string{"verify": a.Verify.Places, "list": a.List.Places, "at": a.At.Places, "version": a.Version.Places, "box": a.Box.Places,
		"effects": a.Effects.Places, "page": a.Page.Places}[name]
	list, err := readAudits(from)
	if err != nil {
		return err
	}
	heads, err := o.auditHeads(c)
	if err != nil {
		return err
	}
	if name == "verify" {
		return o.verify(w, from, list, heads)
	}
	x := audit.NewIndex(list, heads)
	build := func(b audit.Build) string {
		return fmt.Sprintf("%d\t%d\t%s\t%s\t%s", b.Fleet, b.Number, b.Program, b.Settings, b.Config)
	}
	switch name {
	case "list", "box":
		var entries []audit.Entry
		for _, b := range x.Boxes() {
			if name == "list" || b == a.Box.Name {
				entries = append(entries, x.EntriesOf(b)...)
			}
		}
		// The entries of one box keep their order by number; entries of two boxes at the same index have no order.
		if name == "list" {
			slices.SortStableFunc(entries, func(x, y audit.Entry) int { return cmp.Compare(x.Index, y.Index) })
		} else if len(entries) == 0 {
			return fmt.Errorf("no audit log of box %q; there are logs of %v", a.Box.Name, x.Boxes())
		}
		return o.show(w, entries, nil, func(t io.Writer) {
			fmt.Fprintln(t, "INDEX\tBOX\tN\tKIND\tTASK\tTOKEN\tUNDER\tOK\tCLOCK\tTEXT")
			for _, e := range entries {
				text := e.Text
				if b := e.Build; b != nil {
					text = fmt.Sprintf("program %s (build %d), settings %s, configuration %s, fleet's configuration %d, messages %d", b.Program, b.Number, b.Settings, b.Config, b.Fleet, b.Messages)
				}
				if e.Kind == audit.Config {
					text = fmt.Sprintf("configuration %d %s", e.Ref, e.Text)
				}
				fmt.Fprintf(t, "%d\t%s\t%d\t%s\t%s\t%d\t%d\t%v\t%s\t%q\n", e.Index, e.Box, e.N, e.Kind, e.Task, e.Token, e.Under, e.OK, formatClock(e.At), text)
			}
		})
	case "at":
		var versions []audit.VersionAt
		if index, err := strconv.ParseUint(a.At.When, 10, 64); err == nil {
			versions = x.AtIndex(index)
		} else {
			at, err := time.Parse(time.RFC3339, a.At.When)
			if err != nil {
				return fmt.Errorf("%q is neither a time such as 2026-12-01T14:05:00Z nor an index of the ledger", a.At.When)
			}
			versions = x.AtTime(time.Duration(at.UnixNano()), a.ClockError)
		}
		return o.show(w, versions, nil, func(t io.Writer) {
			fmt.Fprintln(t, "BOX\tORDER\tNUMBER\tBUILD\tPROGRAM\tSETTINGS\tCONFIGURATION")
			for _, v := range versions {
				order := "sure"
				if !v.Sure {
					order = "not known"
				}
				if v.Stopped {
					order += ", had ended"
				}
				fmt.Fprintf(t, "%s\t%s\t%s\n", v.Box, order, build(v.Version))
			}
		})
	case "version":
		notFrom := uint64(0)
		if !a.Offline {
			r, err := c.Rollouts()
			if err != nil {
				return err
			}
			notFrom = r.Table.DisallowedSince(a.Version.N) >> 8
		}
		runs := x.RunsOfConfig(a.Version.N, notFrom)
		late := 0
		if err := o.show(w, runs, nil, func(t io.Writer) {
			fmt.Fprintln(t, "BOX\tFROM INDEX\tTO INDEX\tFROM\tTO\tEFFECTS\tLATE\tBUILD")
			for _, r := range runs {
				to, until := fmt.Sprint(r.To), formatClock(r.ToAt)
				if !r.Until {
					to, until = "-", "-"
				}
				fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%d\t%d\t%d\n", r.Box, r.From, to, formatClock(r.FromAt), until, r.Effects, r.Late, r.Version.Number)
			}
		}); err != nil {
			return err
		}
		for _, r := range runs {
			late += r.Late
		}
		if late > 0 {
			return fmt.Errorf("%d effects under configuration %d by boxes that knew that it was no longer allowed", late, a.Version.N)
		}
		return nil
	case "effects":
		effects := x.Effects(a.Effects.Task)
		return o.show(w, effects, nil, func(t io.Writer) {
			fmt.Fprintln(t, "TOKEN\tORDER\tBOX\tUNDER\tINDEX\tCLOCK\tOUTCOME\tTEXT")
			for _, e := range effects {
				order := "after"
				if e.OrderUnknown {
					order = "not known"
				}
				fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%d\t%s\t%s\t%q\n", e.Token, order, e.Box, e.Under, e.Index, formatClock(e.At), e.Outcome, e.Text)
			}
		})
	case "page":
		var faults []audit.Fault
		for _, b := range list {
			b.VerifyMarks(heads[b.Box])
			faults = append(faults, b.Faults...)
		}
		f, err := os.Create(a.Page.File)
		if err != nil {
			return err
		}
		return errors.Join(x.WritePage(f, faults), f.Close())
	}
	return fmt.Errorf("fleet audit %s is not known", name)
}

func formatClock(at time.Duration) string { return time.Unix(0, int64(at)).UTC().Format(time.RFC3339) }

// verify checks the hash chains of audit logs, also against the ledger's audit heads, and prints a verdict
// for each place. It returns an error if any fault is found.
func (o *options) verify(w io.Writer, places []string, list []*audit.FolderContents, heads map[string][]audit.ChainHead) error {
	type verdict struct {
		Place   string        `json:"place"`
		Box     string        `json:"box"`
		Entries int           `json:"entries"`
		Lost    uint64        `json:"lost"`
		Proven  int           `json:"marks_proven"`
		Old     int           `json:"marks_of_what_is_gone"`
		Faults  []audit.Fault `json:"faults,omitempty"`
	}
	var verdicts []verdict
	faults := 0
	for i, b := range list {
		v := verdict{Place: places[i], Box: b.Box, Entries: len(b.Entries), Lost: b.Lost}
		v.Proven, v.Old = b.VerifyMarks(heads[b.Box])
		v.Faults = b.Faults
		faults += len(b.Faults)
		verdicts = append(verdicts, v)
	}
	if err := o.show(w, verdicts, nil, func(t io.Writer) {
		fmt.Fprintln(t, "PLACE\tBOX\tENTRIES\tLOST\tMARKS PROVEN\tOF WHAT IS GONE\tFAULTS")
		for _, v := range verdicts {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", v.Place, v.Box, v.Entries, v.Lost, v.Proven, v.Old, len(v.Faults))
		}
		for _, v := range verdicts {
			for _, f := range v.Faults {
				fmt.Fprintln(t, f)
			}
		}
	}); err != nil {
		return err
	}
	if faults > 0 {
		return fmt.Errorf("%d faults found: the audit logs are not as they were written", faults)
	}
	return nil
}
